//! Sends and receives sealed datagrams, and counts control traffic.

use std::sync::Arc;

use swiftcart_core::{Datagram, MAX_DATAGRAM_LEN, MeshKey, NodeId, open, seal};
use tokio::net::UdpSocket;

use super::{ControlError, reachable};
use crate::shared::Shared;

/// Bytes of the IP and UDP headers of each datagram.
const UDP_HEADERS: u64 = 28;

/// The node's datagram socket.
#[derive(Debug)]
pub(super) struct Net {
    socket: UdpSocket,
    key: MeshKey,
    shared: Arc<Shared>,
}

/// Directions and kinds of control traffic, as labelled in metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Traffic {
    DatagramsSent,
    DatagramsReceived,
    PullsSent,
    PullsReceived,
    PlatformRead,
}

impl Traffic {
    const fn as_str(self) -> &'static str {
        match self {
            Self::DatagramsSent => "datagrams-sent",
            Self::DatagramsReceived => "datagrams-received",
            Self::PullsSent => "pulls-sent",
            Self::PullsReceived => "pulls-received",
            Self::PlatformRead => "platform-read",
        }
    }
}

impl Net {
    /// Binds the datagram socket of `shared`.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub(super) async fn bind(shared: Arc<Shared>, key: MeshKey) -> Result<Self, ControlError> {
        let addr = shared.settings.listen.gossip;
        let socket = UdpSocket::bind(addr)
            .await
            .map_err(|e| ControlError::BindGossip(addr, e))?;
        Ok(Self {
            socket,
            key,
            shared,
        })
    }

    /// Sends a datagram. A datagram is dropped if the socket buffer is full; senders already have
    /// to tolerate loss in the network.
    pub(super) fn send(&self, to: NodeId, datagram: &Datagram) {
        if !reachable(&self.shared, to.0) {
            return;
        }
        match seal(datagram, self.shared.id, &self.key) {
            Ok(sealed) => match self.socket.try_send_to(&sealed, to.0) {
                Ok(_) => count(&self.shared, Traffic::DatagramsSent, sealed.len()),
                Err(_) => self.drop("send"),
            },
            Err(e) => self.drop(e.as_str()),
        }
    }

    /// Waits for the next datagram whose authentication tag is valid.
    pub(super) async fn receive(&self) -> (NodeId, Datagram) {
        let mut buf = [0; MAX_DATAGRAM_LEN + 1];
        loop {
            // Errors here are ICMP replies to earlier sends. Probes detect the same failures.
            let Ok((len, from)) = self.socket.recv_from(&mut buf).await else {
                continue;
            };
            if !reachable(&self.shared, from) {
                continue;
            }
            count(&self.shared, Traffic::DatagramsReceived, len);
            match open(&buf[..len], &self.key) {
                Ok(received) => return received,
                Err(e) => self.drop(e.as_str()),
            }
        }
    }

    fn drop(&self, reason: &'static str) {
        let counters = &self.shared.counters;
        counters.count("swiftcart_datagrams_dropped_total", "reason", reason);
    }
}

/// Counts control traffic. The size of a datagram includes its IP and UDP headers.
pub(super) fn count(shared: &Shared, traffic: Traffic, len: usize) {
    let headers = match traffic {
        Traffic::DatagramsSent | Traffic::DatagramsReceived => UDP_HEADERS,
        Traffic::PullsSent | Traffic::PullsReceived | Traffic::PlatformRead => 0,
    };
    let name = "swiftcart_control_bytes_total";
    let bytes = headers + len as u64;
    shared.counters.add(name, "kind", traffic.as_str(), bytes);
}

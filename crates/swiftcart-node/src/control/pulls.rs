//! Pulls state from other nodes and serves their pulls, with limits on both.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use swiftcart_core::{
    Instant, MeshKey, NodeId, SyncAdmission, SyncLimiter, SyncReply, SyncRequest, open_sync,
    seal_sync,
};
use tokio::sync::mpsc;

use super::net::{Traffic, count};
use super::sync_client::pull;
use super::sync_server::PendingPull;
use super::{ControlError, Input, reachable};
use crate::shared::Shared;

/// Maximum number of concurrent outgoing pulls.
const MAX_OPEN_PULLS: usize = 2;
/// Maximum number of pulls served concurrently, and per second.
const SERVE_LIMITS: (u32, u32) = (4, 20);

/// Outgoing pulls of this node, and the limiter of those that it serves.
#[derive(Debug)]
pub(super) struct Pulls {
    shared: Arc<Shared>,
    key: MeshKey,
    inputs: mpsc::Sender<Input>,
    limiter: SyncLimiter,
    open: BTreeSet<NodeId>,
}

/// Result of one outgoing pull.
#[derive(Debug)]
pub(super) struct PullOutcome {
    pub(super) peer: NodeId,
    pub(super) result: Result<SyncReply, ControlError>,
}

impl Pulls {
    pub(super) fn new(shared: Arc<Shared>, key: MeshKey, inputs: mpsc::Sender<Input>) -> Self {
        Self {
            shared,
            key,
            inputs,
            limiter: SyncLimiter::new(SERVE_LIMITS.0, SERVE_LIMITS.1),
            open: BTreeSet::new(),
        }
    }

    /// Starts a pull whose result arrives as an [`Input::PullOutcome`]. Returns `false` if the peer
    /// already has an open pull or too many pulls are open.
    pub(super) fn start(&mut self, peer: NodeId, addr: SocketAddr, request: &SyncRequest) -> bool {
        if self.open.len() >= MAX_OPEN_PULLS || !self.open.insert(peer) {
            return false;
        }
        let frame = seal_sync(request, self.shared.id, &self.key);
        let (shared, key) = (Arc::clone(&self.shared), self.key.clone());
        let inputs = self.inputs.clone();
        tokio::spawn(async move {
            let result = match frame {
                Ok(frame) => exchange(&shared, &key, addr, frame).await,
                Err(e) => Err(ControlError::Wire(e)),
            };
            let pulled = Box::new(PullOutcome { peer, result });
            // Sending fails only after the control loop has stopped.
            drop(inputs.send(Input::PullOutcome(pulled)).await);
        });
        true
    }

    /// Removes a finished pull from the open ones.
    pub(super) fn end(&mut self, peer: NodeId) {
        self.open.remove(&peer);
    }

    /// Opens a sealed request. A request with an invalid authentication tag is counted and dropped.
    pub(super) fn open(&self, pending: &PendingPull) -> Option<SyncRequest> {
        count(&self.shared, Traffic::PullsReceived, pending.frame.len());
        match open_sync::<SyncRequest>(&pending.frame, &self.key) {
            Ok((from, request)) => reachable(&self.shared, from.0).then_some(request),
            Err(e) => {
                let name = "swiftcart_pulls_dropped_total";
                self.shared.counters.count(name, "reason", e.as_str());
                None
            }
        }
    }

    /// Returns `None` if a request is admitted, or the busy reply if it exceeds the limits.
    pub(super) fn admit(&mut self, now: Instant) -> Option<SyncReply> {
        match self.limiter.admit(now) {
            SyncAdmission::Serve => {
                self.limiter.done();
                None
            }
            SyncAdmission::Busy { retry_after } => {
                let retry_ms = u32::try_from(retry_after.as_millis()).unwrap_or(u32::MAX);
                let name = "swiftcart_pulls_dropped_total";
                self.shared.counters.count(name, "reason", "busy");
                Some(SyncReply::Busy { retry_ms })
            }
        }
    }

    /// Seals and sends the reply to a request.
    pub(super) fn answer(&self, pending: PendingPull, reply: &SyncReply) {
        if let Ok(frame) = seal_sync(reply, self.shared.id, &self.key) {
            count(&self.shared, Traffic::PullsSent, frame.len());
            pending.answer(frame);
        }
    }
}

async fn exchange(
    shared: &Shared,
    key: &MeshKey,
    addr: SocketAddr,
    frame: Vec<u8>,
) -> Result<SyncReply, ControlError> {
    if !reachable(shared, addr) {
        // A partition drops packets silently, so the requesting node only sees a timeout.
        tokio::time::sleep(Duration::from_secs(1)).await;
        return Err(ControlError::UnknownAddress);
    }
    count(shared, Traffic::PullsSent, frame.len());
    let answer = pull(addr, frame).await?;
    count(shared, Traffic::PullsReceived, answer.len());
    let (_, reply) = open_sync(&answer, key)?;
    Ok(reply)
}

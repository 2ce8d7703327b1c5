//! Asks other nodes for state and serves theirs, a bounded number at a time.

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

/// Pulls of this node that are open at the same time.
const MAX_OPEN_PULLS: usize = 2;
/// Pulls served at once and in a second.
const SERVE_LIMITS: (u32, u32) = (4, 20);

/// Holds the pulls that this node has open, and the bound on those it serves.
#[derive(Debug)]
pub(super) struct Pulls {
    shared: Arc<Shared>,
    key: MeshKey,
    inputs: mpsc::Sender<Input>,
    limiter: SyncLimiter,
    open: BTreeSet<NodeId>,
}

/// The end of one pull of this node.
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

    /// Starts a pull whose end comes as an [`Input::PullOutcome`]; returns whether it did.
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
            // The control loop is gone when the node has stopped.
            drop(inputs.send(Input::PullOutcome(pulled)).await);
        });
        true
    }

    /// Notes that a pull has ended.
    pub(super) fn end(&mut self, peer: NodeId) {
        self.open.remove(&peer);
    }

    /// Opens a request; one that does not hold against its tag is counted and dropped.
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

    /// Tells whether a request is served now, or the answer that sends the asker away.
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

    /// Answers a request.
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
        // A cut swallows packets, so the asker learns of it by its timeout only.
        tokio::time::sleep(Duration::from_secs(1)).await;
        return Err(ControlError::UnknownAddress);
    }
    count(shared, Traffic::PullsSent, frame.len());
    let answer = pull(addr, frame).await?;
    count(shared, Traffic::PullsReceived, answer.len());
    let (_, reply) = open_sync(&answer, key)?;
    Ok(reply)
}

//! Connections to other nodes that did not open, on their way from the calls to the control loop.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use swiftcart_core::{Instant, NodeId};

/// Holds the nodes to which no connection opened, and when the last one was tried.
///
/// The map has one entry a node at most, and the control loop empties it with each tick.
#[derive(Debug, Default)]
pub struct UnreachedNodes(Mutex<BTreeMap<NodeId, Instant>>);

impl UnreachedNodes {
    /// Notes that a connection to `node` did not open that was tried at `tried`.
    pub fn note(&self, node: NodeId, tried: Instant) {
        self.lock().insert(node, tried);
    }

    /// Takes what was noted since the last call.
    pub fn take(&self) -> BTreeMap<NodeId, Instant> {
        std::mem::take(&mut self.lock())
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<NodeId, Instant>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

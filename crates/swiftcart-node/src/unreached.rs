//! Failed connection attempts to other nodes, reported by calls to the control loop.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use swiftcart_core::{Instant, NodeId};

/// Nodes to which a connection attempt failed, with the time of the last failed attempt.
///
/// The map has at most one entry per node, and the control loop empties it at each tick.
#[derive(Debug, Default)]
pub struct UnreachedNodes(Mutex<BTreeMap<NodeId, Instant>>);

impl UnreachedNodes {
    /// Records that the connection attempt to `node` at `attempted` failed.
    pub fn note(&self, node: NodeId, attempted: Instant) {
        self.lock().insert(node, attempted);
    }

    /// Removes and returns the entries since the last call.
    pub fn take(&self) -> BTreeMap<NodeId, Instant> {
        std::mem::take(&mut self.lock())
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<NodeId, Instant>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

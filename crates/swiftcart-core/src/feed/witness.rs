//! Witness that stores the versions that other nodes report before enforcing them.

use std::collections::BTreeMap;

use crate::{NodeId, Version};

/// Maximum number of nodes that a witness stores. The node with the oldest version is evicted
/// first.
pub const MAX_WITNESSED_NODES: usize = 4096;

/// Store of the greatest version that each node has reported.
///
/// # Examples
///
/// ```
/// use swiftcart_core::{NodeId, Version, Witness};
///
/// let node = NodeId(([10, 0, 0, 2], 7000).into());
/// let mut witness = Witness::new();
/// assert!(witness.on_report(node, Version(4)));
/// assert_eq!(witness.answer(node, Version(3)), Version(4));
/// ```
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Witness(BTreeMap<NodeId, Version>);

impl Witness {
    /// Creates a witness without reports.
    #[must_use]
    pub const fn new() -> Self {
        Self(BTreeMap::new())
    }

    /// Stores a report and returns `true` if it was kept and may be acknowledged.
    pub fn on_report(&mut self, node: NodeId, version: Version) -> bool {
        let known = self.0.entry(node).or_default();
        *known = version.max(*known);
        if self.0.len() > MAX_WITNESSED_NODES {
            let oldest = self.0.iter().min_by_key(|(id, version)| (**version, **id));
            let oldest = oldest.map(|(id, _)| *id);
            oldest.and_then(|id| self.0.remove(&id));
        }
        self.0.contains_key(&node)
    }

    /// Returns the greatest version that `node` has reported.
    #[must_use]
    pub fn floor(&self, node: NodeId) -> Option<Version> {
        self.0.get(&node).copied()
    }

    /// Returns the version that the starting node `node` must have reached before it serves.
    ///
    /// `enforced` is the version that the answering node enforces, or [`Version::NONE`] while the
    /// answering node is not ready itself, because two starting nodes must not confirm each other's
    /// version. Including `enforced` makes a starting node catch up with a ready peer even if the
    /// witnesses of the starting node are lost.
    #[must_use]
    pub fn answer(&self, node: NodeId, enforced: Version) -> Version {
        self.floor(node).unwrap_or_default().max(enforced)
    }
}

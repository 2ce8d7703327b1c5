//! The witness: what other nodes reported before they put it in force.

use std::collections::BTreeMap;

use crate::{NodeId, Version};

/// Nodes that a witness remembers; the one with the oldest version goes first.
pub const MAX_WITNESSED_NODES: usize = 4096;

/// Remembers the greatest version that each node reported.
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
    /// Creates a witness that knows nothing.
    #[must_use]
    pub const fn new() -> Self {
        Self(BTreeMap::new())
    }

    /// Takes a report; returns whether it is remembered and may be acknowledged.
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

    /// Returns the greatest version that `node` reported.
    #[must_use]
    pub fn floor(&self, node: NodeId) -> Option<Version> {
        self.0.get(&node).copied()
    }

    /// Answers a joiner that asks how far it was.
    ///
    /// `enforced` is the version in force here, or [`Version::NONE`] while this
    /// node is not ready itself: two joiners must not vouch for each other. A
    /// joiner catches up with a ready peer even when its own witnesses are lost.
    #[must_use]
    pub fn answer(&self, node: NodeId, enforced: Version) -> Version {
        self.floor(node).unwrap_or_default().max(enforced)
    }
}

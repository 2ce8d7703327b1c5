//! What the node derives from the member list: ranks, witnesses, the push tree.

use swiftcart_core::{Membership, NodeId, rank, witnesses};

/// Holds derived lists until the membership changes.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub(super) struct Roster {
    /// The live nodes of the own failure domain, sorted, this one included.
    pub(super) near: Vec<NodeId>,
    /// The nodes that hear of a version before it is put in force.
    pub(super) witnesses: Vec<NodeId>,
    /// The nodes that a joiner asks how far it was: `near` and the witnesses elsewhere.
    pub(super) floor_peers: Vec<NodeId>,
    /// This node's rank among `near` for reading the platform's log.
    pub(super) rank: usize,
    /// All live nodes that are known.
    pub(super) known: usize,
}

impl Roster {
    /// Derives the lists from the current members.
    pub(super) fn new(membership: &Membership) -> Self {
        let me = membership.me();
        let live = |m: &&swiftcart_core::Member| m.liveness.is_live();
        let mut near: Vec<NodeId> = membership.live_in(&me.domain).map(|m| m.id).collect();
        near.sort_unstable();
        let far: Vec<NodeId> = membership
            .members()
            .filter(live)
            .filter(|m| m.domain != me.domain && membership.routable(m.id))
            .map(|m| m.id)
            .collect();
        let ranked = rank(&near, &me.domain.0);
        let witnesses = witnesses(me.id, &near, &far);
        let elsewhere = witnesses.iter().filter(|id| far.contains(id));
        let others = near.iter().filter(|id| **id != me.id);
        Self {
            floor_peers: others.chain(elsewhere).copied().collect(),
            witnesses,
            rank: ranked.iter().position(|id| *id == me.id).unwrap_or(0),
            known: near.len() + far.len(),
            near,
        }
    }
}

//! Lists derived from the membership: ranks, witnesses and the push tree.

use std::collections::BTreeMap;

use swiftcart_core::{FailureDomain, Membership, NodeId, rank, witnesses};

/// Derived lists, recomputed when the membership changes.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub(super) struct Roster {
    /// Live nodes of the local failure domain, sorted, including this one.
    pub(super) near: Vec<NodeId>,
    /// Live nodes of each other failure domain, sorted.
    pub(super) elsewhere: Vec<Vec<NodeId>>,
    /// Nodes that receive a report of a version before it is put in force.
    pub(super) witnesses: Vec<NodeId>,
    /// Nodes that a joiner asks for its last reported version: `near`, and the witnesses in other
    /// failure domains.
    pub(super) floor_peers: Vec<NodeId>,
    /// This node's rank among `near` for reading the platform's log.
    pub(super) rank: usize,
    /// This node's position in the order in which all nodes take over reading the platform.
    pub(super) takeover: usize,
    /// Number of known live nodes.
    pub(super) known: usize,
}

impl Roster {
    /// Derives the lists from the current members.
    pub(super) fn new(membership: &Membership) -> Self {
        let me = membership.me();
        let live = |m: &&swiftcart_core::Member| m.liveness.is_live();
        let mut near: Vec<NodeId> = membership.live_in(&me.domain).map(|m| m.id).collect();
        near.sort_unstable();
        let mut domains: BTreeMap<&FailureDomain, Vec<NodeId>> = BTreeMap::new();
        for member in membership.members().filter(live) {
            domains.entry(&member.domain).or_default().push(member.id);
        }
        let earlier = domains.keys().filter(|d| **d < &me.domain).count();
        let domain_count = domains.len().max(1);
        domains.remove(&me.domain);
        let far: Vec<NodeId> = membership
            .members()
            .filter(live)
            .filter(|m| m.domain != me.domain && membership.routable(m.id))
            .map(|m| m.id)
            .collect();
        let ranked = rank(&near, &me.domain.0);
        let witnesses = witnesses(me.id, &near, &far);
        let far_witnesses = witnesses.iter().filter(|id| far.contains(id));
        let others = near.iter().filter(|id| **id != me.id);
        let rank = ranked.iter().position(|id| *id == me.id).unwrap_or(0);
        let elsewhere = domains.into_values().map(|mut ids| {
            ids.sort_unstable();
            ids
        });
        Self {
            elsewhere: elsewhere.collect(),
            takeover: rank * domain_count + earlier,
            floor_peers: others.chain(far_witnesses).copied().collect(),
            witnesses,
            rank,
            known: near.len() + far.len(),
            near,
        }
    }
}

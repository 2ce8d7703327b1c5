//! Push tree and ranking of members. Nodes with the same member list compute the same results.

use crate::NodeId;

/// Returns the members to which `me` forwards the records that `origin` has read.
///
/// The members form a complete tree in sorted order, rotated so that `origin` is the root. Nodes
/// with the same member list build the same tree without exchanging messages.
///
/// # Examples
///
/// ```
/// use swiftcart_core::{NodeId, push_children};
///
/// let nodes: Vec<_> = (1..=4).map(|port| NodeId(([10, 0, 0, 1], port).into())).collect();
/// assert_eq!(push_children(&nodes, nodes[2], nodes[2], 2), [nodes[3], nodes[0]]);
/// assert_eq!(push_children(&nodes, nodes[2], nodes[3], 2), [nodes[1]]);
/// ```
#[must_use]
pub fn push_children(members: &[NodeId], origin: NodeId, me: NodeId, fanout: usize) -> Vec<NodeId> {
    let (Ok(origin_index) | Err(origin_index)) = members.binary_search(&origin);
    let (before, after) = members.split_at(origin_index);
    let others = after.iter().chain(before).filter(|id| **id != origin);
    let tree: Vec<_> = std::iter::once(origin).chain(others.copied()).collect();
    let index = tree.iter().position(|id| *id == me);
    let first = index.map_or(tree.len(), |i| i.saturating_mul(fanout).saturating_add(1));
    tree.into_iter().skip(first).take(fanout).collect()
}

/// Returns the members to which a node outside of them sends a message of round `round`.
///
/// [`relay_children`] forwards it to the others.
#[must_use]
pub fn relay_roots(members: &[NodeId], round: u64, fanout: usize) -> Vec<NodeId> {
    rotated(members, round).take(fanout).collect()
}

/// Returns the members to which `me` forwards a message of round `round`.
///
/// The members form `fanout` trees in sorted order, rotated by the round: a node that forwards
/// nothing affects other members in each round.
///
/// # Examples
///
/// ```
/// use swiftcart_core::{NodeId, relay_children, relay_roots};
///
/// let nodes: Vec<_> = (1..=5).map(|port| NodeId(([10, 0, 0, 1], port).into())).collect();
/// assert_eq!(relay_roots(&nodes, 3, 2), [nodes[3], nodes[4]]);
/// assert_eq!(relay_children(&nodes, 3, nodes[3], 2), [nodes[0], nodes[1]]);
/// assert_eq!(relay_children(&nodes, 3, nodes[4], 2), [nodes[2]]);
/// ```
#[must_use]
pub fn relay_children(members: &[NodeId], round: u64, me: NodeId, fanout: usize) -> Vec<NodeId> {
    let index = rotated(members, round).position(|id| id == me);
    let first = index.map_or(members.len(), |i| {
        i.saturating_add(1).saturating_mul(fanout)
    });
    let children = rotated(members, round).skip(first).take(fanout);
    children.collect()
}

fn rotated(members: &[NodeId], round: u64) -> impl Iterator<Item = NodeId> + '_ {
    let len = u64::try_from(members.len()).unwrap_or(u64::MAX).max(1);
    let start = usize::try_from(round % len).unwrap_or(0);
    let (before, after) = members.split_at(start.min(members.len()));
    after.iter().chain(before).copied()
}

/// Returns `members` in the order of their rendezvous hash with `salt`.
///
/// A member that joins or leaves does not change the order of the other members.
#[must_use]
pub fn rank(members: &[NodeId], salt: &str) -> Vec<NodeId> {
    let mut ranked = members.to_vec();
    ranked.sort_by_cached_key(|id| (rendezvous_hash(*id, salt), *id));
    ranked
}

fn rendezvous_hash(id: NodeId, salt: &str) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new();
    hasher.update(salt.as_bytes());
    hasher.update(&[0]);
    hasher.update(id.to_string().as_bytes());
    *hasher.finalize().as_bytes()
}

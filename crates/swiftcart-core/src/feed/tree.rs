//! The push tree and the ranking of members, both computed alike on every node.

use crate::NodeId;

/// Returns the members to which `me` passes on what `origin` has read.
///
/// The members form a complete tree in sorted order, turned so that `origin` is
/// the root; nodes with the same member list agree on it without a message.
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
    let (Ok(start) | Err(start)) = members.binary_search(&origin);
    let (before, after) = members.split_at(start);
    let others = after.iter().chain(before).filter(|id| **id != origin);
    let order: Vec<_> = std::iter::once(origin).chain(others.copied()).collect();
    let place = order.iter().position(|id| *id == me);
    let first = place.map_or(order.len(), |i| i.saturating_mul(fanout).saturating_add(1));
    order.into_iter().skip(first).take(fanout).collect()
}

/// Returns `members` in the order of their rendezvous hash with `salt`.
///
/// A member that comes or goes does not change the order of the others.
#[must_use]
pub fn rank(members: &[NodeId], salt: &str) -> Vec<NodeId> {
    let mut ranked = members.to_vec();
    ranked.sort_by_cached_key(|id| (score(*id, salt), *id));
    ranked
}

fn score(id: NodeId, salt: &str) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new();
    hasher.update(salt.as_bytes());
    hasher.update(&[0]);
    hasher.update(id.to_string().as_bytes());
    *hasher.finalize().as_bytes()
}

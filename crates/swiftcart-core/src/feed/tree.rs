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

//! Queue of membership updates to gossip, least transmitted first.

use std::collections::{BTreeMap, BTreeSet};

use crate::{MemberUpdate, NodeId};

/// Bytes reserved for the encoded length of the list.
const LENGTH_PREFIX_BYTES: usize = 2;

#[derive(Debug, Clone)]
struct Item {
    update: MemberUpdate,
    /// Encoded size in bytes.
    size: usize,
    /// Number of transmissions.
    transmits: u32,
    order: u64,
}

/// Queue of at most one update per node, where a newer update replaces the older one.
#[derive(Debug, Default, Clone)]
pub(super) struct UpdateQueue {
    items: BTreeMap<NodeId, Item>,
    /// Items ordered by transmissions, then by insertion.
    ranks: BTreeSet<(u32, u64, NodeId)>,
    last_order: u64,
}

impl UpdateQueue {
    /// Adds an update, replacing the update of the same node.
    pub fn push(&mut self, update: MemberUpdate) {
        let id = update.id();
        self.remove(id);
        self.last_order += 1;
        let item = Item {
            size: size_of(&update),
            update,
            transmits: 0,
            order: self.last_order,
        };
        self.ranks.insert((0, item.order, id));
        self.items.insert(id, item);
    }

    /// Removes the update of a node.
    pub fn remove(&mut self, id: NodeId) {
        if let Some(item) = self.items.remove(&id) {
            self.ranks.remove(&(item.transmits, item.order, id));
        }
    }

    /// Selects `first` and then queued updates of nodes that are `wanted`, up to `budget` bytes.
    ///
    /// Updates that were sent `transmit_limit` times are removed.
    pub fn fill(
        &mut self,
        first: Vec<MemberUpdate>,
        budget: usize,
        transmit_limit: u32,
        wanted: impl Fn(NodeId) -> bool,
    ) -> Vec<MemberUpdate> {
        let mut chosen = Self::fit(first, budget);
        let used: usize = chosen.iter().map(size_of).sum();
        let mut left = budget.saturating_sub(used + LENGTH_PREFIX_BYTES);
        let mut sent = Vec::new();
        for (_, _, id) in &self.ranks {
            let Some(item) = self.items.get(id).filter(|_| wanted(*id)) else {
                continue;
            };
            match chosen.iter().any(|u| u.id() == *id) {
                true => sent.push(*id),
                false if item.size <= left => {
                    left -= item.size;
                    chosen.push(item.update.clone());
                    sent.push(*id);
                }
                false => break,
            }
        }
        for id in sent {
            self.record_transmit(id, transmit_limit);
        }
        chosen
    }

    /// Removes the updates that do not fit into `budget` bytes.
    pub fn fit(mut updates: Vec<MemberUpdate>, budget: usize) -> Vec<MemberUpdate> {
        let mut left = budget.saturating_sub(LENGTH_PREFIX_BYTES);
        updates.retain(|update| {
            let size = size_of(update);
            let fits = size <= left;
            left -= if fits { size } else { 0 };
            fits
        });
        updates
    }

    /// Counts one transmission of an update, since a peer already knows it.
    pub fn record_duplicate(&mut self, id: NodeId, transmit_limit: u32) {
        self.record_transmit(id, transmit_limit);
    }

    /// Returns the number of queued updates.
    pub fn len(&self) -> usize {
        self.items.len()
    }

    fn record_transmit(&mut self, id: NodeId, transmit_limit: u32) {
        let Some(item) = self.items.get_mut(&id) else {
            return;
        };
        self.ranks.remove(&(item.transmits, item.order, id));
        item.transmits += 1;
        match item.transmits >= transmit_limit {
            true => drop(self.items.remove(&id)),
            false => drop(self.ranks.insert((item.transmits, item.order, id))),
        }
    }
}

/// Returns the encoded size, or a size beyond every budget if encoding fails.
fn size_of(update: &MemberUpdate) -> usize {
    postcard::experimental::serialized_size(update).unwrap_or(usize::MAX / 1024)
}

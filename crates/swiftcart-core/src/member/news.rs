//! The news that a node still has to pass on, least often sent first.

use std::collections::{BTreeMap, BTreeSet};

use crate::{MemberUpdate, NodeId};

/// Counts the bytes that do not count towards any item: room for the list's length.
const LIST_OVERHEAD: usize = 2;

#[derive(Debug, Clone)]
struct Item {
    news: MemberUpdate,
    size: usize,
    sent: u32,
    order: u64,
}

/// Holds at most one item for each node; newer news replaces older.
#[derive(Debug, Default, Clone)]
pub(super) struct NewsQueue {
    items: BTreeMap<NodeId, Item>,
    ranks: BTreeSet<(u32, u64, NodeId)>,
    order: u64,
}

impl NewsQueue {
    /// Adds news, in place of what the queue held of the same node.
    pub fn push(&mut self, news: MemberUpdate) {
        let id = news.id();
        self.remove(id);
        self.order += 1;
        let item = Item {
            size: size_of(&news),
            news,
            sent: 0,
            order: self.order,
        };
        self.ranks.insert((0, item.order, id));
        self.items.insert(id, item);
    }

    /// Forgets what the queue holds of a node.
    pub fn remove(&mut self, id: NodeId) {
        if let Some(item) = self.items.remove(&id) {
            self.ranks.remove(&(item.sent, item.order, id));
        }
    }

    /// Takes `first` and then queued news of nodes that are `wanted`, up to `budget` bytes; drops
    /// what was sent `limit` times.
    pub fn fill(
        &mut self,
        first: Vec<MemberUpdate>,
        budget: usize,
        limit: u32,
        wanted: impl Fn(NodeId) -> bool,
    ) -> Vec<MemberUpdate> {
        let mut chosen = Self::fit(first, budget);
        let taken: usize = chosen.iter().map(size_of).sum();
        let mut left = budget.saturating_sub(taken + LIST_OVERHEAD);
        let mut picked = Vec::new();
        for (_, _, id) in &self.ranks {
            let Some(item) = self.items.get(id).filter(|_| wanted(*id)) else {
                continue;
            };
            match chosen.iter().any(|n| n.id() == *id) {
                true => picked.push(*id),
                false if item.size <= left => {
                    left -= item.size;
                    chosen.push(item.news.clone());
                    picked.push(*id);
                }
                false => break,
            }
        }
        for id in picked {
            self.count(id, limit);
        }
        chosen
    }

    /// Drops from `news` what does not fit into `budget` bytes.
    pub fn fit(mut news: Vec<MemberUpdate>, budget: usize) -> Vec<MemberUpdate> {
        let mut left = budget.saturating_sub(LIST_OVERHEAD);
        news.retain(|item| {
            let size = size_of(item);
            let fits = size <= left;
            left -= if fits { size } else { 0 };
            fits
        });
        news
    }

    /// Notes that a peer knows this news already, which is as good as having sent it.
    pub fn known(&mut self, id: NodeId, limit: u32) {
        self.count(id, limit);
    }

    /// Returns the number of items.
    pub fn len(&self) -> usize {
        self.items.len()
    }

    fn count(&mut self, id: NodeId, limit: u32) {
        let Some(item) = self.items.get_mut(&id) else {
            return;
        };
        self.ranks.remove(&(item.sent, item.order, id));
        item.sent += 1;
        match item.sent >= limit {
            true => drop(self.items.remove(&id)),
            false => drop(self.ranks.insert((item.sent, item.order, id))),
        }
    }
}

/// Returns the encoded size; news that cannot be encoded fits nowhere.
fn size_of(news: &MemberUpdate) -> usize {
    postcard::experimental::serialized_size(news).unwrap_or(usize::MAX / 1024)
}

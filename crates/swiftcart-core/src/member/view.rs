//! What a node can be asked about the others.

use super::{HASH_BUCKETS, Membership};
use crate::{FailureDomain, Liveness, Member, MemberCounts, NodeId};

impl Membership {
    /// Returns this node's own entry.
    #[must_use]
    pub const fn me(&self) -> &Member {
        &self.me
    }

    /// Returns what is known of a node, also of a dead one that is remembered.
    #[must_use]
    pub fn member(&self, id: NodeId) -> Option<&Member> {
        self.list.get(id)
    }

    /// Iterates over all entries, this node's and those of remembered dead ones included.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.list.iter()
    }

    /// Iterates over the live entries of a failure domain, suspected ones included.
    pub fn live_in(&self, domain: &FailureDomain) -> impl Iterator<Item = &Member> {
        let ring = self.list.ring(domain);
        ring.iter().filter_map(|(_, id)| self.list.get(*id))
    }

    /// Iterates over the failure domains that have live entries.
    pub fn domains(&self) -> impl Iterator<Item = &FailureDomain> {
        self.list.domains()
    }

    /// Tells whether this node knows of no other live one.
    #[must_use]
    pub fn is_alone(&self) -> bool {
        self.list.live() <= 1
    }

    /// Tells whether new work may go to a node: alive, not suspected, its domain reachable.
    #[must_use]
    pub fn routable(&self, id: NodeId) -> bool {
        self.list
            .get(id)
            .is_some_and(|m| m.liveness == Liveness::Alive && !self.reach.is_cut(&m.domain))
    }

    /// Tells whether a failure domain is unreachable from this node.
    #[must_use]
    pub fn is_cut(&self, domain: &FailureDomain) -> bool {
        self.reach.is_cut(domain)
    }

    /// Tells whether this node has taken over a list from another one, or has no seeds.
    #[must_use]
    pub const fn is_synced(&self) -> bool {
        self.synced
    }

    /// Returns the hash over the live entries.
    #[must_use]
    pub fn hash(&self) -> u32 {
        self.list.hash()
    }

    /// Returns the hashes of the list's parts, which a pull sends along.
    #[must_use]
    pub const fn buckets(&self) -> [u32; HASH_BUCKETS] {
        self.list.buckets()
    }

    /// Returns the entries in which a peer with these hashes differs; this answers a pull.
    ///
    /// A list of another length counts as different everywhere.
    #[must_use]
    pub fn differing_entries(&self, theirs: &[u32]) -> Vec<Member> {
        let mine = self.list.buckets();
        let differs = |i: &u8| theirs.get(usize::from(*i)) != mine.get(usize::from(*i));
        let buckets: Vec<u8> = (0..HASH_BUCKETS as u8).filter(differs).collect();
        self.list.entries_of(&buckets)
    }

    /// Returns what the membership has counted since its start.
    #[must_use]
    pub const fn counts(&self) -> MemberCounts {
        self.counts
    }

    /// Returns the number of items still to be passed on.
    #[must_use]
    pub fn backlog(&self) -> usize {
        self.news.len()
    }
}

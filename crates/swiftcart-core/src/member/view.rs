//! Queries of the membership.

use super::{HASH_BUCKETS, Membership};
use crate::{FailureDomain, Liveness, Member, MemberCounts, NodeId};

impl Membership {
    /// Returns the own entry of this node.
    #[must_use]
    pub const fn me(&self) -> &Member {
        &self.me
    }

    /// Returns the entry of a node, which may be a tombstone.
    #[must_use]
    pub fn member(&self, id: NodeId) -> Option<&Member> {
        self.list.get(id)
    }

    /// Returns an iterator over all entries, including the own entry and tombstones.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.list.iter()
    }

    /// Returns an iterator over the live entries of a failure domain, including suspected nodes.
    pub fn live_in(&self, domain: &FailureDomain) -> impl Iterator<Item = &Member> {
        let ring = self.list.ring(domain);
        ring.iter().filter_map(|(_, id)| self.list.get(*id))
    }

    /// Returns an iterator over the failure domains that have live entries.
    pub fn domains(&self) -> impl Iterator<Item = &FailureDomain> {
        self.list.domains()
    }

    /// Returns `true` if this node knows no other live node.
    #[must_use]
    pub fn is_alone(&self) -> bool {
        self.list.live() <= 1
    }

    /// Returns `true` if new requests may be sent to a node.
    ///
    /// The node must be alive, not suspected, and in a reachable failure domain.
    #[must_use]
    pub fn routable(&self, id: NodeId) -> bool {
        self.list.get(id).is_some_and(|m| {
            m.liveness == Liveness::Alive && !self.reachability.is_unreachable(&m.domain)
        })
    }

    /// Returns `true` if a failure domain is unreachable from this node.
    #[must_use]
    pub fn is_cut(&self, domain: &FailureDomain) -> bool {
        self.reachability.is_unreachable(domain)
    }

    /// Returns `true` if this node has merged the list of another node, or has no seeds.
    #[must_use]
    pub const fn is_synced(&self) -> bool {
        self.synced
    }

    /// Returns the hash of the live entries.
    #[must_use]
    pub fn hash(&self) -> u32 {
        self.list.hash()
    }

    /// Returns the hashes of the list buckets, which a pull request contains.
    #[must_use]
    pub const fn buckets(&self) -> [u32; HASH_BUCKETS] {
        self.list.buckets()
    }

    /// Returns the entries of all buckets whose hash differs from that of a peer.
    ///
    /// The result answers a pull. A bucket that `theirs` lacks counts as different.
    #[must_use]
    pub fn differing_entries(&self, theirs: &[u32]) -> Vec<Member> {
        let mine = self.list.buckets();
        let differs = |i: &u8| theirs.get(usize::from(*i)) != mine.get(usize::from(*i));
        let buckets: Vec<u8> = (0..HASH_BUCKETS as u8).filter(differs).collect();
        self.list.entries_in(&buckets)
    }

    /// Returns the counters of the membership since its start.
    #[must_use]
    pub const fn counts(&self) -> MemberCounts {
        self.counts
    }

    /// Returns the number of updates that are still to be sent.
    #[must_use]
    pub fn backlog(&self) -> usize {
        self.updates.len()
    }
}

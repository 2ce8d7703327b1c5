//! Member list: entries, precedence of updates, and the hash of the list.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::{FailureDomain, Incarnation, Instant, Liveness, Member, MemberUpdate, NodeId, Status};

/// Number of buckets whose hashes are compared between two member lists.
pub const HASH_BUCKETS: usize = 64;

/// Result of applying an update to the member list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ApplyOutcome {
    /// The update changed the list.
    Changed,
    /// The list already held the same state.
    Duplicate,
    /// The list holds a newer state.
    Stale,
    /// The update lacks the entry that it needs to be stored.
    Incomplete,
    /// The list is full.
    ListFull,
}

#[derive(Debug, Clone)]
struct Record {
    member: Member,
    hash: u32,
    changed_at: Instant,
}

/// Member list with one entry per node, including tombstones of nodes that died or left.
///
/// The hash covers live entries only, since tombstones expire at different times on different
/// nodes. It ignores suspicion, which is resolved before a difference would matter.
#[derive(Debug, Clone)]
pub(super) struct MemberList {
    records: BTreeMap<NodeId, Record>,
    /// Live nodes of each failure domain in ring order.
    rings: BTreeMap<FailureDomain, Vec<(u64, NodeId)>>,
    /// Hash of the live entries in each bucket.
    buckets: [u32; HASH_BUCKETS],
    live: usize,
    /// Maximum number of live entries, and of tombstones.
    max_entries: usize,
}

impl MemberList {
    pub fn new(max_entries: usize) -> Self {
        Self {
            records: BTreeMap::new(),
            rings: BTreeMap::new(),
            buckets: [0; HASH_BUCKETS],
            live: 0,
            max_entries,
        }
    }

    /// Applies an update if it is newer than the state in the list.
    pub fn apply(&mut self, now: Instant, update: MemberUpdate) -> ApplyOutcome {
        match update {
            MemberUpdate::Entry(member) => self.apply_entry(now, member),
            MemberUpdate::Status(status) => self.apply_status(now, status),
        }
    }

    /// Inserts or replaces an entry without comparing incarnations.
    pub fn insert(&mut self, now: Instant, member: Member) {
        self.remove(member.id);
        let record = Record {
            hash: hash_of(&member),
            changed_at: now,
            member,
        };
        self.add_to_index(&record.member, record.hash);
        self.records.insert(record.member.id, record);
        if self.records.len() - self.live > self.max_entries {
            self.evict_oldest_tombstone();
        }
    }

    /// Removes the tombstones that are at least `ttl` old.
    pub fn expire_tombstones(&mut self, now: Instant, ttl: Duration) {
        let expired: Vec<NodeId> = self
            .tombstones()
            .filter(|r| now.since(r.changed_at) >= ttl)
            .map(|r| r.member.id)
            .collect();
        for id in expired {
            self.remove(id);
        }
    }

    /// Returns the nodes declared dead, which may have restarted unnoticed.
    pub fn dead(&self) -> impl Iterator<Item = NodeId> {
        self.tombstones()
            .filter(|r| r.member.liveness == Liveness::Dead)
            .map(|r| r.member.id)
    }

    /// Returns the nodes that died or left within `ttl`, which may be restarting.
    pub fn departed(&self, now: Instant, ttl: Duration) -> impl Iterator<Item = NodeId> {
        self.tombstones()
            .filter(move |r| now.since(r.changed_at) < ttl)
            .map(|r| r.member.id)
    }

    pub fn get(&self, id: NodeId) -> Option<&Member> {
        self.records.get(&id).map(|r| &r.member)
    }

    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.records.values().map(|r| &r.member)
    }

    /// Returns the live nodes of a failure domain in ring order.
    pub fn ring(&self, domain: &FailureDomain) -> &[(u64, NodeId)] {
        self.rings.get(domain).map_or(&[], Vec::as_slice)
    }

    /// Returns the failure domains that have live nodes.
    pub fn domains(&self) -> impl Iterator<Item = &FailureDomain> {
        self.rings.keys()
    }

    /// Returns the number of live nodes.
    pub const fn live(&self) -> usize {
        self.live
    }

    pub const fn buckets(&self) -> [u32; HASH_BUCKETS] {
        self.buckets
    }

    /// Returns all entries of the buckets, including tombstones.
    pub fn entries_in(&self, buckets: &[u8]) -> Vec<Member> {
        let wanted = |id: NodeId| buckets.contains(&bucket_of(ring_key(id)));
        self.iter().filter(|m| wanted(m.id)).cloned().collect()
    }

    /// Returns the hash of the whole list.
    pub fn hash(&self) -> u32 {
        let combine = |hash: u32, b: &u32| (hash ^ b).rotate_left(5).wrapping_mul(0x9e37_79b1);
        self.buckets.iter().fold(0, combine)
    }

    fn apply_entry(&mut self, now: Instant, member: Member) -> ApplyOutcome {
        let update = (member.incarnation, member.liveness);
        match self.get(member.id).map(|m| (m.incarnation, m.liveness)) {
            None if self.is_full(member.liveness) => ApplyOutcome::ListFull,
            None => {
                self.insert(now, member);
                ApplyOutcome::Changed
            }
            Some(known) if update < known => ApplyOutcome::Stale,
            Some(known) if update == known => ApplyOutcome::Duplicate,
            Some((_, old)) if !old.is_live() && self.is_full(member.liveness) => {
                ApplyOutcome::ListFull
            }
            Some(_) => {
                self.insert(now, member);
                ApplyOutcome::Changed
            }
        }
    }

    /// Applies a status update.
    ///
    /// A status with a greater incarnation follows an entry that this list lacks. Such a status is
    /// applied only if it states that the node has died or left.
    fn apply_status(&mut self, now: Instant, status: Status) -> ApplyOutcome {
        let update = (status.incarnation, status.liveness);
        let Some(known) = self.get(status.id) else {
            return ApplyOutcome::Incomplete;
        };
        match (known.incarnation, known.liveness) {
            old if update < old => ApplyOutcome::Stale,
            old if update == old => ApplyOutcome::Duplicate,
            (old, _) if status.liveness.is_live() && status.incarnation > old => {
                ApplyOutcome::Incomplete
            }
            _ => {
                let member = Member {
                    incarnation: status.incarnation,
                    liveness: status.liveness,
                    ..known.clone()
                };
                self.insert(now, member);
                ApplyOutcome::Changed
            }
        }
    }

    const fn is_full(&self, liveness: Liveness) -> bool {
        liveness.is_live() && self.live >= self.max_entries
    }

    fn tombstones(&self) -> impl Iterator<Item = &Record> {
        let departed = |r: &&Record| !r.member.liveness.is_live();
        self.records.values().filter(departed)
    }

    fn evict_oldest_tombstone(&mut self) {
        let oldest = self.tombstones().min_by_key(|r| r.changed_at);
        if let Some(id) = oldest.map(|r| r.member.id) {
            self.remove(id);
        }
    }

    fn remove(&mut self, id: NodeId) {
        if let Some(record) = self.records.remove(&id) {
            self.remove_from_index(&record.member, record.hash);
        }
    }

    fn add_to_index(&mut self, member: &Member, hash: u32) {
        if !member.liveness.is_live() {
            return;
        }
        let key = (ring_key(member.id), member.id);
        let ring = self.rings.entry(member.domain.clone()).or_default();
        if let Err(at) = ring.binary_search(&key) {
            ring.insert(at, key);
            self.live += 1;
            self.xor_bucket(key.0, hash);
        }
    }

    fn remove_from_index(&mut self, member: &Member, hash: u32) {
        if !member.liveness.is_live() {
            return;
        }
        let key = (ring_key(member.id), member.id);
        let Some(ring) = self.rings.get_mut(&member.domain) else {
            return;
        };
        if let Ok(at) = ring.binary_search(&key) {
            ring.remove(at);
            self.live -= 1;
            if ring.is_empty() {
                self.rings.remove(&member.domain);
            }
            self.xor_bucket(key.0, hash);
        }
    }

    fn xor_bucket(&mut self, key: u64, hash: u32) {
        if let Some(bucket) = self.buckets.get_mut(usize::from(bucket_of(key))) {
            *bucket ^= hash;
        }
    }
}

/// Returns the position of a node on the ring, a hash that is independent of its location.
pub(super) fn ring_key(id: NodeId) -> u64 {
    let bytes = postcard::to_stdvec(&id).unwrap_or_default();
    crate::Digest::of(&bytes).short()
}

const fn bucket_of(key: u64) -> u8 {
    (key % HASH_BUCKETS as u64) as u8
}

/// Returns the hash of the fields on which two lists must agree; liveness is left out.
fn hash_of(member: &Member) -> u32 {
    let Incarnation(number) = member.incarnation;
    let fields = (member.id, number, &member.domain, &member.backend);
    let bytes = postcard::to_stdvec(&fields).unwrap_or_default();
    let short = crate::Digest::of(&bytes).short();
    (short >> 32) as u32
}

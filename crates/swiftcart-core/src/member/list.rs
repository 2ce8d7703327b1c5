//! The member list: entries, which of two news wins, and the hash over all of it.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::{FailureDomain, Incarnation, Instant, Liveness, Member, MemberUpdate, NodeId, Status};

/// The number of parts in which two lists are compared.
pub const BUCKETS: usize = 64;

/// Tells what became of news.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Applied {
    /// It changed the list.
    Changed,
    /// The list held it already.
    Known,
    /// The list holds something newer.
    Older,
    /// It tells too little to be kept.
    Ignored,
    /// The list is full.
    Full,
}

#[derive(Debug, Clone)]
struct Record {
    member: Member,
    hash: u32,
    since: Instant,
}

/// Holds one entry for each node, live or remembered as dead.
///
/// The hash covers live entries only, suspected or not: tombstones are forgotten at
/// different times, and a suspicion is settled before a comparison would matter.
#[derive(Debug, Clone)]
pub(super) struct List {
    records: BTreeMap<NodeId, Record>,
    /// The live nodes of each failure domain in ring order.
    rings: BTreeMap<FailureDomain, Vec<(u64, NodeId)>>,
    buckets: [u32; BUCKETS],
    live: usize,
    bound: usize,
}

impl List {
    pub fn new(bound: usize) -> Self {
        Self {
            records: BTreeMap::new(),
            rings: BTreeMap::new(),
            buckets: [0; BUCKETS],
            live: 0,
            bound,
        }
    }

    /// Applies news when it is newer than what the list holds.
    pub fn apply(&mut self, now: Instant, news: MemberUpdate) -> Applied {
        match news {
            MemberUpdate::Entry(member) => self.apply_entry(now, member),
            MemberUpdate::Status(status) => self.apply_status(now, status),
        }
    }

    /// Puts an entry without asking what is newer.
    pub fn put(&mut self, now: Instant, member: Member) {
        self.take(member.id);
        let record = Record {
            hash: hash_of(&member),
            since: now,
            member,
        };
        self.link(&record.member, record.hash);
        self.records.insert(record.member.id, record);
        if self.records.len() - self.live > self.bound {
            self.drop_oldest();
        }
    }

    /// Forgets tombstones older than `memory`.
    pub fn forget(&mut self, now: Instant, memory: Duration) {
        let old: Vec<NodeId> = self
            .tombstones()
            .filter(|r| now.since(r.since) >= memory)
            .map(|r| r.member.id)
            .collect();
        for id in old {
            self.take(id);
        }
    }

    /// Returns the dead nodes, which may have come back unnoticed.
    pub fn dead(&self) -> impl Iterator<Item = NodeId> {
        self.tombstones()
            .filter(|r| r.member.liveness == Liveness::Dead)
            .map(|r| r.member.id)
    }

    /// Returns the nodes that died or left within `memory`, which may be on their way back.
    pub fn departed(&self, now: Instant, memory: Duration) -> impl Iterator<Item = NodeId> {
        self.tombstones()
            .filter(move |r| now.since(r.since) < memory)
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

    pub const fn buckets(&self) -> [u32; BUCKETS] {
        self.buckets
    }

    /// Returns all entries, live and dead, of these buckets.
    pub fn entries_of(&self, buckets: &[u8]) -> Vec<Member> {
        let wanted = |id: NodeId| buckets.contains(&bucket_of(ring_key(id)));
        self.iter().filter(|m| wanted(m.id)).cloned().collect()
    }

    /// Returns the hash over the whole list.
    pub fn hash(&self) -> u32 {
        let fold = |sum: u32, b: &u32| (sum ^ b).rotate_left(5).wrapping_mul(0x9e37_79b1);
        self.buckets.iter().fold(0, fold)
    }

    fn apply_entry(&mut self, now: Instant, member: Member) -> Applied {
        let news = (member.incarnation, member.liveness);
        match self.get(member.id).map(|m| (m.incarnation, m.liveness)) {
            None if self.is_full(member.liveness) => Applied::Full,
            None => {
                self.put(now, member);
                Applied::Changed
            }
            Some(known) if news < known => Applied::Older,
            Some(known) if news == known => Applied::Known,
            Some((_, old)) if !old.is_live() && self.is_full(member.liveness) => Applied::Full,
            Some(_) => {
                self.put(now, member);
                Applied::Changed
            }
        }
    }

    /// Applies a status; one that skips an entry we lack is kept only when the node is gone.
    fn apply_status(&mut self, now: Instant, status: Status) -> Applied {
        let news = (status.incarnation, status.liveness);
        let Some(known) = self.get(status.id) else {
            return Applied::Ignored;
        };
        match (known.incarnation, known.liveness) {
            old if news < old => Applied::Older,
            old if news == old => Applied::Known,
            (old, _) if status.liveness.is_live() && status.incarnation > old => Applied::Ignored,
            _ => {
                let member = Member {
                    incarnation: status.incarnation,
                    liveness: status.liveness,
                    ..known.clone()
                };
                self.put(now, member);
                Applied::Changed
            }
        }
    }

    const fn is_full(&self, liveness: Liveness) -> bool {
        liveness.is_live() && self.live >= self.bound
    }

    fn tombstones(&self) -> impl Iterator<Item = &Record> {
        let gone = |r: &&Record| !r.member.liveness.is_live();
        self.records.values().filter(gone)
    }

    fn drop_oldest(&mut self) {
        let oldest = self.tombstones().min_by_key(|r| r.since);
        if let Some(id) = oldest.map(|r| r.member.id) {
            self.take(id);
        }
    }

    fn take(&mut self, id: NodeId) {
        if let Some(record) = self.records.remove(&id) {
            self.unlink(&record.member, record.hash);
        }
    }

    fn link(&mut self, member: &Member, hash: u32) {
        if !member.liveness.is_live() {
            return;
        }
        let key = (ring_key(member.id), member.id);
        let ring = self.rings.entry(member.domain.clone()).or_default();
        if let Err(at) = ring.binary_search(&key) {
            ring.insert(at, key);
            self.live += 1;
            self.toggle(key.0, hash);
        }
    }

    fn unlink(&mut self, member: &Member, hash: u32) {
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
            self.toggle(key.0, hash);
        }
    }

    fn toggle(&mut self, key: u64, hash: u32) {
        if let Some(bucket) = self.buckets.get_mut(usize::from(bucket_of(key))) {
            *bucket ^= hash;
        }
    }
}

/// Returns the node's place on the ring, which has nothing to do with where it stands.
pub(super) fn ring_key(id: NodeId) -> u64 {
    let bytes = postcard::to_stdvec(&id).unwrap_or_default();
    crate::Digest::of(&bytes).short()
}

const fn bucket_of(key: u64) -> u8 {
    (key % BUCKETS as u64) as u8
}

/// Hashes what two lists must agree on; a suspicion counts as alive.
fn hash_of(member: &Member) -> u32 {
    let Incarnation(number) = member.incarnation;
    let view = (member.id, number, &member.domain, &member.backend);
    let bytes = postcard::to_stdvec(&view).unwrap_or_default();
    let short = crate::Digest::of(&bytes).short();
    (short >> 32) as u32
}

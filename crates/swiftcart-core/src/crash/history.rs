//! History of backend server crashes and of the requests that were running.

use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::{CallerHash, CrashId, Fingerprint, HeadHash, RequestDigest};
use crate::Instant;

/// Maximum number of crashes that are remembered: about ten times the backend servers of the
/// largest service. The oldest is evicted first.
const MAX_CRASHES: usize = 256;

/// Maximum number of suspects per crash: the slots of a large backend server.
const MAX_SUSPECTS_PER_CRASH: usize = 128;

/// Time in the past, which may lie before the start of this process's clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct PastTime {
    reported: Instant,
    age: Duration,
}

impl PastTime {
    pub const fn now(now: Instant) -> Self {
        Self::reported(now, Duration::ZERO)
    }

    /// Creates the time that lay `age` before `reported`.
    pub const fn reported(reported: Instant, age: Duration) -> Self {
        Self { reported, age }
    }

    /// Returns `true` if this node saw the event itself. Events reported by other nodes have an
    /// age.
    pub const fn is_local(self) -> bool {
        self.age.is_zero()
    }

    pub fn age(self, now: Instant) -> Duration {
        self.age.saturating_add(now.since(self.reported))
    }
}

/// Crash of a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct CrashEntry {
    pub at: PastTime,
    /// Requests that were running.
    pub prints: BTreeSet<Fingerprint>,
    /// Number of gossip rounds in which the crash is still forwarded.
    pub rounds: u32,
}

/// Crashes at which one request was running, each with the services that had sent the request.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub(super) struct Suspect(BTreeMap<CrashId, BTreeSet<CallerHash>>);

impl Suspect {
    /// Returns the number of crashes.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns the crashes, each with the services that had sent the request.
    pub fn crashes(&self) -> impl Iterator<Item = (&CrashId, &BTreeSet<CallerHash>)> {
        self.0.iter()
    }

    /// Returns the services that have sent the request.
    pub fn callers(&self) -> BTreeSet<CallerHash> {
        self.0.values().flatten().copied().collect()
    }
}

/// Known crashes by id, and the crashes of each suspect by request. Both maps hold the same pairs
/// of crash and fingerprint.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub(super) struct CrashHistory {
    crashes: BTreeMap<CrashId, CrashEntry>,
    suspects: BTreeMap<RequestDigest, Suspect>,
}

impl CrashHistory {
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty()
    }

    pub fn iter(&self) -> impl Iterator<Item = (&CrashId, &CrashEntry)> {
        self.crashes.iter()
    }

    /// Returns the crashes that are to be forwarded in at least one more gossip round.
    pub fn due(&mut self) -> impl Iterator<Item = (&CrashId, &mut CrashEntry)> {
        self.crashes
            .iter_mut()
            .filter(|(_, crash)| crash.rounds > 0)
    }

    pub fn get(&self, id: CrashId) -> Option<&CrashEntry> {
        self.crashes.get(&id)
    }

    pub fn suspect(&self, request: RequestDigest) -> Option<&Suspect> {
        self.suspects.get(&request)
    }

    pub fn suspects(&self) -> impl Iterator<Item = (&RequestDigest, &Suspect)> {
        self.suspects.iter()
    }

    /// Returns `true` if a request with this head is a suspect.
    pub fn has_head(&self, head: HeadHash) -> bool {
        let first = RequestDigest {
            head,
            ..RequestDigest::default()
        };
        let mut from = self.suspects.range(first..);
        from.next().is_some_and(|(request, _)| request.head == head)
    }

    /// Records the requests that were running at a crash. Returns `true` if any of them is new.
    pub fn record(
        &mut self,
        now: Instant,
        id: CrashId,
        at: PastTime,
        prints: &[Fingerprint],
    ) -> bool {
        let crash = self.crashes.entry(id).or_insert_with(|| CrashEntry {
            at,
            prints: BTreeSet::new(),
            rounds: 0,
        });
        let before = crash.prints.len();
        let room = MAX_SUSPECTS_PER_CRASH.saturating_sub(before);
        for print in prints.iter().take(room) {
            crash.prints.insert(*print);
            let suspect = self.suspects.entry(print.request).or_default();
            suspect.0.entry(id).or_default().insert(print.caller);
        }
        let changed = crash.prints.len() > before;
        self.evict_oldest(now);
        changed
    }

    /// Forwards a crash in the next `rounds` gossip rounds.
    pub fn forward(&mut self, id: CrashId, rounds: u32) {
        if let Some(crash) = self.crashes.get_mut(&id) {
            crash.rounds = rounds;
        }
    }

    /// Removes a request of one calling service from all crashes.
    pub fn forget(&mut self, print: Fingerprint) {
        let Entry::Occupied(mut suspect) = self.suspects.entry(print.request) else {
            return;
        };
        suspect.get_mut().0.retain(|id, callers| {
            if let Some(crash) = self.crashes.get_mut(id) {
                crash.prints.remove(&print);
            }
            callers.remove(&print.caller);
            !callers.is_empty()
        });
        if suspect.get().0.is_empty() {
            suspect.remove();
        }
    }

    /// Removes a request of all calling services from all crashes.
    pub fn forget_request(&mut self, request: RequestDigest) {
        let callers = self.suspects.get(&request).map(Suspect::callers);
        for caller in callers.unwrap_or_default() {
            self.forget(Fingerprint { request, caller });
        }
    }

    /// Removes the crashes that have no suspects left.
    pub fn prune(&mut self) {
        self.crashes.retain(|_, crash| !crash.prints.is_empty());
    }

    /// Returns the crashes of a suspect at which no other request with more crashes was running.
    ///
    /// A crash is attributed to the running requests with the most crashes, so that a request that
    /// ran at the same time as the cause is not blamed.
    pub fn attributed(&self, suspect: &Suspect) -> Vec<&CrashEntry> {
        let max_crashes = |crash: &CrashEntry| {
            let suspects = crash.prints.iter().filter_map(|p| self.suspect(p.request));
            suspects.map(Suspect::len).max()
        };
        let crashes = suspect.0.keys().filter_map(|id| self.crashes.get(id));
        crashes
            .filter(|crash| max_crashes(crash) <= Some(suspect.len()))
            .collect()
    }

    /// Returns the time since the last crash of a suspect.
    pub fn last_age(&self, now: Instant, suspect: &Suspect) -> Duration {
        let crashes = suspect.0.keys().filter_map(|id| self.crashes.get(id));
        let ages = crashes.map(|crash| crash.at.age(now));
        ages.min().unwrap_or(Duration::MAX)
    }

    /// Removes the oldest crash if there are more than `MAX_CRASHES`.
    fn evict_oldest(&mut self, now: Instant) {
        if self.crashes.len() <= MAX_CRASHES {
            return;
        }
        let oldest = self
            .crashes
            .iter()
            .max_by_key(|(_, crash)| crash.at.age(now));
        let Some(id) = oldest.map(|(id, _)| *id) else {
            return;
        };
        let prints = self.crashes.remove(&id).map(|crash| crash.prints);
        for print in prints.unwrap_or_default() {
            if let Entry::Occupied(mut suspect) = self.suspects.entry(print.request) {
                suspect.get_mut().0.remove(&id);
                if suspect.get().0.is_empty() {
                    suspect.remove();
                }
            }
        }
    }
}

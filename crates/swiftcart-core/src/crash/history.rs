//! Which requests were running at which ends of backend servers.

use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::{CallerHash, CrashId, Fingerprint, HeadHash, RequestDigest};
use crate::Instant;

/// The most ends that are remembered, some ten of the largest service at once; the oldest goes first.
const ENDS_MOST: usize = 256;

/// The most requests that one end can make suspects: the slots of a large backend server.
const PRINTS_MOST: usize = 128;

/// A time in the past, which may lie before this process's clock has started.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Past {
    heard: Instant,
    age: Duration,
}

impl Past {
    pub const fn now(now: Instant) -> Self {
        Self::heard(now, Duration::ZERO)
    }

    /// Creates the time that was `age` ago when it was heard of.
    pub const fn heard(heard: Instant, age: Duration) -> Self {
        Self { heard, age }
    }

    /// Tells whether it was noted as it happened; what comes from others has an age.
    pub const fn is_own(self) -> bool {
        self.age.is_zero()
    }

    pub fn age(self, now: Instant) -> Duration {
        self.age.saturating_add(now.since(self.heard))
    }
}

/// The end of a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct End {
    pub at: Past,
    /// What was running.
    pub prints: BTreeSet<Fingerprint>,
    /// The rounds in which it is still passed on.
    pub rounds: u32,
}

/// The ends at which one request was running, and the services that it came from.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub(super) struct Suspect(BTreeMap<CrashId, BTreeSet<CallerHash>>);

impl Suspect {
    /// Returns the number of ends.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns the ends, each with the services that it came from then.
    pub fn ends(&self) -> impl Iterator<Item = (&CrashId, &BTreeSet<CallerHash>)> {
        self.0.iter()
    }

    /// Returns the services that it came from.
    pub fn callers(&self) -> BTreeSet<CallerHash> {
        self.0.values().flatten().copied().collect()
    }
}

/// Keeps ends and suspects; both sides of the same relation.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub(super) struct Ends {
    ends: BTreeMap<CrashId, End>,
    suspects: BTreeMap<RequestDigest, Suspect>,
}

impl Ends {
    pub fn is_empty(&self) -> bool {
        self.ends.is_empty()
    }

    pub fn iter(&self) -> impl Iterator<Item = (&CrashId, &End)> {
        self.ends.iter()
    }

    /// Returns the ends that are still passed on.
    pub fn due(&mut self) -> impl Iterator<Item = (&CrashId, &mut End)> {
        self.ends.iter_mut().filter(|(_, end)| end.rounds > 0)
    }

    pub fn get(&self, id: CrashId) -> Option<&End> {
        self.ends.get(&id)
    }

    pub fn suspect(&self, request: RequestDigest) -> Option<&Suspect> {
        self.suspects.get(&request)
    }

    pub fn suspects(&self) -> impl Iterator<Item = (&RequestDigest, &Suspect)> {
        self.suspects.iter()
    }

    /// Tells whether some request with this head is a suspect.
    pub fn has_head(&self, head: HeadHash) -> bool {
        let first = RequestDigest {
            head,
            ..RequestDigest::default()
        };
        let mut from = self.suspects.range(first..);
        from.next().is_some_and(|(request, _)| request.head == head)
    }

    /// Notes what was running at an end; returns whether any of it is news.
    pub fn note(&mut self, now: Instant, id: CrashId, at: Past, prints: &[Fingerprint]) -> bool {
        let end = self.ends.entry(id).or_insert_with(|| End {
            at,
            prints: BTreeSet::new(),
            rounds: 0,
        });
        let before = end.prints.len();
        let room = PRINTS_MOST.saturating_sub(before);
        for print in prints.iter().take(room) {
            end.prints.insert(*print);
            let suspect = self.suspects.entry(print.request).or_default();
            suspect.0.entry(id).or_default().insert(print.caller);
        }
        let news = end.prints.len() > before;
        self.bound(now);
        news
    }

    /// Has an end passed on again.
    pub fn pass_on(&mut self, id: CrashId, rounds: u32) {
        if let Some(end) = self.ends.get_mut(&id) {
            end.rounds = rounds;
        }
    }

    /// Removes a request of one service from all ends.
    pub fn forget(&mut self, print: Fingerprint) {
        let Entry::Occupied(mut suspect) = self.suspects.entry(print.request) else {
            return;
        };
        suspect.get_mut().0.retain(|id, callers| {
            if let Some(end) = self.ends.get_mut(id) {
                end.prints.remove(&print);
            }
            callers.remove(&print.caller);
            !callers.is_empty()
        });
        if suspect.get().0.is_empty() {
            suspect.remove();
        }
    }

    /// Removes a request of all services from all ends.
    pub fn forget_request(&mut self, request: RequestDigest) {
        let callers = self.suspects.get(&request).map(Suspect::callers);
        for caller in callers.unwrap_or_default() {
            self.forget(Fingerprint { request, caller });
        }
    }

    /// Drops the ends at which nobody is suspected any more.
    pub fn prune(&mut self) {
        self.ends.retain(|_, end| !end.prints.is_empty());
    }

    /// Returns those of a request's ends at which no other one was running that was at more ends:
    /// who ran beside the cause each time is not the cause.
    pub fn own(&self, suspect: &Suspect) -> Vec<&End> {
        let others = |end: &End| {
            let suspects = end.prints.iter().filter_map(|p| self.suspect(p.request));
            suspects.map(Suspect::len).max()
        };
        let ends = suspect.0.keys().filter_map(|id| self.ends.get(id));
        ends.filter(|end| others(end) <= Some(suspect.len()))
            .collect()
    }

    /// Returns the time since the last of a request's ends.
    pub fn youngest(&self, now: Instant, suspect: &Suspect) -> Duration {
        let ends = suspect.0.keys().filter_map(|id| self.ends.get(id));
        let ages = ends.map(|end| end.at.age(now));
        ages.min().unwrap_or(Duration::MAX)
    }

    /// Gives the oldest end up when there are too many.
    fn bound(&mut self, now: Instant) {
        if self.ends.len() <= ENDS_MOST {
            return;
        }
        let oldest = self.ends.iter().max_by_key(|(_, end)| end.at.age(now));
        let Some(id) = oldest.map(|(id, _)| *id) else {
            return;
        };
        let prints = self.ends.remove(&id).map(|end| end.prints);
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

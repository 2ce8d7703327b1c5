//! Quarantine of requests that crash backend servers.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::history::{CrashEntry, CrashHistory, PastTime, Suspect};
use super::{
    CallerHash, CrashId, Finding, Findings, Fingerprint, HeadHash, QuarantineRecord, RequestDigest,
};
use crate::Instant;

/// Number of crashes after which a request is held if it is the only one common to all of them.
///
/// One crash does not tell which of the 11 to 18 concurrent requests caused it. A harmless request
/// that is retried may run during a second crash by chance: about one in 25 does so in a service of
/// six backend servers while another request keeps crashing them.
const MIN_CRASHES: usize = 3;

/// Number of crashes after which a request is held regardless of which other requests were running.
const MIN_SHARED_CRASHES: usize = MIN_CRASHES + 1;

/// Number of recorded crashes after which a request that is the only one common to them, and has
/// just crashed another backend server, is not retried.
///
/// The latest crash is not counted yet at that point. Waiting until all nodes know of it would cost
/// another backend server.
const MIN_CRASHES_TO_STOP_RETRY: usize = MIN_CRASHES - 1;

/// Time for which a request is held after the crash that identified it.
///
/// The time doubles with each further crash, because each early release costs one more backend
/// server and all requests that run on it.
const BASE_HOLD: Duration = Duration::from_secs(60);

/// Maximum time for which a request is held.
const MAX_HOLD: Duration = Duration::from_secs(60 * 60);

/// Time for which a request is suspected after a crash, and after its hold has ended.
///
/// Callers give up or change their request within a few seconds.
const SUSPECT_RETENTION: Duration = Duration::from_secs(60);

/// Time for which a request that has completed cannot become a suspect.
const CLEARED_RETENTION: Duration = Duration::from_secs(60);

/// Maximum number of completed requests that are remembered; the oldest is evicted first.
const MAX_CLEARED: usize = 1024;

/// Number of gossip rounds in which a node forwards a finding.
///
/// With three peers per round, one node in 8,000 misses the finding. Anti-entropy delivers it to
/// those nodes.
const GOSSIP_ROUNDS: u32 = 3;

/// Findings that a node forwards in one gossip round.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct DueFindings {
    /// `true` if the node found at least one of the findings itself. Such a batch is also sent to
    /// other failure domains.
    pub own: bool,
    /// Findings to forward.
    pub list: Vec<Finding>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Cleared {
    at: PastTime,
    rounds: u32,
}

/// Quarantine for requests that crash the backend servers that run them.
///
/// Each node keeps the crashes that it and other nodes have seen, each with the requests that were
/// running. A request is held if it is the only one common to three crashes, or if it was running
/// at four crashes regardless of the others. No node hands a held request to a backend server.
///
/// Three rules protect requests that merely ran at the same time as the cause:
///
/// - A crash counts only against those of the running requests that were running at the most
///   crashes.
/// - A crash at which a held request was running counts against no other request.
/// - A request that completes on any backend server is cleared on all nodes.
///
/// The same request from another calling service is served until it has crashed a backend server
/// too. From then on it is held for all callers. All entries expire, and their number is bounded.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use swiftcart_core::{CrashId, Fingerprint, Instant, Quarantine};
///
/// let (now, print) = (Instant::from_millis(0), Fingerprint::default());
/// let mut quarantine = Quarantine::default();
/// for id in [1, 2, 3] {
///     assert_eq!(quarantine.held(now, print), None);
///     quarantine.crashed(now, CrashId(id), &[print]);
/// }
/// assert_eq!(quarantine.held(now, print), Some(Duration::from_secs(60)));
/// quarantine.finished(now, print);
/// assert_eq!(quarantine.held(now, print), None);
/// ```
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Quarantine {
    crashes: CrashHistory,
    cleared: BTreeMap<Fingerprint, Cleared>,
}

impl Quarantine {
    /// Returns `true` if there are no crashes and no cleared requests.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.cleared.is_empty()
    }

    /// Returns `true` if a request with this head may be a suspect.
    #[must_use]
    pub fn has_suspect(&self, head: HeadHash) -> bool {
        self.crashes.has_head(head)
    }

    /// Returns the time for which a request is still held, or `None` if it is not held.
    #[must_use]
    pub fn held(&self, now: Instant, print: Fingerprint) -> Option<Duration> {
        let suspect = self.crashes.suspect(print.request)?;
        let left = self.remaining_hold(now, suspect)?;
        let callers = suspect.callers();
        let applies = callers.len() > 1 || callers.contains(&print.caller);
        applies.then_some(left)
    }

    /// Returns each request that is held for at least one calling service, with the time for which
    /// it is still held.
    #[must_use]
    pub fn all_held(&self, now: Instant) -> BTreeMap<RequestDigest, Duration> {
        let suspects = self.crashes.suspects();
        let held =
            suspects.filter_map(|(request, s)| Some((*request, self.remaining_hold(now, s)?)));
        held.collect()
    }

    /// Returns the record to persist for a held request, or `None` if the request is not held or
    /// this node has not seen any of its crashes itself.
    #[must_use]
    pub fn record(
        &self,
        now: Instant,
        unix_ms: u64,
        request: RequestDigest,
    ) -> Option<QuarantineRecord> {
        let suspect = self.crashes.suspect(request)?;
        let left = self.remaining_hold(now, suspect)?;
        let mut own = false;
        let mut ends = Vec::new();
        for (id, callers) in suspect.crashes() {
            let at = self.crashes.get(*id)?.at;
            own |= at.is_local();
            let with = |caller: &CallerHash| Fingerprint {
                request,
                caller: *caller,
            };
            let prints: Vec<Fingerprint> = callers.iter().map(with).collect();
            ends.extend(Finding::crashed(*id, at.age(now), &prints));
        }
        let kept = u64::try_from((left + SUSPECT_RETENTION).as_millis()).unwrap_or(u64::MAX);
        own.then_some(QuarantineRecord {
            request,
            written_ms: unix_ms,
            until_ms: unix_ms.saturating_add(kept),
            ends,
        })
    }

    /// Returns the number of crashes at which a request was running, for any calling service.
    #[must_use]
    pub fn crash_count(&self, request: RequestDigest) -> usize {
        self.crashes.suspect(request).map_or(0, Suspect::len)
    }

    /// Returns `true` if a request that has just crashed a backend server is expected to crash the
    /// next one too.
    ///
    /// A request that shared each of its crashes with the same other request is expected to crash
    /// the next one only after `MIN_SHARED_CRASHES`.
    #[must_use]
    pub fn would_crash_again(&self, request: RequestDigest) -> bool {
        let suspect = self.crashes.suspect(request);
        let attributed = suspect.map(|suspect| self.crashes.attributed(suspect));
        attributed.is_some_and(|crashes| match crashes.len() {
            MIN_SHARED_CRASHES.. => true,
            MIN_CRASHES_TO_STOP_RETRY.. => has_single_suspect(&crashes),
            _ => false,
        })
    }

    /// Records a crash and the requests that were running, or adds requests to a known crash.
    ///
    /// Returns `true` if any of them was not recorded before.
    pub fn crashed(&mut self, now: Instant, id: CrashId, prints: &[Fingerprint]) -> bool {
        self.insert(now, id, PastTime::now(now), prints)
    }

    /// Records that a request has completed. Returns `true` if that clears a suspect.
    pub fn finished(&mut self, now: Instant, print: Fingerprint) -> bool {
        let suspect = self.crashes.suspect(print.request);
        let known = suspect.is_some_and(|suspect| suspect.callers().contains(&print.caller));
        known && self.clear(now, PastTime::now(now), print)
    }

    /// Merges findings of another node.
    pub fn merge(&mut self, now: Instant, findings: &[Finding]) {
        for finding in findings {
            let at = PastTime::reported(now, finding.age());
            match finding {
                Finding::Crashed { id, prints, .. } => drop(self.insert(now, *id, at, prints)),
                Finding::Finished { print, .. } => drop(self.clear(now, at, *print)),
            }
        }
    }

    /// Returns the findings to forward in this gossip round.
    pub fn due_findings(&mut self, now: Instant) -> DueFindings {
        let mut due = DueFindings::default();
        for (id, crash) in self.crashes.due() {
            crash.rounds -= 1;
            due.own |= crash.at.is_local();
            due.list.extend(crash_findings(*id, crash, now));
        }
        for (print, cleared) in self.cleared.iter_mut().filter(|(_, c)| c.rounds > 0) {
            cleared.rounds -= 1;
            due.own |= cleared.at.is_local();
            let finished = Finding::finished(*print, cleared.at.age(now));
            due.list.push(finished);
        }
        due
    }

    /// Returns all findings, for a node whose digest differs.
    #[must_use]
    pub fn all(&self, now: Instant) -> Vec<Finding> {
        let crashes = self
            .crashes
            .iter()
            .flat_map(|(id, crash)| crash_findings(*id, crash, now));
        let cleared = self.cleared.iter();
        let cleared = cleared.map(|(print, c)| Finding::finished(*print, c.at.age(now)));
        crashes.chain(cleared).collect()
    }

    /// Returns a digest of all findings. It is equal on two nodes that have the same findings.
    #[must_use]
    pub fn digest(&self) -> u64 {
        let crashes = self.crashes.iter().map(|(id, _)| id.0);
        let cleared = self.cleared.keys().map(|print| {
            let RequestDigest { head, body } = print.request;
            (head.0 ^ body.0).rotate_left(1) ^ u64::from(print.caller.0)
        });
        crashes.chain(cleared).fold(0, |digest, hash| digest ^ hash)
    }

    /// Returns the message that starts an anti-entropy exchange: the digest without findings.
    #[must_use]
    pub fn summary(&self) -> Findings {
        Findings {
            digest: self.digest(),
            ..Findings::default()
        }
    }

    /// Returns the message that requests all findings of the receiver.
    #[must_use]
    pub fn full_sync(&self) -> Findings {
        Findings {
            asks: true,
            ..self.summary()
        }
    }

    /// Returns a request for all findings if `findings` is a summary whose digest differs from the
    /// local one.
    #[must_use]
    pub fn sync_request(&self, findings: &Findings) -> Option<Findings> {
        let compares = findings.list.is_empty() && !findings.asks;
        (compares && self.digest() != findings.digest).then(|| self.full_sync())
    }

    /// Removes expired entries.
    pub fn sweep(&mut self, now: Instant) {
        self.cleared
            .retain(|_, c| c.at.age(now) < CLEARED_RETENTION);
        let expired = |(request, suspect): (&RequestDigest, &Suspect)| {
            let kept = self.hold_time(suspect).unwrap_or_default() + SUSPECT_RETENTION;
            (self.crashes.last_age(now, suspect) >= kept).then_some(*request)
        };
        let expired: Vec<RequestDigest> = self.crashes.suspects().filter_map(expired).collect();
        for request in expired {
            self.crashes.forget_request(request);
        }
        self.crashes.prune();
    }

    fn insert(&mut self, now: Instant, id: CrashId, at: PastTime, prints: &[Fingerprint]) -> bool {
        if at.age(now) >= MAX_HOLD {
            return false;
        }
        // If a held request was running, it is taken as the cause, and the others are not blamed.
        let culprits = prints.iter().filter(|p| self.held(now, **p).is_some());
        let culprits: Vec<Fingerprint> = culprits.copied().collect();
        let blamed = match culprits.is_empty() {
            true => prints,
            false => &culprits[..],
        };
        let not_cleared = |print: &&Fingerprint| !self.cleared.contains_key(print);
        let blamed: Vec<Fingerprint> = blamed.iter().filter(not_cleared).copied().collect();
        let changed = self.crashes.record(now, id, at, &blamed);
        if changed {
            self.crashes.forward(id, GOSSIP_ROUNDS);
        }
        changed
    }

    fn clear(&mut self, now: Instant, at: PastTime, print: Fingerprint) -> bool {
        if at.age(now) >= CLEARED_RETENTION || self.cleared.contains_key(&print) {
            return false;
        }
        self.crashes.forget(print);
        let rounds = GOSSIP_ROUNDS;
        self.cleared.insert(print, Cleared { at, rounds });
        if self.cleared.len() > MAX_CLEARED {
            let oldest = self.cleared.iter().max_by_key(|(_, c)| c.at.age(now));
            if let Some(print) = oldest.map(|(print, _)| *print) {
                self.cleared.remove(&print);
            }
        }
        true
    }

    /// Returns the time for which a request is still held.
    fn remaining_hold(&self, now: Instant, suspect: &Suspect) -> Option<Duration> {
        let hold = self.hold_time(suspect)?;
        let left = hold.saturating_sub(self.crashes.last_age(now, suspect));
        (!left.is_zero()).then_some(left)
    }

    /// Returns the time for which a request is held after the last of its crashes, or `None` if its
    /// crashes do not suffice to hold it.
    fn hold_time(&self, suspect: &Suspect) -> Option<Duration> {
        if suspect.len() < MIN_CRASHES {
            return None;
        }
        let attributed = self.crashes.attributed(suspect);
        let held = attributed.len() >= MIN_SHARED_CRASHES
            || (attributed.len() == MIN_CRASHES && has_single_suspect(&attributed));
        let extra = u32::try_from(attributed.len().saturating_sub(MIN_CRASHES)).unwrap_or(u32::MAX);
        let factor = 2_u32.saturating_pow(extra);
        held.then(|| BASE_HOLD.saturating_mul(factor).min(MAX_HOLD))
    }
}

/// Returns `true` if exactly one request was running at all of these crashes.
fn has_single_suspect(crashes: &[&CrashEntry]) -> bool {
    let requests = |crash: &&CrashEntry| -> BTreeSet<RequestDigest> {
        crash.prints.iter().map(|print| print.request).collect()
    };
    let common = crashes
        .iter()
        .map(requests)
        .reduce(|common, running| &common & &running);
    common.is_some_and(|requests| requests.len() == 1)
}

fn crash_findings(id: CrashId, crash: &CrashEntry, now: Instant) -> Vec<Finding> {
    let prints: Vec<Fingerprint> = crash.prints.iter().copied().collect();
    Finding::crashed(id, crash.at.age(now), &prints)
}

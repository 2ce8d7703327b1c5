//! Which requests are kept from backend servers, since they end them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::history::{End, Ends, Past, Suspect};
use super::{
    CallerHash, CrashId, Finding, Findings, Fingerprint, HeadHash, QuarantineRecord, RequestDigest,
};
use crate::Instant;

/// The ends after which a request is held, if it alone was there each time.
///
/// One end says nothing of eleven to eighteen requests that ran at the time, and who is tried again
/// after it may meet the next one by chance: one in some 25, where a service has six backend
/// servers and their neighbour keeps ending them.
const ENDS: usize = 3;

/// The ends after which a request is held whoever else was there.
const ENDS_IN_ANY_CASE: usize = ENDS + 1;

/// The ends after which a request that alone was there each time, and has ended one more backend
/// server now, is not tried again. The last end is not counted yet then, and by the time that
/// everybody knows of it another backend server would be gone.
const ENDS_BEFORE_ANOTHER: usize = ENDS - 1;

/// How long a request is held after the end that showed it; twice as long with each further one.
/// Who returns in vain costs one more backend server, and all that runs at it, each time.
const HOLD: Duration = Duration::from_secs(60);

/// The longest time for which a request is held.
const HOLD_MOST: Duration = Duration::from_secs(60 * 60);

/// How long a request is suspected after an end, and after it was held. Callers give up, or
/// change their request, within some seconds.
const SUSPECTED: Duration = Duration::from_secs(60);

/// How long a request that has run to its end cannot be suspected.
const CLEARED: Duration = Duration::from_secs(60);

/// The most requests that are remembered to have run to their end; the oldest goes first.
const CLEARED_MOST: usize = 1024;

/// The rounds in which a node passes a finding on. With three peers in each, a node that hears of
/// none is one in 8,000; the rest learns it by comparing.
const ROUNDS: u32 = 3;

/// What a node passes on in one round.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct DueFindings {
    /// Whether the node has found some of it itself, so that other failure domains hear it from it.
    pub own: bool,
    /// The findings.
    pub list: Vec<Finding>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Cleared {
    at: Past,
    rounds: u32,
}

/// Holds back the requests that end the backend servers that run them.
///
/// Each node keeps the ends of backend servers that it and others have seen, each with the
/// requests that were running. A request that alone was there at three of them, or at four whoever
/// else was, is held: no node hands it to a backend server. Others that ran beside it are not taken
/// for the cause: an end counts against the one among them that was at most ends, one at which a
/// held request was running against nobody else, and who runs to its end anywhere is cleared
/// everywhere. The same request of another service goes on until it has ended a backend server as
/// well; from then on it is held whoever sends it. All of it expires, and all of it is bounded.
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
    ends: Ends,
    cleared: BTreeMap<Fingerprint, Cleared>,
}

impl Quarantine {
    /// Tells whether there is nothing to look for.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.ends.is_empty() && self.cleared.is_empty()
    }

    /// Tells whether a request with this head may be a suspect.
    #[must_use]
    pub fn has_suspect(&self, head: HeadHash) -> bool {
        self.ends.has_head(head)
    }

    /// Returns for how long a request is held back from now on; `None` when it is not.
    #[must_use]
    pub fn held(&self, now: Instant, print: Fingerprint) -> Option<Duration> {
        let suspect = self.ends.suspect(print.request)?;
        let left = self.left(now, suspect)?;
        let callers = suspect.callers();
        let applies = callers.len() > 1 || callers.contains(&print.caller);
        applies.then_some(left)
    }

    /// Returns every request that is held back, for some service at least, and for how long from
    /// now on.
    #[must_use]
    pub fn all_held(&self, now: Instant) -> BTreeMap<RequestDigest, Duration> {
        let suspects = self.ends.suspects();
        let held = suspects.filter_map(|(request, s)| Some((*request, self.left(now, s)?)));
        held.collect()
    }

    /// Returns what has to last of a held request, where this node has seen one of its ends itself.
    #[must_use]
    pub fn record(
        &self,
        now: Instant,
        unix_ms: u64,
        request: RequestDigest,
    ) -> Option<QuarantineRecord> {
        let suspect = self.ends.suspect(request)?;
        let left = self.left(now, suspect)?;
        let mut own = false;
        let mut ends = Vec::new();
        for (id, callers) in suspect.ends() {
            let at = self.ends.get(*id)?.at;
            own |= at.is_own();
            let with = |caller: &CallerHash| Fingerprint {
                request,
                caller: *caller,
            };
            let prints: Vec<Fingerprint> = callers.iter().map(with).collect();
            ends.extend(Finding::crashed(*id, at.age(now), &prints));
        }
        let kept = u64::try_from((left + SUSPECTED).as_millis()).unwrap_or(u64::MAX);
        own.then_some(QuarantineRecord {
            request,
            written_ms: unix_ms,
            until_ms: unix_ms.saturating_add(kept),
            ends,
        })
    }

    /// Returns at how many ends a request was running, whichever service it came from.
    #[must_use]
    pub fn crash_count(&self, request: RequestDigest) -> usize {
        self.ends.suspect(request).map_or(0, Suspect::len)
    }

    /// Tells whether a request that has ended a backend server just now would do so again. Who ran
    /// beside another one at each of its ends would not.
    #[must_use]
    pub fn would_crash_again(&self, request: RequestDigest) -> bool {
        let suspect = self.ends.suspect(request);
        let own = suspect.map(|suspect| self.ends.own(suspect));
        own.is_some_and(|own| match own.len() {
            ENDS_IN_ANY_CASE.. => true,
            ENDS_BEFORE_ANOTHER.. => is_alone(&own),
            _ => false,
        })
    }

    /// Notes an end and what was running, or more that was; returns whether that is news.
    pub fn crashed(&mut self, now: Instant, id: CrashId, prints: &[Fingerprint]) -> bool {
        self.note(now, id, Past::now(now), prints)
    }

    /// Notes that a request ran to its end; returns whether that is news.
    pub fn finished(&mut self, now: Instant, print: Fingerprint) -> bool {
        let suspect = self.ends.suspect(print.request);
        let known = suspect.is_some_and(|suspect| suspect.callers().contains(&print.caller));
        known && self.clear(now, Past::now(now), print)
    }

    /// Takes in what another node has found.
    pub fn merge(&mut self, now: Instant, findings: &[Finding]) {
        for finding in findings {
            let at = Past::heard(now, finding.age());
            match finding {
                Finding::Crashed { id, prints, .. } => drop(self.note(now, *id, at, prints)),
                Finding::Finished { print, .. } => drop(self.clear(now, at, *print)),
            }
        }
    }

    /// Returns what is to be passed on in this round.
    pub fn due_findings(&mut self, now: Instant) -> DueFindings {
        let mut due = DueFindings::default();
        for (id, end) in self.ends.due() {
            end.rounds -= 1;
            due.own |= end.at.is_own();
            due.list.extend(told(*id, end, now));
        }
        for (print, cleared) in self.cleared.iter_mut().filter(|(_, c)| c.rounds > 0) {
            cleared.rounds -= 1;
            due.own |= cleared.at.is_own();
            let finished = Finding::finished(*print, cleared.at.age(now));
            due.list.push(finished);
        }
        due
    }

    /// Returns everything that is known, for a node that knows something else.
    #[must_use]
    pub fn all(&self, now: Instant) -> Vec<Finding> {
        let ends = self.ends.iter().flat_map(|(id, end)| told(*id, end, now));
        let cleared = self.cleared.iter();
        let cleared = cleared.map(|(print, c)| Finding::finished(*print, c.at.age(now)));
        ends.chain(cleared).collect()
    }

    /// Stands for everything that is known: equal where two nodes know the same.
    #[must_use]
    pub fn digest(&self) -> u64 {
        let ends = self.ends.iter().map(|(id, _)| id.0);
        let cleared = self.cleared.keys().map(|print| {
            let RequestDigest { head, body } = print.request;
            (head.0 ^ body.0).rotate_left(1) ^ u64::from(print.caller.0)
        });
        ends.chain(cleared).fold(0, |digest, one| digest ^ one)
    }

    /// Returns what a node says that compares itself with another one.
    #[must_use]
    pub fn summary(&self) -> Findings {
        Findings {
            digest: self.digest(),
            ..Findings::default()
        }
    }

    /// Returns the question for everything that the receiver knows.
    #[must_use]
    pub fn full_sync(&self) -> Findings {
        Findings {
            asks: true,
            ..self.summary()
        }
    }

    /// Returns that question where `findings` show that the sender knows something else.
    #[must_use]
    pub fn sync_request(&self, findings: &Findings) -> Option<Findings> {
        let compares = findings.list.is_empty() && !findings.asks;
        (compares && self.digest() != findings.digest).then(|| self.full_sync())
    }

    /// Forgets what is over.
    pub fn sweep(&mut self, now: Instant) {
        self.cleared.retain(|_, c| c.at.age(now) < CLEARED);
        let over = |(request, suspect): (&RequestDigest, &Suspect)| {
            let kept = self.hold(suspect).unwrap_or_default() + SUSPECTED;
            (self.ends.youngest(now, suspect) >= kept).then_some(*request)
        };
        let over: Vec<RequestDigest> = self.ends.suspects().filter_map(over).collect();
        for request in over {
            self.ends.forget_request(request);
        }
        self.ends.prune();
    }

    fn note(&mut self, now: Instant, id: CrashId, at: Past, prints: &[Fingerprint]) -> bool {
        if at.age(now) >= HOLD_MOST {
            return false;
        }
        // Where a request was running that is known to end backend servers, the others are not
        // the cause.
        let culprits = prints.iter().filter(|p| self.held(now, **p).is_some());
        let culprits: Vec<Fingerprint> = culprits.copied().collect();
        let blamed = match culprits.is_empty() {
            true => prints,
            false => &culprits[..],
        };
        let fresh = |print: &&Fingerprint| !self.cleared.contains_key(print);
        let blamed: Vec<Fingerprint> = blamed.iter().filter(fresh).copied().collect();
        let news = self.ends.note(now, id, at, &blamed);
        if news {
            self.ends.pass_on(id, ROUNDS);
        }
        news
    }

    fn clear(&mut self, now: Instant, at: Past, print: Fingerprint) -> bool {
        if at.age(now) >= CLEARED || self.cleared.contains_key(&print) {
            return false;
        }
        self.ends.forget(print);
        let rounds = ROUNDS;
        self.cleared.insert(print, Cleared { at, rounds });
        if self.cleared.len() > CLEARED_MOST {
            let oldest = self.cleared.iter().max_by_key(|(_, c)| c.at.age(now));
            if let Some(print) = oldest.map(|(print, _)| *print) {
                self.cleared.remove(&print);
            }
        }
        true
    }

    /// Returns for how long a request is held from now on.
    fn left(&self, now: Instant, suspect: &Suspect) -> Option<Duration> {
        let hold = self.hold(suspect)?;
        let left = hold.saturating_sub(self.ends.youngest(now, suspect));
        (!left.is_zero()).then_some(left)
    }

    /// Returns for how long a request is held after the last of its ends.
    fn hold(&self, suspect: &Suspect) -> Option<Duration> {
        if suspect.len() < ENDS {
            return None;
        }
        let own = self.ends.own(suspect);
        let held = own.len() >= ENDS_IN_ANY_CASE || (own.len() == ENDS && is_alone(&own));
        let further = u32::try_from(own.len().saturating_sub(ENDS)).unwrap_or(u32::MAX);
        let times = 2_u32.saturating_pow(further);
        held.then(|| HOLD.saturating_mul(times).min(HOLD_MOST))
    }
}

/// Tells whether only one request was running at all these ends.
fn is_alone(ends: &[&End]) -> bool {
    let requests = |end: &&End| -> BTreeSet<RequestDigest> {
        end.prints.iter().map(|print| print.request).collect()
    };
    let everywhere = ends.iter().map(requests).reduce(|all, here| &all & &here);
    everywhere.is_some_and(|requests| requests.len() == 1)
}

fn told(id: CrashId, end: &End, now: Instant) -> Vec<Finding> {
    let prints: Vec<Fingerprint> = end.prints.iter().copied().collect();
    Finding::crashed(id, end.at.age(now), &prints)
}

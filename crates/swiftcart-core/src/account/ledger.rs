//! Adds up what nodes have counted of an account, and decides which part of it they admit.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{AccountTag, AdmissionRatio, Quota, Usage};
use crate::{Instant, NodeId};

/// The time over which arrivals are averaged.
const AVERAGE: Duration = Duration::from_millis(400);

/// The age from which the arrivals at a book are averaged.
const YOUNGEST: Duration = Duration::from_millis(100);

/// The time in which what is left of a burst is given out.
const EASE: Duration = Duration::from_millis(500);

/// The time from a request at one node to the word that changes what the others admit.
const LAG: Duration = Duration::from_millis(200);

/// The part of a burst that is kept back at most for requests that nobody has told yet.
const KEPT_BACK: f64 = 0.6;

/// The part of a burst that a ledger begins with. After a restart of all, callers who come back add to
/// the usual load, and an account within its quota would be held back for its first second.
const LEFT: f64 = 0.3;

/// The part of what is allowed beyond a quota that is used on purpose: an account that
/// sends little through many nodes is not held back for a few requests at once.
const TOLERATED: f64 = 0.5;

/// How fast the part that is admitted may rise in a second. Arrivals also become fewer when nodes
/// are cut off, and those go on admitting their part for some seconds.
const RISE: f64 = 1.5;

/// The part from which it rises.
const LEAST_RISE: f64 = 0.1;

/// The time between two words to all nodes of a limited account.
const REMIND: Duration = Duration::from_secs(1);

/// How long a count is remembered that does not change; nodes keep theirs for longer.
const KEPT: Duration = Duration::from_secs(30);

/// Says how far the sum over all nodes may lie beyond a quota.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaBounds {
    /// The time over which requests are counted.
    pub window: Duration,
    /// The part beyond what the quota allows in that time.
    pub overage: f64,
    /// Requests on top of that.
    pub slack: f64,
}

impl QuotaBounds {
    /// Returns the requests in a window beyond those that the quota allows.
    #[must_use]
    pub fn tolerance(&self, quota: Quota) -> f64 {
        let allowed = f64::from(quota.rate) * self.window.as_secs_f64() + f64::from(quota.burst);
        self.overage * allowed + self.slack
    }
}

/// Holds the counts of the accounts that one node adds up.
///
/// Every admitted request takes a token from its account's bucket, also when there is none: the
/// bucket then holds less than nothing, and fewer requests are admitted until that is made up for.
/// No window holds more than the quota and what nodes had not told at its end.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use swiftcart_core::{
///     AccountTag, AdmissionRatio, Instant, NodeId, Quota, QuotaBounds, QuotaLedger, Usage,
/// };
///
/// let bounds = QuotaBounds { window: Duration::from_secs(5), overage: 0.1, slack: 20.0 };
/// let mut ledger = QuotaLedger::new(bounds);
/// let node = NodeId("10.1.0.7:7600".parse()?);
/// let quota = Quota { rate: 10, burst: 10 };
/// let usage =
///     Usage { account: AccountTag(7), arrived: 90, admitted: 90, counted_ms: 0, epoch: 1 };
/// let now = Instant::from_millis(0);
/// let answer = ledger.receive(now, node, &usage, quota);
/// assert!(answer.permille < AdmissionRatio::ALL);
/// # Ok::<(), std::net::AddrParseError>(())
/// ```
#[derive(Debug, Clone)]
pub struct QuotaLedger {
    bounds: QuotaBounds,
    /// The part of all nodes that this one reaches.
    reach: f64,
    books: BTreeMap<AccountTag, Book>,
}

/// What is known of one account.
#[derive(Debug, Clone)]
struct Book {
    quota: Quota,
    /// Since when this node adds up.
    since: Instant,
    /// Requests that may come now; below zero when too many came.
    tokens: f64,
    /// Requests a second that arrive at all nodes.
    arrivals: f64,
    at: Instant,
    /// The part that is admitted, when that was decided, and as it is told.
    part: f64,
    decided: Instant,
    permille: u16,
    /// When all nodes were told last.
    reminded: Instant,
    /// What each node told last.
    nodes: BTreeMap<NodeId, Counted>,
}

/// What a node told last.
#[derive(Debug, Clone, Copy)]
struct Counted {
    epoch: u32,
    arrived: u64,
    admitted: u64,
    at: Instant,
}

impl QuotaLedger {
    /// Creates a ledger without counts.
    #[must_use]
    pub const fn new(bounds: QuotaBounds) -> Self {
        Self {
            bounds,
            reach: 1.0,
            books: BTreeMap::new(),
        }
    }

    /// Takes over the part of all nodes that this one reaches; the others may be adding up too.
    pub fn set_reachable_share(&mut self, part: f64) {
        self.reach = part.clamp(0.0, 1.0);
    }

    /// Takes in what a node has counted, and returns what it is to admit.
    pub fn receive(
        &mut self,
        now: Instant,
        from: NodeId,
        usage: &Usage,
        quota: Quota,
    ) -> AdmissionRatio {
        let reach = self.reach;
        let book = self.books.entry(usage.account);
        let book = book.or_insert_with(|| Book::new(now, quota));
        book.quota = quota;
        book.pass(now, reach);
        book.count(now, from, usage);
        book.decide(reach, self.bounds);
        AdmissionRatio {
            account: usage.account,
            permille: book.permille,
        }
    }

    /// Returns what all nodes are to be told now: of accounts that are limited, and of those that no
    /// longer are.
    pub fn limit_updates(&mut self, now: Instant) -> Vec<AdmissionRatio> {
        let (reach, bounds) = (self.reach, self.bounds);
        self.books.retain(|_, book| book.forget(now));
        let mut due = Vec::new();
        for (account, book) in &mut self.books {
            let before = book.permille;
            book.pass(now, reach);
            book.decide(reach, bounds);
            let limited = book.permille < AdmissionRatio::ALL;
            let eased = before < AdmissionRatio::ALL && !limited;
            let begins = limited && before == AdmissionRatio::ALL;
            if eased || begins || (limited && now.since(book.reminded) >= REMIND) {
                book.reminded = now;
                due.push(AdmissionRatio {
                    account: *account,
                    permille: book.permille,
                });
            }
        }
        due
    }
}

impl Book {
    /// Opens a book. What was admitted before is not known, and so only a part of the burst is left.
    fn new(now: Instant, quota: Quota) -> Self {
        Self {
            quota,
            since: now,
            tokens: LEFT * f64::from(quota.burst),
            arrivals: 0.0,
            at: now,
            part: 1.0,
            decided: now,
            permille: AdmissionRatio::ALL,
            reminded: now,
            nodes: BTreeMap::new(),
        }
    }

    fn pass(&mut self, now: Instant, reach: f64) {
        let gone = now.since(self.at).as_secs_f64();
        self.at = self.at.max(now);
        let burst = f64::from(self.quota.burst) * reach;
        self.tokens = (self.tokens + gone * self.rate(reach)).min(burst);
        self.arrivals *= (-gone / AVERAGE.as_secs_f64()).exp();
    }

    fn count(&mut self, now: Instant, from: NodeId, usage: &Usage) {
        let told = Counted {
            epoch: usage.epoch,
            arrived: usage.arrived,
            admitted: usage.admitted,
            at: now,
        };
        let counted = Duration::from_millis(usage.counted_ms.into());
        let nothing = Counted {
            arrived: 0,
            admitted: 0,
            ..told
        };
        let before = match self.nodes.get(&from) {
            Some(before) if before.epoch == usage.epoch => *before,
            _ if counted <= now.since(self.since) + LAG => nothing,
            _ => told,
        };
        if told.arrived < before.arrived {
            return;
        }
        self.arrivals += (told.arrived - before.arrived) as f64 / AVERAGE.as_secs_f64();
        self.tokens -= told.admitted as f64 - before.admitted as f64;
        self.nodes.insert(from, told);
    }

    /// Returns the requests a second that arrive; a book that was opened just now has seen only the
    /// last part of the time that is averaged.
    fn arriving(&self) -> f64 {
        let age = self.at.since(self.since).max(YOUNGEST).as_secs_f64();
        self.arrivals / (1.0 - (-age / AVERAGE.as_secs_f64()).exp())
    }

    fn decide(&mut self, reach: f64, bounds: QuotaBounds) {
        let (rate, arriving) = (self.rate(reach), self.arriving());
        let excess = (arriving - rate).max(0.0);
        let tolerated = TOLERATED * reach * bounds.tolerance(self.quota);
        let kept = (LAG.as_secs_f64() * excess).min(KEPT_BACK * f64::from(self.quota.burst));
        let floor = kept - tolerated;
        let allowed = rate + (self.tokens - floor) / EASE.as_secs_f64();
        let part = allowed.max(0.0) / arriving.max(f64::MIN_POSITIVE);
        let gone = self.at.since(self.decided).as_secs_f64();
        let most = (self.part * RISE.powf(gone)).max(LEAST_RISE);
        self.decided = self.at;
        self.part = part.min(most).min(1.0);
        self.permille = (self.part * f64::from(AdmissionRatio::ALL)) as u16;
    }

    fn rate(&self, reach: f64) -> f64 {
        f64::from(self.quota.rate) * reach
    }

    /// Forgets nodes that were not heard for long; returns whether any is left.
    fn forget(&mut self, now: Instant) -> bool {
        self.nodes.retain(|_, counted| now.since(counted.at) < KEPT);
        !self.nodes.is_empty()
    }
}

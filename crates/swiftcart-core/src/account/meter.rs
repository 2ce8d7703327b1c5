//! Per-node request counts of accounts, and admission at the ratio that the ledgers allow.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use rand::Rng;

use super::rank_counts::RankCounts;
use super::{AccountTag, AdmissionRatio, Quota, QuotaRequest, RequestTiming, Usage};
use crate::rate::{RetryScheduler, TokenBucket};
use crate::{Instant, NodeId, Priority, Reason, Refusal};

/// Maximum delay of a report to the ledger about an account that is not limited.
const MAX_REPORT_DELAY: Duration = Duration::from_millis(300);

/// Number of requests since the last report that triggers a report at once. For an account with a
/// low rate per node, the first request does.
const REPORT_THRESHOLD: u64 = 2;

/// Quota per node up to which the rate of an account counts as low, in requests per second.
const LOW_RATE_PER_NODE: f64 = 2.0;

/// Interval between the reports of a limited account, per node of the mesh. A node waits this time
/// multiplied by the number of nodes. The account's ledger then receives about 300 reports per
/// second, whatever the size of the mesh.
const LIMITED_REPORT_INTERVAL: Duration = Duration::from_millis(3);

/// Time without a reply after which the ledger counts as unreachable. The timeout tolerates the
/// loss of a few messages.
const LEDGER_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Time for which a limit stays in force unless the ledger renews it.
const LIMIT_TTL: Duration = Duration::from_secs(5);

/// Retention time of the counts of an idle account.
const IDLE_RETENTION: Duration = Duration::from_secs(60);

/// Admission control by account quotas for the requests that one node receives from callers.
///
/// A node admits requests before the ledger has counted them, so that no request waits for a
/// message. An account over its quota is limited within a few hundred milliseconds, and its ledger
/// deducts the excess from later admissions. While the ledger is unreachable, every node admits an
/// equal share of the quota.
///
/// The quota of a limited account goes to its most urgent requests first. A node that has counted
/// few requests admits each of them with the same probability.
///
/// # Examples
///
/// ```
/// use rand::{SeedableRng, rngs::SmallRng};
/// use swiftcart_core::{AccountTag, AdmissionRatio, Instant, Quota, QuotaMeter, QuotaRequest};
///
/// let (now, account) = (Instant::from_millis(0), AccountTag(7));
/// let quota = Quota { rate: 10, burst: 10 };
/// let mut rng = SmallRng::seed_from_u64(1);
/// let mut meter = QuotaMeter::new(1);
/// assert!(meter.admit(now, account, quota, QuotaRequest::default(), &mut rng).is_ok());
/// meter.receive(now, AdmissionRatio { account, permille: 0 });
/// assert!(meter.admit(now, account, quota, QuotaRequest::default(), &mut rng).is_err());
/// ```
#[derive(Debug, Clone)]
pub struct QuotaMeter {
    epoch: u32,
    nodes: usize,
    accounts: HashMap<AccountTag, AccountCounts>,
    /// Accounts with counts that were not reported yet or whose report the ledger has not answered.
    unreported: BTreeSet<AccountTag>,
}

/// Request counts and limit of one account at this node.
#[derive(Debug, Clone)]
struct AccountCounts {
    epoch: u32,
    started: Instant,
    arrived: u64,
    admitted: u64,
    reported: Reported,
    /// Time of the last request.
    requested: Instant,
    /// Node that the counts were last reported to.
    ledger: Option<NodeId>,
    /// Time of the earliest request since the last report.
    unreported_since: Option<Instant>,
    /// Time of the earliest request that was reported and not answered by the ledger.
    pending_since: Option<Instant>,
    /// Admission ratio from the ledger.
    ratio: f64,
    /// Time at which the ratio arrived.
    received: Instant,
    /// Equal share of the quota, used while the ledger is unreachable.
    fallback: Option<TokenBucket>,
    quota: Quota,
    nodes: usize,
    retry_scheduler: RetryScheduler,
    ranks: RankCounts,
}

/// Counts in the last report, and its time.
#[derive(Debug, Clone, Copy)]
struct Reported {
    arrived: u64,
    admitted: u64,
    sent: Instant,
}

impl QuotaMeter {
    /// Creates a meter with counts of zero. The `epoch` distinguishes this process from earlier
    /// ones.
    #[must_use]
    pub fn new(epoch: u32) -> Self {
        Self {
            epoch,
            nodes: 1,
            accounts: HashMap::new(),
            unreported: BTreeSet::new(),
        }
    }

    /// Sets the number of nodes that callers may reach, including partitioned nodes.
    pub fn set_nodes(&mut self, nodes: usize) {
        self.nodes = nodes.max(1);
    }

    /// Counts a request, and admits or refuses it.
    ///
    /// While the account is limited, late requests are refused without being counted. The quota is
    /// then used for requests that can still be answered in time.
    ///
    /// # Errors
    ///
    /// Returns [`Reason::OverQuota`] with the time after which the caller may retry.
    pub fn admit<R: Rng + ?Sized>(
        &mut self,
        now: Instant,
        account: AccountTag,
        quota: Quota,
        request: QuotaRequest,
        rng: &mut R,
    ) -> Result<(), Refusal> {
        let (nodes, epoch) = (self.nodes, self.epoch);
        let counts = self.accounts.entry(account);
        let counts = counts.or_insert_with(|| AccountCounts::new(now, epoch, quota, nodes));
        counts.set_split(quota, nodes);
        let refused_late = request.timing == RequestTiming::Late && counts.is_limited(now);
        counts.arrived += u64::from(!refused_late);
        counts.requested = now;
        counts.unreported_since.get_or_insert(now);
        self.unreported.insert(account);
        let admitted = !refused_late && counts.try_admit(now, request.priority, rng);
        if !refused_late {
            counts.ranks.record(now, request.priority);
        }
        match admitted {
            true => {
                counts.admitted += 1;
                Ok(())
            }
            false => {
                let rate = counts.admitted_rate(now);
                let retry_after = counts.retry_scheduler.next(now, Duration::ZERO, rate, rng);
                Err(Refusal::new(Reason::OverQuota).with_retry(retry_after))
            }
        }
    }

    /// Removes an admitted request that did not run from the counts.
    ///
    /// The request is counted when its caller sends it again.
    pub fn cancel_admission(&mut self, now: Instant, account: AccountTag) {
        if let Some(counts) = self.accounts.get_mut(&account) {
            counts.arrived = counts.arrived.saturating_sub(1);
            counts.admitted = counts.admitted.saturating_sub(1);
            counts.unreported_since.get_or_insert(now);
            self.unreported.insert(account);
        }
    }

    /// Applies the admission ratio from the ledger of an account.
    pub fn receive(&mut self, now: Instant, update: AdmissionRatio) {
        let (nodes, epoch) = (self.nodes, self.epoch);
        // Stores the limit of an account without requests here, so that it binds its first request.
        let limited = update.permille < AdmissionRatio::ALL;
        if limited {
            let counts = self.accounts.entry(update.account);
            counts.or_insert_with(|| AccountCounts::new(now, epoch, Quota::default(), nodes));
        }
        if let Some(counts) = self.accounts.get_mut(&update.account) {
            if update.permille != AdmissionRatio::UNCHANGED {
                counts.ratio = update.ratio();
                counts.received = now;
            }
            counts.pending_since = None;
            counts.fallback = None;
        }
    }

    /// Returns the accounts whose counts have to be reported now, for the first time or again.
    pub fn due(&mut self, now: Instant) -> Vec<AccountTag> {
        let accounts = &mut self.accounts;
        let mut due = Vec::new();
        self.unreported.retain(|account| {
            let Some(counts) = accounts.get_mut(account) else {
                return false;
            };
            let needs_report = counts.needs_report(now);
            match needs_report {
                true if counts.is_due(now) => due.push(*account),
                true => {}
                // The next report says whether the ledger answers.
                false => counts.stop_waiting(),
            }
            needs_report
        });
        due
    }

    /// Returns the report about an account to the node that runs its ledger, if the account has
    /// counts.
    ///
    /// A node that takes over the ledger gets only the counts that were not reported to the previous
    /// node.
    pub fn report(&mut self, now: Instant, account: AccountTag, ledger: NodeId) -> Option<Usage> {
        let counts = self.accounts.get_mut(&account)?;
        Some(counts.report(now, account, ledger))
    }

    /// Removes accounts that have been idle for the retention time.
    pub fn sweep(&mut self, now: Instant) {
        let recent = |counts: &AccountCounts| {
            now.since(counts.reported.sent.max(counts.received)) < IDLE_RETENTION
        };
        let unreported = &self.unreported;
        self.accounts
            .retain(|account, counts| unreported.contains(account) || recent(counts));
    }

    /// Returns the number of requests of an account that were admitted and may have run.
    #[must_use]
    pub fn admitted(&self, account: AccountTag) -> u64 {
        self.accounts
            .get(&account)
            .map_or(0, |counts| counts.admitted)
    }

    /// Returns the ratio of an account's requests that is admitted now, if the account is limited.
    #[must_use]
    pub fn limited(&self, now: Instant, account: AccountTag) -> Option<f64> {
        let counts = self.accounts.get(&account)?;
        counts.is_limited(now).then_some(counts.ratio)
    }
}

impl AccountCounts {
    fn new(now: Instant, epoch: u32, quota: Quota, nodes: usize) -> Self {
        Self {
            epoch,
            started: now,
            arrived: 0,
            admitted: 0,
            reported: Reported {
                arrived: 0,
                admitted: 0,
                sent: now,
            },
            requested: now,
            ledger: None,
            unreported_since: None,
            pending_since: None,
            ratio: 1.0,
            received: now,
            fallback: None,
            quota,
            nodes,
            retry_scheduler: RetryScheduler::new(now),
            ranks: RankCounts::new(now),
        }
    }

    /// Forgets that the ledger has not answered the last report.
    fn stop_waiting(&mut self) {
        self.pending_since = None;
        self.fallback = None;
    }

    /// Splits the fallback share again if the quota or the number of nodes has changed.
    fn set_split(&mut self, quota: Quota, nodes: usize) {
        if (self.quota, self.nodes) != (quota, nodes) {
            (self.quota, self.nodes) = (quota, nodes);
            self.fallback = None;
        }
    }

    fn try_admit<R: Rng + ?Sized>(
        &mut self,
        now: Instant,
        priority: Priority,
        rng: &mut R,
    ) -> bool {
        // The ledger gives the share of a node that reports nothing to the other nodes.
        if self.is_report_late(now) && self.was_limited() {
            false
        } else if self.is_ledger_unreachable(now) {
            self.take_fallback(now, rng)
        } else if self.is_limited(now) {
            rng.random::<f64>() < self.ranks.admitted_share(priority, self.ratio)
        } else {
            true
        }
    }

    /// Returns the requests per second of the account that this node admits: its equal share of the
    /// quota, or the admitted part of its recent requests if that is more.
    fn admitted_rate(&self, now: Instant) -> f64 {
        let share = f64::from(self.quota.rate) / self.nodes as f64;
        match self.is_limited(now) {
            true => share.max(self.ratio * self.ranks.rate()),
            false => share,
        }
    }

    /// Takes a token of this node's equal share of the quota.
    ///
    /// The first tokens are rounded at random, so that the shares of all nodes add up to the quota
    /// also if each is below one request. A limited account has used its burst already.
    fn take_fallback<R: Rng + ?Sized>(&mut self, now: Instant, rng: &mut R) -> bool {
        let (rate, burst) = (f64::from(self.quota.rate), f64::from(self.quota.burst));
        let share = burst / self.nodes as f64;
        let saved = if self.is_limited(now) { 0.0 } else { share };
        let bucket = self.fallback.get_or_insert_with(|| {
            let tokens = saved + rng.random::<f64>();
            TokenBucket::new(now, rate / self.nodes as f64, share.max(1.0), tokens)
        });
        bucket.take(now)
    }

    /// Returns `true` if the ledger has not answered within the timeout, or if this node could not
    /// send a report in time.
    fn is_ledger_unreachable(&self, now: Instant) -> bool {
        let is_overdue = |since| now.since(since) >= LEDGER_TIMEOUT;
        self.pending_since.is_some_and(is_overdue) || self.is_report_late(now)
    }

    /// Returns `true` if this node could not send a report in time.
    fn is_report_late(&self, now: Instant) -> bool {
        let is_late = |since| now.since(since) >= LEDGER_TIMEOUT + limited_interval(self.nodes);
        self.unreported_since.is_some_and(is_late)
    }

    /// Returns `true` if the account was limited when the requests began that are not reported yet.
    fn was_limited(&self) -> bool {
        self.unreported_since
            .is_some_and(|since| self.is_limited(since))
    }

    fn is_limited(&self, now: Instant) -> bool {
        self.ratio < 1.0 && now.since(self.received) < LIMIT_TTL
    }

    /// Returns `true` if the counts have to be reported at some time, for the first time or again.
    ///
    /// The report of an idle account is not repeated without end. The account may no longer have a
    /// quota, and then no ledger answers.
    fn needs_report(&self, now: Instant) -> bool {
        let is_repeated = self.pending_since.is_some() && now.since(self.requested) < LIMIT_TTL;
        self.unreported_since.is_some() || is_repeated
    }

    /// Returns `true` if the counts have to be reported now, for the first time or again.
    fn is_due(&self, now: Instant) -> bool {
        let elapsed = now.since(self.reported.sent);
        let has_low_rate = f64::from(self.quota.rate) <= LOW_RATE_PER_NODE * self.nodes as f64;
        match self.is_limited(now) {
            true => elapsed >= limited_interval(self.nodes),
            false if has_low_rate && self.arrived > self.reported.arrived => true,
            false => {
                let unreported = self.arrived.saturating_sub(self.reported.arrived);
                elapsed >= MAX_REPORT_DELAY || unreported >= REPORT_THRESHOLD
            }
        }
    }

    fn report(&mut self, now: Instant, account: AccountTag, ledger: NodeId) -> Usage {
        let since = self.unreported_since.unwrap_or(now);
        let is_new = self.ledger.replace(ledger).is_some_and(|old| old != ledger);
        if is_new || self.is_ledger_unreachable(now) {
            self.start_epoch(since);
        }
        self.unreported_since = None;
        self.reported = Reported {
            arrived: self.arrived,
            admitted: self.admitted,
            sent: now,
        };
        self.pending_since.get_or_insert(now);
        Usage {
            account,
            arrived: self.arrived,
            admitted: self.admitted,
            counted_ms: u32::try_from(now.since(self.started).as_millis()).unwrap_or(u32::MAX),
            epoch: self.epoch,
        }
    }

    /// Starts a new epoch without the counts that were reported, of which the first was made at
    /// `since`.
    ///
    /// A ledger that was told these counts has charged them. While no ledger can be reached, the
    /// equal shares of all nodes already stay within the quota. If the counts were reported again,
    /// a ledger would deduct them a second time.
    fn start_epoch(&mut self, since: Instant) {
        self.epoch = self.epoch.wrapping_add(1);
        self.started = since;
        self.arrived = self.arrived.saturating_sub(self.reported.arrived);
        self.admitted = self.admitted.saturating_sub(self.reported.admitted);
    }
}

/// Returns the interval between the reports of a limited account.
fn limited_interval(nodes: usize) -> Duration {
    LIMITED_REPORT_INTERVAL * u32::try_from(nodes).unwrap_or(u32::MAX)
}

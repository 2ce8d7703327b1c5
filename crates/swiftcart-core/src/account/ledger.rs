//! Aggregation of the request counts of accounts over all nodes, and the admission ratio that keeps
//! each account within its quota.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{AccountTag, AdmissionRatio, Quota, Usage};
use crate::decay::decay_factor;
use crate::{Instant, NodeId};

/// Time constant of the moving average of arrivals.
const ARRIVAL_AVERAGING_TIME: Duration = Duration::from_millis(400);

/// Time after the start of a ledger within which all nodes with requests of an account report.
const SETTLING_TIME: Duration = Duration::from_millis(500);

/// Minimum age of an account's state that is used to average its arrivals.
const MIN_AVERAGING_AGE: Duration = Duration::from_millis(100);

/// Time over which the remaining burst is released.
const BURST_RELEASE_TIME: Duration = Duration::from_millis(500);

/// Delay from a request at one node to the update that changes the ratio at the others.
const FEEDBACK_DELAY: Duration = Duration::from_millis(200);

/// Maximum share of a burst that is reserved for requests not reported yet.
const MAX_RESERVED_SHARE: f64 = 0.6;

/// Share of a burst that is available when a ledger starts. After a restart of all nodes, returning
/// callers add to the usual load. Without this share, an account within its quota would be limited
/// for the first second.
const INITIAL_BURST_SHARE: f64 = 0.3;

/// Share of the tolerance beyond a quota that is used deliberately. An account that sends few
/// requests through many nodes is then not limited for a small burst.
const USED_TOLERANCE: f64 = 0.5;

/// Maximum factor by which the admission ratio rises per second. Arrivals also decrease when nodes
/// are partitioned, and the partitioned nodes keep admitting their ratio for some seconds.
const MAX_RISE_PER_SEC: f64 = 1.5;

/// Time after the start of a ledger in which the admission ratio rises without limit. Callers that
/// return after a restart exceed the usual arrivals for about a second.
const UNLIMITED_RISE_TIME: Duration = Duration::from_secs(2);

/// Lower bound of the cap on a rising admission ratio.
const MIN_RATIO_CAP: f64 = 0.1;

/// Time constant with which discarded tokens decay. They cover requests that are reported late. The
/// constant is shorter than the window of a quota, so that tokens of earlier windows are not used.
const DISCARD_RETENTION: Duration = Duration::from_millis(2_500);

/// Time without a round of the ledger after which the other nodes have replaced it.
const STALL_TIME: Duration = Duration::from_secs(1);

/// Time after a suspension of the process in which the reports that waited are read.
const CATCH_UP_TIME: Duration = Duration::from_millis(100);

/// Interval at which the ratio of a limited account is sent to all nodes again.
const RESEND_INTERVAL: Duration = Duration::from_secs(1);

/// Retention time of the counts of a node that sends no reports. Nodes keep their own counts
/// longer.
const NODE_RETENTION: Duration = Duration::from_secs(30);

/// Tolerated excess of the requests of an account over all nodes beyond its quota.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaBounds {
    /// Time window over which requests are counted.
    pub window: Duration,
    /// Tolerated excess, as a fraction of the requests that the quota allows in the window.
    pub overage: f64,
    /// Number of requests tolerated in addition to `overage`.
    pub slack: f64,
}

impl QuotaBounds {
    /// Returns the number of requests tolerated in a window beyond the quota.
    #[must_use]
    pub fn tolerance(&self, quota: Quota) -> f64 {
        let allowed = f64::from(quota.rate) * self.window.as_secs_f64() + f64::from(quota.burst);
        self.overage * allowed + self.slack
    }
}

/// Quota state of the accounts whose counts one node aggregates.
///
/// Every admitted request takes a token from its account's bucket, even if the bucket is empty. The
/// balance then becomes negative, and fewer requests are admitted until the debt is repaid. No
/// window holds more requests than the quota allows, plus those that nodes had not reported by its
/// end.
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
/// let ratio = ledger.receive(now, node, &usage, quota);
/// assert!(ratio.permille < AdmissionRatio::ALL);
/// # Ok::<(), std::net::AddrParseError>(())
/// ```
#[derive(Debug, Clone)]
pub struct QuotaLedger {
    bounds: QuotaBounds,
    /// Share of all nodes that this node can reach.
    reachable_share: f64,
    /// Time of the last call of [`limit_updates`](Self::limit_updates).
    last_round: Option<Instant>,
    /// Time at which the process continued after it was suspended.
    resumed: Option<Instant>,
    accounts: BTreeMap<AccountTag, AccountQuota>,
}

/// Quota state of one account.
#[derive(Debug, Clone)]
struct AccountQuota {
    quota: Quota,
    /// Time at which this node began to aggregate.
    started: Instant,
    /// Token balance, negative after too many requests.
    tokens: f64,
    /// Tokens that a full bucket discarded lately, a decayed sum.
    discarded: f64,
    /// Moving average of the requests per second at all nodes, before the correction for a new
    /// state.
    average_arrivals: f64,
    /// Time of the last update of the tokens and the average.
    updated: Instant,
    /// Admission ratio; `decided` is the time of its last update and `permille` the value sent.
    ratio: f64,
    decided: Instant,
    permille: u16,
    /// Time at which the ratio was last sent to all nodes.
    last_sent: Instant,
    /// Last report of each node.
    nodes: BTreeMap<NodeId, NodeReport>,
}

/// Last report of a node.
#[derive(Debug, Clone, Copy)]
struct NodeReport {
    epoch: u32,
    arrived: u64,
    admitted: u64,
    /// Age of the epoch at the node, which orders its reports.
    counted_ms: u32,
    updated: Instant,
}

impl NodeReport {
    const fn new(now: Instant, usage: &Usage) -> Self {
        Self {
            epoch: usage.epoch,
            arrived: usage.arrived,
            admitted: usage.admitted,
            counted_ms: usage.counted_ms,
            updated: now,
        }
    }

    /// Returns the counts at the start of the report's epoch.
    const fn reset(self) -> Self {
        Self {
            arrived: 0,
            admitted: 0,
            ..self
        }
    }
}

impl QuotaLedger {
    /// Creates an empty ledger.
    #[must_use]
    pub const fn new(bounds: QuotaBounds) -> Self {
        Self {
            bounds,
            reachable_share: 1.0,
            last_round: None,
            resumed: None,
            accounts: BTreeMap::new(),
        }
    }

    /// Sets the share of all nodes that this node can reach, from 0 to 1.
    ///
    /// The unreachable nodes may have a ledger of their own, so this ledger admits only its share
    /// of each quota.
    pub fn set_reachable_share(&mut self, share: f64) {
        self.reachable_share = share.clamp(0.0, 1.0);
    }

    /// Applies the counts of a node, and returns the ratio that the node has to admit.
    ///
    /// A ledger that has just started knows only a part of the arrivals, so it lifts no limit.
    pub fn receive(
        &mut self,
        now: Instant,
        from: NodeId,
        usage: &Usage,
        quota: Quota,
    ) -> AdmissionRatio {
        self.restart_after_stall(now);
        let reachable_share = self.reachable_share;
        let is_catching_up = self.is_catching_up(now);
        let state = self.accounts.entry(usage.account);
        let state = state.or_insert_with(|| AccountQuota::new(now, quota));
        state.quota = quota;
        state.advance(now, reachable_share);
        match is_catching_up {
            true => state.skip(now, from, usage),
            false => state.record(now, from, usage),
        }
        state.update_ratio(reachable_share, self.bounds);
        AdmissionRatio {
            account: usage.account,
            permille: match state.permille {
                AdmissionRatio::ALL if state.is_settling() => AdmissionRatio::UNCHANGED,
                permille => permille,
            },
        }
    }

    /// Returns the admission ratios to send to all nodes now: those of limited accounts, and those
    /// of accounts whose limit has just been lifted.
    pub fn limit_updates(&mut self, now: Instant) -> Vec<AdmissionRatio> {
        self.restart_after_stall(now);
        self.last_round = Some(now);
        let (reachable_share, bounds) = (self.reachable_share, self.bounds);
        self.accounts.retain(|_, state| state.expire_nodes(now));
        let mut due = Vec::new();
        for (account, state) in &mut self.accounts {
            let previous = state.permille;
            state.advance(now, reachable_share);
            state.update_ratio(reachable_share, bounds);
            let limited = state.permille < AdmissionRatio::ALL;
            let lifted = previous < AdmissionRatio::ALL && !limited;
            let starts = limited && previous == AdmissionRatio::ALL;
            if lifted || starts || (limited && now.since(state.last_sent) >= RESEND_INTERVAL) {
                state.last_sent = now;
                due.push(AdmissionRatio {
                    account: *account,
                    permille: state.permille,
                });
            }
        }
        due
    }

    /// Starts all averages again if this process was suspended for so long that other nodes may have
    /// replaced the ledger. The reports that waited meanwhile would otherwise count as a burst.
    ///
    /// Debts and limits remain, since no other ledger may have taken over.
    fn restart_after_stall(&mut self, now: Instant) {
        let has_stalled = |last| now.since(last) >= STALL_TIME;
        if self.last_round.is_some_and(has_stalled) {
            let states = self.accounts.values_mut();
            states.for_each(|state| state.restart(now));
            (self.last_round, self.resumed) = (Some(now), Some(now));
        }
    }

    /// Returns `true` while reports arrive that waited during a suspension of the process.
    fn is_catching_up(&self, now: Instant) -> bool {
        self.resumed.is_some_and(|at| now.since(at) < CATCH_UP_TIME)
    }
}

impl AccountQuota {
    /// Creates the state of an account. Earlier admissions are unknown, so only a part of the burst
    /// is available.
    fn new(now: Instant, quota: Quota) -> Self {
        Self {
            quota,
            started: now,
            tokens: INITIAL_BURST_SHARE * f64::from(quota.burst),
            discarded: 0.0,
            average_arrivals: 0.0,
            updated: now,
            ratio: 1.0,
            decided: now,
            permille: AdmissionRatio::ALL,
            last_sent: now,
            nodes: BTreeMap::new(),
        }
    }

    /// Starts the averages again after a suspension of the process.
    fn restart(&mut self, now: Instant) {
        let mut state = Self::new(now, self.quota);
        state.tokens = state.tokens.min(self.tokens);
        state.ratio = self.ratio;
        state.permille = self.permille;
        state.nodes = std::mem::take(&mut self.nodes);
        let reports = state.nodes.values_mut();
        reports.for_each(|report| report.updated = now);
        *self = state;
    }

    fn advance(&mut self, now: Instant, reachable_share: f64) {
        let elapsed = now.since(self.updated);
        self.updated = self.updated.max(now);
        let burst = f64::from(self.quota.burst) * reachable_share;
        let tokens = self.tokens + elapsed.as_secs_f64() * self.rate(reachable_share);
        self.tokens = tokens.min(burst);
        self.discarded *= decay_factor(elapsed, DISCARD_RETENTION);
        self.discarded += tokens - self.tokens;
        self.average_arrivals *= decay_factor(elapsed, ARRIVAL_AVERAGING_TIME);
    }

    /// Counts the requests of a node since its last report.
    fn record(&mut self, now: Instant, from: NodeId, usage: &Usage) {
        let reported = NodeReport::new(now, usage);
        let counting_time = Duration::from_millis(usage.counted_ms.into());
        let (previous, accrual_time) = match self.nodes.get(&from) {
            Some(previous) if previous.epoch == usage.epoch => (*previous, Duration::ZERO),
            _ if counting_time <= now.since(self.started) + FEEDBACK_DELAY => {
                (reported.reset(), counting_time)
            }
            _ => (reported, Duration::ZERO),
        };
        if reported.counted_ms < previous.counted_ms {
            return;
        }
        // Both counts decrease when requests that were admitted have not run.
        let arrived = reported.arrived as f64 - previous.arrived as f64;
        let admitted = reported.admitted as f64 - previous.admitted as f64;
        let average = self.average_arrivals + arrived * averaging_weight(accrual_time);
        self.average_arrivals = average.max(0.0);
        self.charge(admitted, accrual_time);
        self.nodes.insert(from, reported);
    }

    /// Takes the counts of a node as the base of its next report, without counting them.
    fn skip(&mut self, now: Instant, from: NodeId, usage: &Usage) {
        self.nodes.insert(from, NodeReport::new(now, usage));
    }

    /// Takes the tokens of requests that were admitted over `accrual_time`.
    ///
    /// Requests that are reported late have used the tokens of their own time. Tokens that a full
    /// bucket has discarded since then cover them first.
    fn charge(&mut self, admitted: f64, accrual_time: Duration) {
        let covered = match accrual_time > FEEDBACK_DELAY {
            true => admitted.min(self.discarded),
            false => 0.0,
        };
        self.discarded -= covered;
        self.tokens -= admitted - covered;
    }

    /// Returns the arrivals per second. The average of a new state covers only a part of the
    /// averaging time and is scaled up accordingly.
    fn arrival_rate(&self) -> f64 {
        let age = self
            .updated
            .since(self.started)
            .max(MIN_AVERAGING_AGE)
            .as_secs_f64();
        self.average_arrivals / (1.0 - (-age / ARRIVAL_AVERAGING_TIME.as_secs_f64()).exp())
    }

    /// Returns `true` if nodes may exist that have not reported to this ledger yet.
    fn is_settling(&self) -> bool {
        self.updated.since(self.started) < SETTLING_TIME
    }

    fn update_ratio(&mut self, reachable_share: f64, bounds: QuotaBounds) {
        let (rate, arrival_rate) = (self.rate(reachable_share), self.arrival_rate());
        let excess = (arrival_rate - rate).max(0.0);
        let tolerated = USED_TOLERANCE * reachable_share * bounds.tolerance(self.quota);
        let reserved = (FEEDBACK_DELAY.as_secs_f64() * excess)
            .min(MAX_RESERVED_SHARE * f64::from(self.quota.burst));
        let floor = reserved - tolerated;
        let allowed = rate + (self.tokens - floor) / BURST_RELEASE_TIME.as_secs_f64();
        let ratio = allowed.max(0.0) / arrival_rate.max(f64::MIN_POSITIVE);
        let elapsed = self.updated.since(self.decided).as_secs_f64();
        let max_ratio = match self.updated.since(self.started) < UNLIMITED_RISE_TIME {
            true => 1.0,
            false => (self.ratio * MAX_RISE_PER_SEC.powf(elapsed)).max(MIN_RATIO_CAP),
        };
        self.decided = self.updated;
        self.ratio = ratio.min(max_ratio).min(1.0);
        self.permille = (self.ratio * f64::from(AdmissionRatio::ALL)) as u16;
    }

    fn rate(&self, reachable_share: f64) -> f64 {
        f64::from(self.quota.rate) * reachable_share
    }

    /// Removes nodes that have not reported within the retention time. Returns `true` if any node
    /// is left.
    fn expire_nodes(&mut self, now: Instant) -> bool {
        self.nodes
            .retain(|_, report| now.since(report.updated) < NODE_RETENTION);
        !self.nodes.is_empty()
    }
}

/// Returns the effect of one request on the moving average of arrivals, in requests per second.
///
/// The request belongs to a report whose requests arrived evenly over `accrual_time`.
fn averaging_weight(accrual_time: Duration) -> f64 {
    let averaging_secs = ARRIVAL_AVERAGING_TIME.as_secs_f64();
    match accrual_time.as_secs_f64() {
        secs if secs <= averaging_secs => 1.0 / averaging_secs,
        secs => (1.0 - (-secs / averaging_secs).exp()) / secs,
    }
}

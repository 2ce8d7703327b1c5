//! State that a node keeps about one backend server.

use std::time::Duration;

use super::{BalanceSettings, CallResult, Pace, Sample};
use crate::decay::decay_factor;
use crate::{DomainTag, Instant, Slowdown};

/// Minimum share of its regular load that a backend server gets during slow start.
const MIN_SLOW_START_SHARE: f64 = 0.1;

/// Weight of one result in the moving averages of the failure rate and the latency.
const SAMPLE_WEIGHT: f64 = 0.1;

/// Factor by which a failure rate of 1 raises the score.
const FAILURE_RATE_WEIGHT: f64 = 10.0;

/// Exponent of the usage in the expected latency. With half of its slots in use, a backend server
/// is expected to take a sixteenth longer, with nine tenths in use two thirds longer.
const USAGE_EXPONENT: i32 = 4;

/// Usage assumed after a refusal, which means that the guard has neither a slot nor queue space
/// left.
const REFUSED_USAGE: f64 = 1.5;

/// Time for which requests with a long response avoid a guard whose link had no room for one. It is
/// the time of about four responses of 90 kB over 15 Mbit/s, after which the link is likely to have
/// room again.
const LINK_BUSY_PERIOD: Duration = Duration::from_millis(200);

/// Maximum time for which a rate-limited guard is avoided. With a longer time, an increased rate
/// would be noticed late.
const MAX_RATE_LIMIT_WAIT: Duration = Duration::from_secs(2);

/// Number of failures that one failed connection counts as. With the default threshold, two failed
/// connections in a row eject a backend server, because a failed connection says more than a
/// missing response, and a retry after the ejection costs no more than the connection attempt.
const UNREACHABLE_FAILURES: u32 = 3;

/// Maximum number of doublings of the ejection time.
const MAX_DOUBLINGS: u32 = 16;

/// State that a node keeps about one backend server.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct Peer {
    pub(super) service: usize,
    /// Failure domain of the backend server, or `None` if it is the node's own domain.
    pub(super) domain: Option<DomainTag>,
    pub(super) running: u32,
    /// `true` if the backend server has left the view while calls to it are in flight.
    pub(super) departed: bool,
    /// Time of discovery, or `None` if the backend server was present from the start.
    discovered: Option<Instant>,
    latency: Option<f64>,
    latency_at: Instant,
    usage: f64,
    usage_at: Instant,
    /// Most recent usual pace, from a response or an announcement.
    pace: Option<Pace>,
    /// Most recent slowdown from a response, with the time of the response.
    slowdown: Option<(Slowdown, Instant)>,
    /// Most recent pace that was announced to all nodes.
    announced: Option<Pace>,
    /// Time of the last refusal of a long response for lack of link capacity.
    link_busy: Option<Instant>,
    /// End of the time for which the guard accepts no requests from this node because of a rate
    /// limit.
    limited_until: Option<Instant>,
    failure_rate: f64,
    result_at: Instant,
    failure_streak: u32,
    ejections: u32,
    ejected_until: Option<Instant>,
}

impl Peer {
    pub(super) const fn new(now: Instant, service: usize, discovered: Option<Instant>) -> Self {
        Self {
            service,
            domain: None,
            running: 0,
            departed: false,
            discovered,
            latency: None,
            latency_at: now,
            usage: 0.0,
            usage_at: now,
            pace: None,
            slowdown: None,
            announced: None,
            link_busy: None,
            limited_until: None,
            failure_rate: 0.0,
            result_at: now,
            failure_streak: 0,
            ejections: 0,
            ejected_until: None,
        }
    }

    /// Records a finished call and returns `true` if the failures call for an ejection.
    pub(super) fn finish(&mut self, now: Instant, sample: &Sample, s: &BalanceSettings) -> bool {
        self.running = self.running.saturating_sub(1);
        if let Some(load) = sample.load {
            self.usage = load.usage();
            self.usage_at = now;
        }
        self.pace = sample.usual_pace().or(self.pace);
        self.slowdown = sample
            .slowdown
            .map(|slowdown| (slowdown, now))
            .or(self.slowdown);
        match sample.result {
            CallResult::Success => {
                self.record_latency(now, sample.latency, s.decay_time);
                self.record_result(now, 0.0, s.decay_time);
                self.reset_failures(now, s.max_ejection);
                false
            }
            CallResult::Failure => {
                self.record_result(now, 1.0, s.decay_time);
                self.failure_streak = self.failure_streak.saturating_add(1);
                self.failure_streak >= s.failure_threshold && !self.ejected(now)
            }
            CallResult::Unreachable => {
                self.record_result(now, 1.0, s.decay_time);
                self.failure_streak = self.failure_streak.saturating_add(UNREACHABLE_FAILURES);
                self.failure_streak >= s.failure_threshold && !self.ejected(now)
            }
            CallResult::Refused => {
                self.usage = self.usage(now, s.load_decay).max(REFUSED_USAGE);
                self.usage_at = now;
                self.limited_until = sample
                    .retry_after
                    .map(|retry_after| now + retry_after.min(MAX_RATE_LIMIT_WAIT));
                false
            }
            // An error response lowers the preference for this backend server but never ejects it,
            // because a dependency shared by all backend servers may be at fault.
            CallResult::ErrorResponse => {
                self.record_result(now, 1.0, s.decay_time);
                false
            }
            CallResult::LinkBusy => {
                self.link_busy = Some(now);
                false
            }
            CallResult::Cancelled => false,
        }
    }

    /// Applies the pace that the node has announced to all others, unless it is unchanged.
    ///
    /// A node withdraws its pace when another process has replaced its backend server. All
    /// measurements and ejections are then reset, but calls in flight are still counted.
    pub(super) fn apply_announcement(&mut self, now: Instant, announced: Option<Pace>) {
        match (self.announced, announced) {
            (old, new) if old == new => return,
            (Some(_), None) => {
                *self = Self {
                    domain: self.domain,
                    running: self.running,
                    discovered: self.discovered,
                    ..Self::new(now, self.service, None)
                }
            }
            (_, Some(pace)) => self.pace = Some(pace),
            (None, None) => {}
        }
        self.announced = announced;
    }

    /// Ejects the backend server for twice as long as the last time, up to the maximum duration.
    pub(super) fn eject(&mut self, now: Instant, s: &BalanceSettings) {
        let factor = 1 << self.ejections.min(MAX_DOUBLINGS);
        let time = s.base_ejection.saturating_mul(factor).min(s.max_ejection);
        self.ejections = self.ejections.saturating_add(1);
        self.ejected_until = Some(now + time);
    }

    /// Ejects the backend server for the duration of a first ejection, so that a recovered
    /// connection is noticed soon.
    pub(super) fn eject_unreachable(&mut self, now: Instant, s: &BalanceSettings) {
        self.ejected_until = Some(now + s.base_ejection);
    }

    /// Keeps the backend server in rotation because too many others are ejected, and resets its
    /// failure count.
    pub(super) const fn keep_in_rotation(&mut self) {
        self.failure_streak = 0;
    }

    pub(super) fn ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Returns `true` if the backend server may be selected.
    ///
    /// After an ejection the backend server gets one call at a time until a call succeeds.
    pub(super) fn usable(&self, now: Instant, failure_threshold: u32) -> bool {
        let trial = self.ejected_until.is_some() && self.failure_streak >= failure_threshold;
        !self.ejected(now) && (!trial || self.running == 0)
    }

    /// Returns the share of its regular load that the backend server gets, which rises during slow
    /// start.
    pub(super) fn slow_start_share(&self, now: Instant, slow_start: Duration) -> f64 {
        match self.discovered {
            Some(discovered) if now.since(discovered) < slow_start => {
                let share = now.since(discovered).as_secs_f64() / slow_start.as_secs_f64();
                share.max(MIN_SLOW_START_SHARE)
            }
            _ => 1.0,
        }
    }

    /// Returns the last reported usage, decayed by its age.
    pub(super) fn usage(&self, now: Instant, age: Duration) -> f64 {
        self.usage * decay_factor(now.since(self.usage_at), age)
    }

    /// Returns `true` if the link recently had no room for a long response.
    pub(super) fn is_link_busy(&self, now: Instant) -> bool {
        self.link_busy
            .is_some_and(|then| now.since(then) < LINK_BUSY_PERIOD)
    }

    /// Returns `true` while the guard's rate limit allows no requests from this node.
    pub(super) fn is_rate_limited(&self, now: Instant) -> bool {
        self.limited_until.is_some_and(|until| now < until)
    }

    /// Returns the latency, decayed so that a slow backend server is tried again.
    pub(super) fn latency(&self, now: Instant, s: &BalanceSettings) -> Option<f64> {
        let fresh = decay_factor(now.since(self.latency_at), s.decay_time);
        self.latency.map(|latency| latency * fresh)
    }

    /// Returns the cost of one more call with an expected latency of `latency`.
    pub(super) fn score(&self, now: Instant, latency: f64, s: &BalanceSettings) -> f64 {
        let waiting = f64::from(self.running) + 1.0;
        let usage = 1.0 + s.load_weight * self.usage(now, s.load_decay);
        let failure_rate = 1.0 + FAILURE_RATE_WEIGHT * self.failure_rate(now, s.decay_time);
        waiting * latency * usage * failure_rate
    }

    /// Returns the expected latency of one more call in multiples of the target.
    ///
    /// `mean_pace` is used if the backend server has not reported a pace. Calls run concurrently
    /// until the slots are taken, so a low load has little effect.
    pub(super) fn expected(
        &self,
        now: Instant,
        slots: u32,
        mean_pace: f64,
        s: &BalanceSettings,
    ) -> f64 {
        let pace = self.pace.map_or(mean_pace, Pace::ratio) * self.slowdown(now);
        let own = f64::from(self.running) / f64::from(slots.max(1));
        let usage = self.usage(now, s.load_decay).max(own);
        let failure_rate = 1.0 + FAILURE_RATE_WEIGHT * self.failure_rate(now, s.decay_time);
        pace * (1.0 + usage.powi(USAGE_EXPONENT)) * failure_rate
    }

    /// Returns the last reported slowdown, decayed by its age.
    fn slowdown(&self, now: Instant) -> f64 {
        self.slowdown.map_or(1.0, |(slowdown, at)| {
            slowdown.believed_factor(now.since(at))
        })
    }

    /// Returns the time of the last response that reported a slowdown.
    pub(super) fn slowdown_at(&self) -> Option<Instant> {
        self.slowdown.map(|(_, at)| at)
    }

    /// Returns the failure rate, decayed so that a failing backend server is tried again.
    fn failure_rate(&self, now: Instant, decay_time: Duration) -> f64 {
        self.failure_rate * decay_factor(now.since(self.result_at), decay_time)
    }

    fn record_result(&mut self, now: Instant, failed: f64, decay_time: Duration) {
        let old = self.failure_rate(now, decay_time);
        self.failure_rate = old + SAMPLE_WEIGHT * (failed - old);
        self.result_at = now;
    }

    fn record_latency(&mut self, now: Instant, latency: Duration, decay_time: Duration) {
        let new = latency.as_secs_f64();
        let old = self.latency.unwrap_or(new);
        let keep = decay_factor(now.since(self.latency_at), decay_time).min(1.0 - SAMPLE_WEIGHT);
        self.latency = Some(old * keep + new * (1.0 - keep));
        self.latency_at = now;
    }

    fn reset_failures(&mut self, now: Instant, max_ejection: Duration) {
        self.failure_streak = 0;
        if self
            .ejected_until
            .is_some_and(|until| now.since(until) >= max_ejection)
        {
            self.ejected_until = None;
            self.ejections = 0;
        }
    }
}

//! Slow start: the rate limit of a cold backend server until it has warmed up.

use std::collections::VecDeque;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{Instant, Reason, Refusal};

/// Retry delay of a guard that does not know the limit of its cold backend server yet. A
/// configuration version arrives a few hundred milliseconds after a start.
const UNKNOWN_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Sliding window over which dispatched requests are counted. It exceeds one second because
/// requests may overtake each other on the way to the backend server.
const COUNT_WINDOW: Duration = Duration::from_millis(1_050);

/// Share of the tolerance beyond the cold rate that is used.
const USED_TOLERANCE: f64 = 0.5;

/// Slow start settings of a service.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ColdStart {
    /// Maximum rate of a cold backend server, in requests per second.
    pub rate: u32,
    /// Duration of the slow start, in milliseconds.
    pub lasts_ms: u32,
}

/// Tolerated excess of the requests in one second beyond the cold rate.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdBounds {
    /// Tolerated multiple of the cold rate, at least 1.
    pub overage: f64,
    /// Number of requests tolerated in addition to `overage`.
    pub slack: f64,
}

impl ColdBounds {
    /// Returns the maximum number of requests that a cold backend server receives in one second.
    #[must_use]
    pub fn max_requests(&self, cold: ColdStart) -> usize {
        let rate = f64::from(cold.rate);
        let tolerance = (self.overage - 1.0).max(0.0) * rate + self.slack;
        ((rate + USED_TOLERANCE * tolerance) as usize).max(1)
    }
}

/// Sliding window count of the requests dispatched to one backend server.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use swiftcart_core::{DispatchWindow, Instant};
///
/// let now = Instant::from_millis(2_000);
/// let mut dispatched = DispatchWindow::new(Instant::from_millis(0));
/// assert_eq!(dispatched.retry_delay(now, 2), None);
/// dispatched.record(now);
/// dispatched.record(now + Duration::from_millis(100));
/// assert!(dispatched.retry_delay(now + Duration::from_millis(200), 2).is_some());
/// assert_eq!(dispatched.retry_delay(now + Duration::from_millis(1_100), 2), None);
/// ```
#[derive(Debug, Clone)]
pub struct DispatchWindow {
    /// Time at which this process began to count. Earlier dispatches are unknown.
    started: Instant,
    times: VecDeque<Instant>,
}

/// Maximum number of dispatch times kept, more than a cold backend server handles in one second.
const MAX_DISPATCH_TIMES: usize = 512;

impl DispatchWindow {
    /// Creates an empty window that starts now.
    #[must_use]
    pub const fn new(now: Instant) -> Self {
        Self {
            started: now,
            times: VecDeque::new(),
        }
    }

    /// Records a request that is dispatched now.
    pub fn record(&mut self, now: Instant) {
        self.expire(now);
        if self.times.len() >= MAX_DISPATCH_TIMES {
            self.times.pop_front();
        }
        self.times.push_back(now);
    }

    /// Returns the time until the next request may be dispatched at a limit of `max_requests` per
    /// window, or `None` if it may be dispatched now.
    #[must_use]
    pub fn retry_delay(&mut self, now: Instant, max_requests: usize) -> Option<Duration> {
        self.expire(now);
        let elapsed = now.since(self.started);
        if elapsed < COUNT_WINDOW {
            return Some(COUNT_WINDOW.saturating_sub(elapsed));
        }
        let oldest = self.times.len().checked_sub(max_requests)?;
        let oldest = *self.times.get(oldest)?;
        Some(COUNT_WINDOW.saturating_sub(now.since(oldest)))
    }

    fn expire(&mut self, now: Instant) {
        let is_expired = |at: &Instant| now.since(*at) >= COUNT_WINDOW;
        while self.times.front().is_some_and(is_expired) {
            self.times.pop_front();
        }
    }
}

/// Limit of a cold backend server, as far as the guard knows.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ColdStartLimit {
    /// No configuration version is known yet.
    #[default]
    Unknown,
    /// Cold backend servers are not limited.
    Unlimited,
    /// Cold backend servers are limited by these settings.
    Limited(ColdStart),
}

/// Slow start of the backend server of one guard.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use swiftcart_core::{ColdBounds, ColdStartLimit, ColdStart, Instant, Warmup};
///
/// let second = |n| Instant::new(Duration::from_secs(n));
/// let bounds = ColdBounds { overage: 1.5, slack: 8.0 };
/// let mut warmup = Warmup::new(second(0), bounds);
/// warmup.set_cold_until(second(5));
/// assert!(warmup.take(second(2)).is_err(), "the limit is not known");
/// warmup.set_cold_limit(ColdStartLimit::Limited(ColdStart { rate: 14, lasts_ms: 3_000 }));
/// let dispatched = (0..40).filter(|_| warmup.take(second(2)).is_ok()).count();
/// assert_eq!(dispatched, 21);
/// assert!(warmup.take(second(6)).is_ok(), "the backend server is warm");
/// ```
#[derive(Debug, Clone)]
pub struct Warmup {
    bounds: ColdBounds,
    limit: ColdStartLimit,
    dispatched: DispatchWindow,
    /// Time until which the backend server announced itself as cold.
    cold_until: Instant,
    /// Time until which the backend server is assumed to be cold without an announcement.
    assumed_until: Instant,
}

impl Warmup {
    /// Creates the slow start state of a guard whose process starts now.
    #[must_use]
    pub const fn new(now: Instant, bounds: ColdBounds) -> Self {
        Self {
            bounds,
            limit: ColdStartLimit::Unknown,
            dispatched: DispatchWindow::new(now),
            cold_until: now,
            assumed_until: now,
        }
    }

    /// Sets the limit for a cold backend server of the service.
    pub fn set_cold_limit(&mut self, limit: ColdStartLimit) {
        self.limit = limit;
    }

    /// Sets the time until which the backend server announced itself as cold, and ends an
    /// assumption made by [`assume_cold`](Self::assume_cold).
    pub fn set_cold_until(&mut self, until: Instant) {
        self.cold_until = until;
        self.assumed_until = Instant::default();
    }

    /// Assumes that the backend server is cold after a time without requests. The assumption ends
    /// with the next announcement, and after the duration of a slow start at the latest.
    pub fn assume_cold(&mut self, now: Instant) {
        if let ColdStartLimit::Limited(cold) = self.limit {
            self.assumed_until = now + Duration::from_millis(cold.lasts_ms.into());
        }
    }

    /// Returns `true` if the backend server is cold and limited.
    #[must_use]
    pub fn is_cold(&self, now: Instant) -> bool {
        self.in_cold_period(now) && matches!(self.limit, ColdStartLimit::Limited(_))
    }

    /// Checks that a request may be dispatched now.
    ///
    /// # Errors
    ///
    /// Returns [`Reason::Warming`] with the time after which a request may be dispatched.
    pub fn may_enter(&mut self, now: Instant) -> Result<(), Refusal> {
        let wait = match self.limit {
            _ if !self.in_cold_period(now) => None,
            ColdStartLimit::Unlimited => None,
            ColdStartLimit::Unknown => Some(UNKNOWN_RETRY_DELAY),
            ColdStartLimit::Limited(cold) => self
                .dispatched
                .retry_delay(now, self.bounds.max_requests(cold)),
        };
        match wait {
            Some(wait) => Err(Refusal::new(Reason::Warming).with_retry(wait)),
            None => Ok(()),
        }
    }

    /// Admits and counts a request that is dispatched now.
    ///
    /// # Errors
    ///
    /// Returns the same errors as [`may_enter`](Self::may_enter).
    pub fn take(&mut self, now: Instant) -> Result<(), Refusal> {
        self.may_enter(now)?;
        if self.limit != ColdStartLimit::Unlimited {
            self.dispatched.record(now);
        }
        Ok(())
    }

    fn in_cold_period(&self, now: Instant) -> bool {
        now < self.cold_until.max(self.assumed_until)
    }
}

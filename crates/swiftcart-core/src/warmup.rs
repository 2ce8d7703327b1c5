//! Cold backend servers: what one may be handed until it has warmed up.

use std::collections::VecDeque;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{Instant, Reason, Refusal};

/// When to come back to a guard that does not know what its cold backend server bears: a version is
/// there some hundred milliseconds after a start.
const UNKNOWN: Duration = Duration::from_millis(200);

/// The time over which hand-overs are counted, with room for those that overtake others on the way.
const WINDOW: Duration = Duration::from_millis(1_050);

/// The part of what is tolerated beyond the cold rate that is used.
const USED: f64 = 0.5;

/// Says what a service's backend servers bear while they are cold.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ColdStart {
    /// Requests a second that a cold one bears.
    pub rate: u32,
    /// How long one stays cold, in milliseconds.
    pub lasts_ms: u32,
}

/// Says how far the requests of a second may lie beyond the cold rate.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdBounds {
    /// Times the cold rate, at least 1.
    pub overage: f64,
    /// Requests on top of that.
    pub slack: f64,
}

impl ColdBounds {
    /// Returns the requests that a cold backend server is handed in a second at most.
    #[must_use]
    pub fn most(&self, cold: ColdStart) -> usize {
        let rate = f64::from(cold.rate);
        let beyond = (self.overage - 1.0).max(0.0) * rate + self.slack;
        ((rate + USED * beyond) as usize).max(1)
    }
}

/// Counts what one backend server was handed in the last second.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use swiftcart_core::{DispatchWindow, Instant};
///
/// let now = Instant::from_millis(2_000);
/// let mut handed = DispatchWindow::new(Instant::from_millis(0));
/// assert_eq!(handed.wait(now, 2), None);
/// handed.note(now);
/// handed.note(now + Duration::from_millis(100));
/// assert!(handed.wait(now + Duration::from_millis(200), 2).is_some());
/// assert_eq!(handed.wait(now + Duration::from_millis(1_100), 2), None);
/// ```
#[derive(Debug, Clone)]
pub struct DispatchWindow {
    /// Since when this process counts; what was handed over before is not known.
    since: Instant,
    times: VecDeque<Instant>,
}

/// The hand-overs that are remembered at most; more than a cold backend server bears in a second.
const REMEMBERED: usize = 512;

impl DispatchWindow {
    /// Creates a count that begins now.
    #[must_use]
    pub const fn new(now: Instant) -> Self {
        Self {
            since: now,
            times: VecDeque::new(),
        }
    }

    /// Notes that a request is handed over.
    pub fn note(&mut self, now: Instant) {
        self.forget(now);
        if self.times.len() >= REMEMBERED {
            self.times.pop_front();
        }
        self.times.push_back(now);
    }

    /// Returns how long to wait until another one may be handed over, where `most` may in a second.
    #[must_use]
    pub fn wait(&mut self, now: Instant, most: usize) -> Option<Duration> {
        self.forget(now);
        let counted = now.since(self.since);
        if counted < WINDOW {
            return Some(WINDOW.saturating_sub(counted));
        }
        let oldest = self.times.len().checked_sub(most)?;
        let oldest = *self.times.get(oldest)?;
        Some(WINDOW.saturating_sub(now.since(oldest)))
    }

    fn forget(&mut self, now: Instant) {
        let is_over = |at: &Instant| now.since(*at) >= WINDOW;
        while self.times.front().is_some_and(is_over) {
            self.times.pop_front();
        }
    }
}

/// What is known of what a cold backend server bears.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ColdStartLimit {
    /// Nothing: no version is known yet.
    #[default]
    Unknown,
    /// As much as any other.
    Unlimited,
    /// So much.
    Limited(ColdStart),
}

/// Decides at a guard what its backend server is handed while it is cold.
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
/// assert!(warmup.take(second(2)).is_err(), "what it bears is not known");
/// warmup.set_cold_limit(ColdStartLimit::Limited(ColdStart { rate: 14, lasts_ms: 3_000 }));
/// let handed = (0..40).filter(|_| warmup.take(second(2)).is_ok()).count();
/// assert_eq!(handed, 21);
/// assert!(warmup.take(second(6)).is_ok(), "it is warm");
/// ```
#[derive(Debug, Clone)]
pub struct Warmup {
    bounds: ColdBounds,
    rule: ColdStartLimit,
    handed: DispatchWindow,
    /// Until when the backend server says that it is cold.
    until: Instant,
    /// Until when it may be cold without having said so.
    unsure: Instant,
}

impl Warmup {
    /// Creates the state of a guard whose process starts now.
    #[must_use]
    pub const fn new(now: Instant, bounds: ColdBounds) -> Self {
        Self {
            bounds,
            rule: ColdStartLimit::Unknown,
            handed: DispatchWindow::new(now),
            until: now,
            unsure: now,
        }
    }

    /// Takes over what a cold backend server of the service bears.
    pub fn set_cold_limit(&mut self, rule: ColdStartLimit) {
        self.rule = rule;
    }

    /// Takes over until when the backend server says that it is cold.
    pub fn set_cold_until(&mut self, until: Instant) {
        self.until = until;
        self.unsure = Instant::default();
    }

    /// Takes the backend server for cold until it says something, for the time of a start at most: it
    /// had nothing to do.
    pub fn assume_cold(&mut self, now: Instant) {
        if let ColdStartLimit::Limited(cold) = self.rule {
            self.unsure = now + Duration::from_millis(cold.lasts_ms.into());
        }
    }

    /// Tells whether the backend server bears less than usual.
    #[must_use]
    pub fn is_cold(&self, now: Instant) -> bool {
        self.is_cooled(now) && matches!(self.rule, ColdStartLimit::Limited(_))
    }

    /// Tells whether a request may be handed over now.
    ///
    /// # Errors
    ///
    /// [`Reason::Warming`] with the time after which one may.
    pub fn may_enter(&mut self, now: Instant) -> Result<(), Refusal> {
        let wait = match self.rule {
            _ if !self.is_cooled(now) => None,
            ColdStartLimit::Unlimited => None,
            ColdStartLimit::Unknown => Some(UNKNOWN),
            ColdStartLimit::Limited(cold) => self.handed.wait(now, self.bounds.most(cold)),
        };
        match wait {
            Some(wait) => Err(Refusal::new(Reason::Warming).with_retry(wait)),
            None => Ok(()),
        }
    }

    /// Counts a request that is handed over now.
    ///
    /// # Errors
    ///
    /// The same as [`may_enter`](Self::may_enter).
    pub fn take(&mut self, now: Instant) -> Result<(), Refusal> {
        self.may_enter(now)?;
        if self.rule != ColdStartLimit::Unlimited {
            self.handed.note(now);
        }
        Ok(())
    }

    fn is_cooled(&self, now: Instant) -> bool {
        now < self.until.max(self.unsure)
    }
}

//! Cold backend servers: what one may be handed until it has warmed up.

use std::collections::VecDeque;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::Instant;

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
/// use swiftcart_core::{HandOvers, Instant};
///
/// let now = Instant::from_millis(2_000);
/// let mut handed = HandOvers::new(Instant::from_millis(0));
/// assert_eq!(handed.wait(now, 2), None);
/// handed.note(now);
/// handed.note(now + Duration::from_millis(100));
/// assert!(handed.wait(now + Duration::from_millis(200), 2).is_some());
/// assert_eq!(handed.wait(now + Duration::from_millis(1_100), 2), None);
/// ```
#[derive(Debug, Clone)]
pub struct HandOvers {
    /// Since when this process counts; what was handed over before is not known.
    since: Instant,
    times: VecDeque<Instant>,
}

/// The hand-overs that are remembered at most; more than a cold backend server bears in a second.
const REMEMBERED: usize = 512;

impl HandOvers {
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

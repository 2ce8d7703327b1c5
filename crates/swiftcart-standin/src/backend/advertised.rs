//! What a backend server has said of itself in its answers, and what it got all the same.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// How long answers may take to be known to all who were told.
const PROPAGATION_DELAY: Duration = Duration::from_millis(500);

/// The time over which requests are counted against a rate.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// Times the rate, and requests on top, that may come in the window: what is under way when the
/// rate becomes known, and the first requests of those who were not told.
const RATE_TOLERANCE: f64 = 1.5;
const BURST_ALLOWANCE: f64 = 4.0;

/// The time after which nothing may come to a backend server that has said that it leaves.
const LEAVING_GRACE: Duration = Duration::from_secs(1);

/// Counts what a backend server gets against what it says of itself.
#[derive(Debug, Default)]
pub(super) struct AdvertisedLimits {
    rate: Option<(f64, Instant)>,
    leaving: Option<Instant>,
    arrivals: VecDeque<Instant>,
}

impl AdvertisedLimits {
    /// Notes what an answer says that leaves now.
    pub(super) fn record_response(&mut self, now: Instant, rate: Option<f64>, leaving: bool) {
        self.rate = rate.map(|rate| match self.rate {
            Some((old, since)) if old <= rate => (rate, since),
            _ => (rate, now),
        });
        self.leaving = self.leaving.filter(|_| leaving);
        if leaving {
            self.leaving.get_or_insert(now);
        }
    }

    /// Notes a request; returns whether it is one too many for the rate, and whether it comes after all
    /// know that the backend server leaves.
    pub(super) fn record_request(&mut self, now: Instant) -> (bool, bool) {
        self.arrivals.push_back(now);
        while self
            .arrivals
            .front()
            .is_some_and(|at| now - *at >= RATE_WINDOW)
        {
            self.arrivals.pop_front();
        }
        let arrivals_since = |since: Instant| {
            self.arrivals
                .iter()
                .filter(|at| **at >= since + PROPAGATION_DELAY)
                .count()
        };
        let over_rate = self.rate.is_some_and(|(rate, since)| {
            arrivals_since(since) as f64 > RATE_TOLERANCE * rate + BURST_ALLOWANCE
        });
        let after_leaving = self
            .leaving
            .is_some_and(|since| now >= since + LEAVING_GRACE);
        (over_rate, after_leaving)
    }

    /// Forgets all of it: another process has taken the place.
    pub(super) fn reset(&mut self) {
        *self = Self::default();
    }
}

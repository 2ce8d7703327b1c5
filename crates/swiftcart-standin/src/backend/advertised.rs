//! Check of received requests against the limits that the backend server advertises.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// Maximum time until all nodes that are informed of an advertised rate know the rate.
///
/// Requests that arrive earlier are not counted against the rate.
const PROPAGATION_DELAY: Duration = Duration::from_millis(500);

/// Sliding window in which requests are counted against the rate.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// Factor on the advertised rate that is allowed within the window.
///
/// Together with [`BURST_ALLOWANCE`] it covers requests already in flight when the rate becomes
/// known, and the first requests of nodes that have not been informed.
const RATE_TOLERANCE: f64 = 1.5;
/// Number of requests allowed within the window in addition to the scaled rate.
const BURST_ALLOWANCE: f64 = 4.0;

/// Time after the first leaving notice from which no request may arrive.
const LEAVING_GRACE: Duration = Duration::from_secs(1);

/// Limits that the backend server advertises in its responses, and recent arrivals.
#[derive(Debug, Default)]
pub(super) struct AdvertisedLimits {
    rate: Option<(f64, Instant)>,
    leaving: Option<Instant>,
    arrivals: VecDeque<Instant>,
}

impl AdvertisedLimits {
    /// Records the values advertised in a response that is sent at `now`.
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

    /// Records a request that arrives at `now`.
    ///
    /// The first flag of the result is `true` if the request exceeds the advertised rate. The
    /// second flag is `true` if it arrives [`LEAVING_GRACE`] or more after the leaving notice.
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

    /// Clears the state after a restart, since the new process has not advertised anything yet.
    pub(super) fn reset(&mut self) {
        *self = Self::default();
    }
}

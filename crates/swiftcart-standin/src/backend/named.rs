//! What a backend server has said of itself in its answers, and what it got all the same.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// How long answers may take to be known to all who were told.
const KNOWN: Duration = Duration::from_millis(500);

/// The time over which requests are counted against a rate.
const WINDOW: Duration = Duration::from_secs(1);

/// Times the rate, and requests on top, that may come in the window: what is under way when the
/// rate becomes known, and the first requests of those who were not told.
const TIMES: f64 = 1.5;
const EXTRA: f64 = 4.0;

/// The time after which nothing may come to a backend server that has said that it leaves.
const DRAIN: Duration = Duration::from_secs(1);

/// Counts what a backend server gets against what it says of itself.
#[derive(Debug, Default)]
pub(super) struct Named {
    rate: Option<(f64, Instant)>,
    leaving: Option<Instant>,
    arrivals: VecDeque<Instant>,
}

impl Named {
    /// Notes what an answer says that leaves now.
    pub(super) fn says(&mut self, now: Instant, rate: Option<f64>, leaving: bool) {
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
    pub(super) fn arrives(&mut self, now: Instant) -> (bool, bool) {
        self.arrivals.push_back(now);
        while self.arrivals.front().is_some_and(|at| now - *at >= WINDOW) {
            self.arrivals.pop_front();
        }
        let counts = |since: Instant| {
            self.arrivals
                .iter()
                .filter(|at| **at >= since + KNOWN)
                .count()
        };
        let beyond = self
            .rate
            .is_some_and(|(rate, since)| counts(since) as f64 > TIMES * rate + EXTRA);
        let late = self.leaving.is_some_and(|since| now >= since + DRAIN);
        (beyond, late)
    }

    /// Forgets all of it: another process has taken the place.
    pub(super) fn restart(&mut self) {
        *self = Self::default();
    }
}

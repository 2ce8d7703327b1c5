//! The requests a second that a backend server has named as what it takes.

use std::time::Duration;

use crate::rate::Bucket;
use crate::{Instant, ServerRate};

/// The time in which an unused rate adds up, in seconds.
const BURST_SECS: f64 = 0.2;

/// The least rate that is used, in requests a second: without any request the backend server could not
/// say that it takes more again.
const LEAST: f64 = 0.25;

/// Bounds the requests that start to the rate that the backend server has named.
///
/// Slots bound how many run at once. A quick backend server starts many times as many in a second, and
/// one in need may bear much less than it finishes.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
pub(super) struct Throttle {
    bucket: Option<Bucket>,
}

impl Throttle {
    /// Takes over the rate that was named, or that none is any more.
    pub(super) fn set_rate(&mut self, now: Instant, rate: Option<ServerRate>) {
        self.bucket = rate.map(|rate| {
            let rate = rate.per_second().max(LEAST);
            let burst = (rate * BURST_SECS).max(1.0);
            let tokens = self.bucket.map_or(1.0, |mut old| old.tokens(now));
            Bucket::new(now, rate, burst, tokens.min(burst))
        });
    }

    /// Returns the requests that may start in a second, where they are bounded.
    pub(super) fn rate(&self) -> Option<f64> {
        self.bucket.map(|bucket| bucket.rate())
    }

    /// Tells whether a request may start now.
    pub(super) fn is_open(&self, now: Instant) -> bool {
        self.wait(now, 0).is_zero()
    }

    /// Returns how long a request waits that starts behind `ahead` others.
    pub(super) fn wait(&self, now: Instant, ahead: usize) -> Duration {
        self.bucket
            .map_or(Duration::ZERO, |bucket| bucket.wait(now, ahead))
    }

    /// Takes back the count of a request that did not start.
    pub(super) const fn give_back(&mut self) {
        if let Some(bucket) = &mut self.bucket {
            bucket.add(1.0);
        }
    }

    /// Counts a request that starts.
    pub(super) fn take(&mut self, now: Instant) {
        if let Some(bucket) = &mut self.bucket {
            bucket.spend(now);
        }
    }
}

//! Rate limit named by a backend server, in requests per second.

use std::time::Duration;

use crate::rate::TokenBucket;
use crate::{Instant, ServerRate};

/// Time over which an unused rate accumulates, in seconds.
const BURST_SECS: f64 = 0.2;

/// Minimum rate that is applied, in requests per second. The backend server names its rate in
/// responses, so it needs some requests to be able to name a higher rate.
const MIN_RATE_PER_SEC: f64 = 0.25;

/// Rate limiter for the requests that start, at the rate that the backend server has named.
///
/// Slots bound the number of concurrent requests, which does not bound the rate: a fast backend
/// server starts many times as many requests in a second as it has slots. An overloaded backend
/// server may sustain a much lower rate than the rate at which it completes requests.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
pub(super) struct Throttle {
    bucket: Option<TokenBucket>,
}

impl Throttle {
    /// Sets the named rate, or removes the rate limit if `rate` is `None`.
    pub(super) fn set_rate(&mut self, now: Instant, rate: Option<ServerRate>) {
        self.bucket = rate.map(|rate| {
            let rate = rate.per_second().max(MIN_RATE_PER_SEC);
            let burst = (rate * BURST_SECS).max(1.0);
            let tokens = self.bucket.map_or(1.0, |mut old| old.tokens(now));
            TokenBucket::new(now, rate, burst, tokens.min(burst))
        });
    }

    /// Returns the rate limit in requests per second, if there is a limit.
    pub(super) fn rate(&self) -> Option<f64> {
        self.bucket.map(|bucket| bucket.rate())
    }

    /// Returns `true` if a request may start now.
    pub(super) fn has_token(&self, now: Instant) -> bool {
        self.wait(now, 0).is_zero()
    }

    /// Returns the wait of a request that starts after `ahead` others.
    pub(super) fn wait(&self, now: Instant, ahead: usize) -> Duration {
        self.bucket
            .map_or(Duration::ZERO, |bucket| bucket.wait(now, ahead))
    }

    /// Gives back the token of a request that was not forwarded.
    pub(super) const fn refund(&mut self) {
        if let Some(bucket) = &mut self.bucket {
            bucket.add(1.0);
        }
    }

    /// Takes a token for a request that starts.
    pub(super) fn take(&mut self, now: Instant) {
        if let Some(bucket) = &mut self.bucket {
            bucket.spend(now);
        }
    }
}

//! Rates: the token bucket, and a guard's share of its service's rate limit.

use std::time::Duration;

use rand::Rng;

use crate::{Instant, Reason, Refusal};

/// The time in which an unused share adds up, in seconds.
const BURST_SECS: f64 = 0.2;

/// The longest time after which a caller is asked to come back.
pub const MAX_RETRY_DELAY: Duration = Duration::from_secs(30);

/// Spreads the times at which refused callers come back by up to this share.
const JITTER: f64 = 0.25;

/// Holds tokens that flow in at a rate and are taken one by one.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct TokenBucket {
    rate: f64,
    burst: f64,
    tokens: f64,
    at: Instant,
}

/// Limits one guard to its part of a service's rate.
///
/// Every guard takes `rate / guards` from the membership alone, so no message is
/// sent for a call, and the sum over all guards holds the limit whenever they
/// agree on the number of guards. While the membership changes, guards that do
/// not know of a newcomer yet keep their larger share: with `n` guards before and
/// `m > n` after, the sum stays below `rate * (1 + (m - n) / n)` until they know.
///
/// Uneven arrivals lose a part: a guard that gets more than its share refuses
/// although another has tokens left, so the service passes the sum of
/// `min(arrivals, rate / guards)`. A refused call is not run, so its ingress may
/// try one other guard. Each guard starts with one token and saves at most 0.2 s
/// of its share, one token at least; a rate below the number of guards therefore
/// passes up to one request for each guard at once.
///
/// # Examples
///
/// ```
/// use rand::{SeedableRng, rngs::SmallRng};
/// use swiftcart_core::{Instant, RateShare, Reason};
///
/// let mut rng = SmallRng::seed_from_u64(1);
/// let now = Instant::from_millis(0);
/// let mut share = RateShare::new(now).with_rate(now, 10, 5);
/// assert!(share.take(now, &mut rng).is_ok());
/// let refusal = share.take(now, &mut rng).unwrap_err();
/// assert_eq!(refusal.reason, Reason::RateLimited);
/// assert!(share.take(Instant::from_millis(500), &mut rng).is_ok());
/// ```
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RateShare {
    bucket: Option<TokenBucket>,
    promises: RetryScheduler,
}

/// Gives callers that were refused a time to come back, each a later one.
///
/// Counts the callers that were sent away and are expected back, and lets the
/// count run down at the rate at which they can be served.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct RetryScheduler {
    open: f64,
    at: Instant,
}

impl TokenBucket {
    pub(crate) const fn new(now: Instant, rate: f64, burst: f64, tokens: f64) -> Self {
        Self {
            rate,
            burst,
            tokens,
            at: now,
        }
    }

    pub(crate) fn take(&mut self, now: Instant) -> bool {
        self.refill(now);
        let there = self.tokens >= 1.0;
        if there {
            self.tokens -= 1.0;
        }
        there
    }

    /// Takes a token for which the [`wait`](Self::wait) was over, which rounds to whole nanoseconds.
    pub(crate) fn spend(&mut self, now: Instant) {
        self.refill(now);
        self.tokens -= 1.0;
    }

    /// Returns the tokens that flow in within a second.
    pub(crate) const fn rate(&self) -> f64 {
        self.rate
    }

    /// Returns the tokens that are there.
    pub(crate) fn tokens(&mut self, now: Instant) -> f64 {
        self.refill(now);
        self.tokens
    }

    /// Returns how long to wait for a token that is taken after `ahead` others; the rate is above 0.
    pub(crate) fn wait(mut self, now: Instant, ahead: usize) -> Duration {
        let missing = ahead as f64 + 1.0 - self.tokens(now);
        let secs = missing.max(0.0) / self.rate;
        Duration::try_from_secs_f64(secs).unwrap_or(Duration::MAX)
    }

    pub(crate) const fn add(&mut self, tokens: f64) {
        self.tokens = (self.tokens + tokens).min(self.burst);
    }

    fn refill(&mut self, now: Instant) {
        let gone = now.since(self.at).as_secs_f64();
        self.at = self.at.max(now);
        self.add(gone * self.rate);
    }
}

impl RateShare {
    /// Creates a share without a limit.
    #[must_use]
    pub const fn new(now: Instant) -> Self {
        Self {
            bucket: None,
            promises: RetryScheduler::new(now),
        }
    }

    /// Splits `rate` requests a second over `guards`; rate 0 lifts the limit.
    #[must_use]
    pub fn with_rate(mut self, now: Instant, rate: u32, guards: usize) -> Self {
        self.split(now, rate, guards);
        self
    }

    /// Splits the rate anew after the table or the membership changed.
    ///
    /// Saved tokens are kept up to what the new share may save.
    pub fn split(&mut self, now: Instant, rate: u32, guards: usize) {
        let share = f64::from(rate) / guards.max(1) as f64;
        let burst = (share * BURST_SECS).max(1.0);
        let mut old = self
            .bucket
            .unwrap_or(TokenBucket::new(now, share, burst, 1.0));
        old.refill(now);
        let new = TokenBucket::new(now, share, burst, old.tokens.min(burst));
        self.bucket = (rate > 0).then_some(new);
    }

    /// Takes one token.
    ///
    /// # Errors
    ///
    /// [`Reason::RateLimited`] with the time at which a token is there for this
    /// caller and for all those refused before it.
    pub fn take<R: Rng + ?Sized>(&mut self, now: Instant, rng: &mut R) -> Result<(), Refusal> {
        let Some(bucket) = &mut self.bucket else {
            return Ok(());
        };
        if bucket.take(now) {
            return Ok(());
        }
        let after = self.promises.next(now, Duration::ZERO, bucket.rate, rng);
        Err(Refusal::new(Reason::RateLimited).with_retry(after))
    }
}

impl RetryScheduler {
    pub(crate) const fn new(now: Instant) -> Self {
        Self { open: 0.0, at: now }
    }

    /// Returns when to come back: after `wait`, behind those refused before, at `rate` a second.
    pub(crate) fn next<R: Rng + ?Sized>(
        &mut self,
        now: Instant,
        wait: Duration,
        rate: f64,
        rng: &mut R,
    ) -> Duration {
        let longest = MAX_RETRY_DELAY.as_secs_f64();
        let rate = rate.max(1.0 / longest);
        let gone = now.since(self.at).as_secs_f64();
        self.at = self.at.max(now);
        self.open = (self.open - gone * rate).max(0.0) + 1.0;
        let jitter = 1.0 + JITTER * rng.random::<f64>();
        let secs = (wait.as_secs_f64() + self.open / rate) * jitter;
        // Beyond the longest time the order is lost, and only the spread helps.
        let capped = longest * (0.5 + 0.5 * rng.random::<f64>());
        self.open = self.open.min(longest * rate);
        Duration::from_secs_f64(if secs < longest { secs } else { capped })
    }
}

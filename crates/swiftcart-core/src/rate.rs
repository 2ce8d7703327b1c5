//! Rate limits: the token bucket, and a guard's share of its service's rate limit.

use std::time::Duration;

use rand::Rng;

use crate::{Instant, Reason, Refusal};

/// Time over which an unused share accumulates, in seconds.
const BURST_SECS: f64 = 0.2;

/// Maximum retry delay sent to a refused caller.
pub const MAX_RETRY_DELAY: Duration = Duration::from_secs(30);

/// Maximum relative jitter added to the retry delays of refused callers.
const JITTER: f64 = 0.25;

/// Token bucket that refills at a constant rate.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct TokenBucket {
    rate: f64,
    burst: f64,
    tokens: f64,
    updated: Instant,
}

/// Share of one guard in the rate limit of a service.
///
/// Every guard derives its share `rate / guards` from the membership alone, so calls need no
/// messages between guards. The sum over all guards keeps the limit while they agree on the number
/// of guards. During a membership change, guards that do not know a new guard yet keep their larger
/// share. With `n` guards before and `m > n` after the change, the sum stays below `rate * (1 + (m
/// - n) / n)` until all guards know the change.
///
/// Uneven arrivals reduce the throughput: a guard that receives more than its share refuses
/// requests although other guards have tokens left. The service admits the sum of `min(arrivals,
/// rate / guards)`. A refused call does not run, so its ingress may try one other guard. Each guard
/// starts with one token and saves at most 0.2 s of its share, but at least one token. A rate below
/// the number of guards therefore admits up to one request per guard at once.
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
    retry_scheduler: RetryScheduler,
}

/// Scheduler that staggers the retry delays of refused callers, so that each caller gets a later
/// time.
///
/// The scheduler counts the callers expected to retry. The count decreases at the rate at which
/// retries can be served.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct RetryScheduler {
    pending: f64,
    updated: Instant,
}

impl TokenBucket {
    pub(crate) const fn new(now: Instant, rate: f64, burst: f64, tokens: f64) -> Self {
        Self {
            rate,
            burst,
            tokens,
            updated: now,
        }
    }

    pub(crate) fn take(&mut self, now: Instant) -> bool {
        self.refill(now);
        let available = self.tokens >= 1.0;
        if available {
            self.tokens -= 1.0;
        }
        available
    }

    /// Takes a token after [`wait`](Self::wait) has elapsed. The balance may become slightly
    /// negative, because the wait is rounded to whole nanoseconds.
    pub(crate) fn spend(&mut self, now: Instant) {
        self.refill(now);
        self.tokens -= 1.0;
    }

    /// Returns the refill rate, in tokens per second.
    pub(crate) const fn rate(&self) -> f64 {
        self.rate
    }

    /// Returns the number of available tokens.
    pub(crate) fn tokens(&mut self, now: Instant) -> f64 {
        self.refill(now);
        self.tokens
    }

    /// Returns the time until a token is available behind `ahead` other takers. The rate must be
    /// positive.
    pub(crate) fn wait(mut self, now: Instant, ahead: usize) -> Duration {
        let missing = ahead as f64 + 1.0 - self.tokens(now);
        let secs = missing.max(0.0) / self.rate;
        Duration::try_from_secs_f64(secs).unwrap_or(Duration::MAX)
    }

    pub(crate) const fn add(&mut self, tokens: f64) {
        self.tokens = (self.tokens + tokens).min(self.burst);
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.since(self.updated).as_secs_f64();
        self.updated = self.updated.max(now);
        self.add(elapsed * self.rate);
    }
}

impl RateShare {
    /// Creates a share without a limit.
    #[must_use]
    pub const fn new(now: Instant) -> Self {
        Self {
            bucket: None,
            retry_scheduler: RetryScheduler::new(now),
        }
    }

    /// Sets the share of `rate` requests per second split over `guards`. A rate of 0 removes the
    /// limit.
    #[must_use]
    pub fn with_rate(mut self, now: Instant, rate: u32, guards: usize) -> Self {
        self.split(now, rate, guards);
        self
    }

    /// Splits the rate again after a change of the table or the membership.
    ///
    /// Saved tokens are kept up to the burst of the new share.
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
    /// Returns [`Reason::RateLimited`] with the time after which tokens are available for this
    /// caller and for all callers refused before.
    pub fn take<R: Rng + ?Sized>(&mut self, now: Instant, rng: &mut R) -> Result<(), Refusal> {
        let Some(bucket) = &mut self.bucket else {
            return Ok(());
        };
        if bucket.take(now) {
            return Ok(());
        }
        let retry_after = self
            .retry_scheduler
            .next(now, Duration::ZERO, bucket.rate, rng);
        Err(Refusal::new(Reason::RateLimited).with_retry(retry_after))
    }
}

impl RetryScheduler {
    pub(crate) const fn new(now: Instant) -> Self {
        Self {
            pending: 0.0,
            updated: now,
        }
    }

    /// Returns the retry delay: `wait`, plus the time to serve the callers refused before at `rate`
    /// requests per second, plus jitter.
    pub(crate) fn next<R: Rng + ?Sized>(
        &mut self,
        now: Instant,
        wait: Duration,
        rate: f64,
        rng: &mut R,
    ) -> Duration {
        let max_delay = MAX_RETRY_DELAY.as_secs_f64();
        let rate = rate.max(1.0 / max_delay);
        let elapsed = now.since(self.updated).as_secs_f64();
        self.updated = self.updated.max(now);
        self.pending = (self.pending - elapsed * rate).max(0.0) + 1.0;
        let jitter = 1.0 + JITTER * rng.random::<f64>();
        let secs = (wait.as_secs_f64() + self.pending / rate) * jitter;
        // Delays beyond the maximum cannot keep the callers in order. They are replaced by random
        // ones between half of the maximum and the maximum.
        let capped = max_delay * (0.5 + 0.5 * rng.random::<f64>());
        self.pending = self.pending.min(max_delay * rate);
        Duration::from_secs_f64(if secs < max_delay { secs } else { capped })
    }
}

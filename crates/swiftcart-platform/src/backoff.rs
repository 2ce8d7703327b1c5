//! Exponential backoff between failed reads.

use std::time::Duration;

use rand::Rng;

use crate::PlatformError;

/// Delay after the first failure, before jitter. Each further failure doubles the delay.
const INITIAL_DELAY: Duration = Duration::from_millis(500);
/// Default upper bound of the delay, before jitter.
const MAX_DELAY: Duration = Duration::from_secs(4);

/// Exponential backoff with jitter.
///
/// The delay doubles with each consecutive failure. Jitter keeps readers from retrying all at the
/// same time.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use rand::{SeedableRng, rngs::SmallRng};
/// use swiftcart_platform::{Backoff, PlatformError};
///
/// let mut backoff = Backoff::new();
/// let mut rng = SmallRng::seed_from_u64(1);
/// let requested = Some(Duration::from_secs(9));
/// let outage = PlatformError::Outage { retry_after: requested };
/// assert_eq!(backoff.failed(&outage, &mut rng), Duration::from_secs(9));
/// assert!(backoff.failed(&PlatformError::Connect, &mut rng) <= Duration::from_secs(1));
///
/// let mut bounded = Backoff::new().with_limit(Duration::from_secs(2));
/// assert_eq!(bounded.failed(&outage, &mut rng), Duration::from_secs(2));
/// ```
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Backoff {
    failures: u32,
    limit: Option<Duration>,
}

impl Backoff {
    /// Creates a backoff without failures.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            failures: 0,
            limit: None,
        }
    }

    /// Sets the longest delay, also where the platform asks for a longer one.
    ///
    /// For callers that have to notice the end of an outage within a known time.
    #[must_use]
    pub const fn with_limit(mut self, limit: Duration) -> Self {
        self.limit = Some(limit);
        self
    }

    /// Records a successful read and resets the delay.
    pub const fn succeeded(&mut self) {
        self.failures = 0;
    }

    /// Records a failed read and returns the delay before the next attempt.
    ///
    /// Without a [limit](Self::with_limit), the delay is never shorter than the one that the
    /// platform asks for.
    pub fn failed(&mut self, error: &PlatformError, rng: &mut impl Rng) -> Duration {
        let doubled = INITIAL_DELAY.saturating_mul(1 << self.failures.min(8));
        self.failures = self.failures.saturating_add(1);
        let delay = doubled.min(MAX_DELAY).mul_f64(rng.random_range(0.5..1.0));
        let delay = error.retry_after().unwrap_or_default().max(delay);
        self.limit.map_or(delay, |limit| delay.min(limit))
    }
}

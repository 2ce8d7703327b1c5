//! How long a reader waits after a read that failed.

use std::time::Duration;

use rand::Rng;

use crate::PlatformError;

/// The wait after the first failure, before jitter; each further failure doubles it.
const LEAST: Duration = Duration::from_millis(500);
/// The longest wait, before jitter.
const MOST: Duration = Duration::from_secs(4);

/// Doubles with each failure in a row, with jitter, so that readers do not come back as one.
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
/// let asked = Some(Duration::from_secs(9));
/// let outage = PlatformError::Outage { retry_after: asked };
/// assert_eq!(backoff.failed(&outage, &mut rng), Duration::from_secs(9));
/// assert!(backoff.failed(&PlatformError::Connect, &mut rng) <= Duration::from_secs(1));
/// ```
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Backoff {
    failures: u32,
}

impl Backoff {
    /// Creates the backoff of a reader that has not failed yet.
    #[must_use]
    pub const fn new() -> Self {
        Self { failures: 0 }
    }

    /// Notes a read that succeeded.
    pub const fn succeeded(&mut self) {
        self.failures = 0;
    }

    /// Notes a read that failed and returns how long to wait.
    ///
    /// It is never less than the platform asks for.
    pub fn failed(&mut self, error: &PlatformError, rng: &mut impl Rng) -> Duration {
        let doubled = LEAST.saturating_mul(1 << self.failures.min(8));
        self.failures = self.failures.saturating_add(1);
        let wait = doubled.min(MOST).mul_f64(rng.random_range(0.5..1.0));
        error.retry_after().unwrap_or_default().max(wait)
    }
}

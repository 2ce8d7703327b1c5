//! Retries of calls to the platform within the operator's time limit.

use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;
use tokio::time::{Instant, sleep};

const INITIAL_DELAY: Duration = Duration::from_millis(100);
const MAX_DELAY: Duration = Duration::from_secs(2);

/// Exponential backoff with jitter up to a deadline.
#[derive(Debug)]
pub struct Retry {
    deadline: Instant,
    delay: Duration,
    rng: SmallRng,
}

impl Retry {
    /// Creates a backoff whose deadline is `limit` from now.
    #[must_use]
    pub fn new(limit: Duration, rng: SmallRng) -> Self {
        Self {
            deadline: Instant::now() + limit,
            delay: INITIAL_DELAY,
            rng,
        }
    }

    /// Waits until the next attempt, for at least `min_delay`.
    ///
    /// Returns `false` without waiting if the deadline would pass first.
    pub async fn wait(&mut self, min_delay: Option<Duration>) -> bool {
        let jittered = self.delay.mul_f64(self.rng.random_range(0.5..1.0));
        let delay = jittered.max(min_delay.unwrap_or_default());
        self.delay = MAX_DELAY.min(self.delay * 2);
        match self.deadline.saturating_duration_since(Instant::now()) {
            left if left < delay => false,
            _ => {
                sleep(delay).await;
                true
            }
        }
    }
}

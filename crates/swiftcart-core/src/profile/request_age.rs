//! Estimation of a request's age from the time limit that its caller sets.

use std::time::Duration;

/// Number of different time limits that are counted at once. First attempts of a route use one or a
/// few time limits. The time limits of retries all differ and replace one another.
const MAX_COUNTS: usize = 8;

/// Number of requests after which all counts are halved, so that a change in the callers' time
/// limits takes effect after about as many requests.
const HALVING_INTERVAL: u32 = 256;

/// Minimum count of a time limit before it is attributed to first attempts. Two retries with the
/// same millisecond value among a few hundred are common, eight are not.
const MIN_COUNT: u32 = 8;

/// Divisor of the highest count. A time limit with at least the resulting count is also attributed
/// to first attempts.
///
/// The divisor allows for callers of one route with different time limits. It excludes retries
/// after refusals with a fixed retry delay, whose time limits cluster within a few milliseconds.
const FIRST_ATTEMPT_DIVISOR: u32 = 3;

/// Estimator for the time since the first attempt of a request.
///
/// A caller that retries sends only the remaining time and does not mark the request as a retry.
/// First attempts all have the same time limit, while retries have what is left of it. The most
/// frequent time limit is therefore the one of first attempts, and the age of a request is its
/// difference to that limit.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use swiftcart_core::RequestAgeEstimator;
///
/// let ms = Duration::from_millis;
/// let mut estimator = RequestAgeEstimator::default();
/// assert_eq!(estimator.age(ms(700)), ms(0), "nothing is known yet");
/// for _ in 0..8 {
///     estimator.age(ms(1_200));
/// }
/// assert_eq!(estimator.age(ms(900)), ms(300));
/// assert_eq!(estimator.age(ms(1_200)), ms(0));
/// assert_eq!(estimator.age(ms(5_000)), ms(0), "a longer time limit than usual");
/// ```
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct RequestAgeEstimator {
    counts: Vec<TimeLimitCount>,
    recorded: u32,
}

/// Number of requests with one time limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct TimeLimitCount {
    /// Time limit in milliseconds.
    ms: u64,
    requests: u32,
}

impl RequestAgeEstimator {
    /// Records the time limit of a request and returns the estimated time since its first attempt,
    /// or zero while the usual time limit is not known.
    pub fn age(&mut self, time_limit: Duration) -> Duration {
        let ms = u64::try_from(time_limit.as_millis()).unwrap_or(u64::MAX);
        self.count(ms);
        let Some(most_frequent) = self.most_frequent() else {
            return Duration::ZERO;
        };
        let current = self.counts.iter().find(|count| count.ms == ms);
        let first = current
            .is_some_and(|count| count.requests * FIRST_ATTEMPT_DIVISOR >= most_frequent.requests);
        match first {
            true => Duration::ZERO,
            false => Duration::from_millis(most_frequent.ms.saturating_sub(ms)),
        }
    }

    /// Returns the most frequent time limit once it has been seen often enough.
    fn most_frequent(&self) -> Option<TimeLimitCount> {
        let highest = self.counts.iter().max_by_key(|count| count.requests)?;
        (highest.requests >= MIN_COUNT).then_some(*highest)
    }

    fn count(&mut self, ms: u64) {
        self.recorded += 1;
        if self.recorded >= HALVING_INTERVAL {
            self.recorded = 0;
            self.counts.iter_mut().for_each(|count| count.requests /= 2);
        }
        let new = TimeLimitCount { ms, requests: 1 };
        let room = self.counts.len() < MAX_COUNTS;
        match self.counts.iter_mut().find(|count| count.ms == ms) {
            Some(count) => count.requests += 1,
            None if room => self.counts.push(new),
            // The rarest time limit is replaced. The new one does not inherit its count, so that
            // time limits that occur only once do not add up.
            None => {
                if let Some(rarest) = self.counts.iter_mut().min_by_key(|count| count.requests) {
                    match rarest.requests {
                        0 | 1 => *rarest = new,
                        _ => rarest.requests -= 1,
                    }
                }
            }
        }
    }
}

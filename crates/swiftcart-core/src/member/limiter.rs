//! Admission control for state pulls, so that many nodes starting at once cannot overload a node.

use std::time::Duration;

use crate::Instant;

/// Maximum time after which a rejected node is told to retry.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(10);

/// Admission decision for a state pull.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum SyncAdmission {
    /// The pull is admitted; call [`SyncLimiter::done`] when it ends.
    Serve,
    /// The pull is rejected, since the node is busy.
    Busy {
        /// Time after which the requesting node should retry.
        retry_after: Duration,
    },
}

/// Limiter for state pulls, by concurrency and by rate per second.
///
/// # Examples
///
/// ```
/// use swiftcart_core::{SyncAdmission, Instant, SyncLimiter};
///
/// let mut limiter = SyncLimiter::new(1, 100);
/// let now = Instant::default();
/// assert_eq!(limiter.admit(now), SyncAdmission::Serve);
/// assert!(matches!(limiter.admit(now), SyncAdmission::Busy { .. }));
/// limiter.done();
/// assert_eq!(limiter.admit(now), SyncAdmission::Serve);
/// ```
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SyncLimiter {
    max_concurrent: u32,
    /// Pulls admitted per second.
    max_rate: u32,
    in_flight: u32,
    /// Pulls admitted in the current window of one second.
    admitted: u32,
    /// Pulls rejected in the current window.
    rejected: u32,
    window_start: Instant,
}

impl SyncLimiter {
    /// Creates a limiter for `max_concurrent` pulls at once and `max_rate` pulls per second.
    ///
    /// Both limits are raised to at least one.
    #[must_use]
    pub fn new(max_concurrent: u32, max_rate: u32) -> Self {
        Self {
            max_concurrent: max_concurrent.max(1),
            max_rate: max_rate.max(1),
            in_flight: 0,
            admitted: 0,
            rejected: 0,
            window_start: Instant::default(),
        }
    }

    /// Admits or rejects one pull.
    ///
    /// The retry time grows with the number of rejected pulls, which spreads the retries of many
    /// nodes.
    pub fn admit(&mut self, now: Instant) -> SyncAdmission {
        if now.since(self.window_start) >= Duration::from_secs(1) {
            self.window_start = now;
            self.admitted = 0;
            self.rejected = 0;
        }
        match self.in_flight < self.max_concurrent && self.admitted < self.max_rate {
            true => {
                self.in_flight += 1;
                self.admitted += 1;
                SyncAdmission::Serve
            }
            false => {
                self.rejected = self.rejected.saturating_add(1);
                SyncAdmission::Busy {
                    retry_after: self.retry_after(),
                }
            }
        }
    }

    /// Releases one admitted pull.
    pub const fn done(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    fn retry_after(&self) -> Duration {
        let interval = Duration::from_secs(1) / self.max_rate;
        interval
            .saturating_mul(self.max_rate.saturating_add(self.rejected))
            .min(MAX_RETRY_AFTER)
    }
}

//! The process's monotonic clock, as the core's machines see it.

use std::time::Duration;

use swiftcart_core::Instant;

use crate::logging::unix_ms;

/// Counts time from the start of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Clock {
    start: tokio::time::Instant,
}

impl Clock {
    /// Creates a clock that starts now.
    #[must_use]
    pub fn new() -> Self {
        Self {
            start: tokio::time::Instant::now(),
        }
    }

    /// Returns the current instant.
    #[must_use]
    pub fn now(&self) -> Instant {
        Instant::new(self.start.elapsed())
    }

    /// Returns `instant` on the runtime's clock.
    #[must_use]
    pub fn tokio(&self, instant: Instant) -> tokio::time::Instant {
        self.start + instant.elapsed()
    }

    /// Returns `instant` in milliseconds since 1970, by the wall clock of now.
    #[must_use]
    pub fn unix_ms(&self, instant: Instant) -> u64 {
        let left: Duration = instant.since(self.now());
        let left = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
        unix_ms().saturating_add(left)
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}

//! The process's clock, as the core's machines see it.

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};
use swiftcart_core::Instant;

use crate::logging::unix_ms;

/// Counts time from the start of the process, also while the instance is suspended.
///
/// The kernel's monotonic clock, by which the runtime's timers run, stands still in a suspend. What a
/// caller has left, the age of a claim and the silence of other nodes go on, and a process that
/// was away for seconds has to notice it. Deadlines are therefore kept on this clock, and given to
/// timers as the time from now on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Clock {
    start: Duration,
}

impl Clock {
    /// Creates a clock that starts now.
    #[must_use]
    pub fn new() -> Self {
        Self { start: booted() }
    }

    /// Returns the current instant.
    #[must_use]
    pub fn now(&self) -> Instant {
        Instant::new(booted().saturating_sub(self.start))
    }

    /// Returns `instant` on the runtime's clock; now, where it lies in the past.
    #[must_use]
    pub fn tokio(&self, instant: Instant) -> tokio::time::Instant {
        tokio::time::Instant::now() + instant.since(self.now())
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

/// Returns the time since the instance was started, with the time in which it was suspended.
fn booted() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let secs = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanos = u32::try_from(time.tv_nsec).unwrap_or(0);
    Duration::new(secs, nanos)
}

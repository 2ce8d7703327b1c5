//! Monotonic clock of the process, which supplies the time to the state machines of the core.

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};
use swiftcart_core::Instant;

use crate::logging::unix_ms;

/// Clock that counts the time since its creation, including time in which the instance is
/// suspended.
///
/// The timers of the runtime use the kernel's monotonic clock, which stops while the instance is
/// suspended. Deadlines of callers, the age of claims and the time since other nodes were last
/// heard continue to count, and a process that was suspended for seconds has to notice it.
/// Deadlines are therefore kept on this clock, and timers get the time that remains until the
/// deadline.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Clock {
    start: Duration,
}

impl Clock {
    /// Creates a clock that starts at zero.
    #[must_use]
    pub fn new() -> Self {
        Self {
            start: time_since_boot(),
        }
    }

    /// Returns the current instant.
    #[must_use]
    pub fn now(&self) -> Instant {
        Instant::new(time_since_boot().saturating_sub(self.start))
    }

    /// Converts `instant` to the clock of the runtime.
    ///
    /// Returns the current time if `instant` lies in the past.
    #[must_use]
    pub fn tokio(&self, instant: Instant) -> tokio::time::Instant {
        tokio::time::Instant::now() + instant.since(self.now())
    }

    /// Converts `instant` to Unix milliseconds, based on the current wall-clock time.
    ///
    /// Returns the current wall-clock time if `instant` lies in the past.
    #[must_use]
    pub fn unix_ms(&self, instant: Instant) -> u64 {
        let remaining: Duration = instant.since(self.now());
        let remaining = u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX);
        unix_ms().saturating_add(remaining)
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}

/// Returns the time since the instance booted, including time in which it was suspended.
fn time_since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let secs = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanos = u32::try_from(time.tv_nsec).unwrap_or(0);
    Duration::new(secs, nanos)
}

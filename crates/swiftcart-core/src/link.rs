//! Egress link of an instance, and the data queued for it.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::Instant;

/// Number of bytes per kilobit.
const BYTES_PER_KBIT: f64 = 125.0;

/// Rate of an instance's egress link.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct LinkRate {
    /// Rate in kilobits per second. A rate of 0 counts as 1.
    pub kbit_s: u32,
}

/// Model of an instance's egress link, which tracks the queueing delay.
///
/// A process cannot observe the queue of a link, since written data is buffered long before the
/// link sends it. The model computes the delay from the known rate and the bytes written.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use swiftcart_core::{Instant, Link, LinkRate};
///
/// let mut link = Link::new(LinkRate { kbit_s: 8_000 });
/// link.sent(Instant::from_millis(0), 50_000);
/// assert_eq!(link.delay(Instant::from_millis(0)), Duration::from_millis(50));
/// assert_eq!(link.delay(Instant::from_millis(30)), Duration::from_millis(20));
/// assert_eq!(link.delay(Instant::from_millis(90)), Duration::ZERO);
/// ```
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Link {
    rate: LinkRate,
    /// Time at which the link has sent everything written so far.
    idle_at: Instant,
}

impl LinkRate {
    /// Returns the time to send `bytes`.
    #[must_use]
    pub fn time(self, bytes: f64) -> Duration {
        let secs = bytes / (f64::from(self.kbit_s.max(1)) * BYTES_PER_KBIT);
        Duration::try_from_secs_f64(secs).unwrap_or(Duration::MAX)
    }
}

impl Link {
    /// Creates a link with an empty queue.
    #[must_use]
    pub const fn new(rate: LinkRate) -> Self {
        Self {
            rate,
            idle_at: Instant::from_millis(0),
        }
    }

    /// Records `bytes` that are written to the link now.
    pub fn sent(&mut self, now: Instant, bytes: u64) {
        self.idle_at = self.idle_at.max(now) + self.rate.time(bytes as f64);
    }

    /// Returns the time until the link has sent everything written so far.
    #[must_use]
    pub fn delay(&self, now: Instant) -> Duration {
        self.idle_at.since(now)
    }
}

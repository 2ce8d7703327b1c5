//! Time types for the state machines, which take the current time as an argument.

use std::ops::Add;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Point in time on the monotonic clock of a process, counted from an arbitrary start.
///
/// Values of two processes are not comparable.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use swiftcart_core::Instant;
///
/// let t = Instant::from_millis(5) + Duration::from_millis(10);
/// assert_eq!(t.since(Instant::from_millis(5)), Duration::from_millis(10));
/// ```
#[derive(
    Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Instant(Duration);

impl Instant {
    /// Creates the instant that lies `elapsed` after the clock's start.
    #[must_use]
    pub const fn new(elapsed: Duration) -> Self {
        Self(elapsed)
    }

    /// Creates the instant that lies `ms` milliseconds after the clock's start.
    #[must_use]
    pub const fn from_millis(ms: u64) -> Self {
        Self(Duration::from_millis(ms))
    }

    /// Returns the time elapsed since `earlier`, or zero if `earlier` is later than this point.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }

    /// Returns the offset from the clock's start.
    #[must_use]
    pub const fn elapsed(self) -> Duration {
        self.0
    }
}

impl Add<Duration> for Instant {
    type Output = Self;

    fn add(self, rhs: Duration) -> Self {
        Self(self.0.saturating_add(rhs))
    }
}

/// Point in time on the platform's clock, in Unix milliseconds.
///
/// The platform stamps each record with its time. The time never decreases along a stream, and is
/// never compared with a node's clock.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use swiftcart_core::PlatformTime;
///
/// let at = PlatformTime(5_000) + Duration::from_secs(1);
/// assert_eq!(at.before(Duration::from_secs(2)), PlatformTime(4_000));
/// ```
#[derive(
    Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct PlatformTime(pub u64);

impl PlatformTime {
    /// Returns the point `d` before this one, but not before the Unix epoch.
    #[must_use]
    pub const fn before(self, d: Duration) -> Self {
        Self(self.0.saturating_sub(millis(d)))
    }

    /// Returns the time elapsed since `earlier`, or zero if `earlier` is later than this point.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for PlatformTime {
    type Output = Self;

    fn add(self, rhs: Duration) -> Self {
        Self(self.0.saturating_add(millis(rhs)))
    }
}

/// Returns whole milliseconds, limited to `u64::MAX`, which no configured duration reaches.
const fn millis(d: Duration) -> u64 {
    let ms = d.as_millis();
    if ms > u64::MAX as u128 {
        u64::MAX
    } else {
        ms as u64
    }
}

//! The time by which a caller needs its answer.

use std::num::ParseIntError;
use std::time::Duration;

use quick_error::quick_error;

use crate::Instant;

/// The time that one level keeps for itself: the way there and back between two
/// failure domains (3 ms) and the handling.
pub const HOP_ALLOWANCE: Duration = Duration::from_millis(5);

quick_error! {
    /// Says what is wrong with a deadline that a caller sent.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum DeadlineError {
        /// The text is no count of milliseconds.
        Malformed(err: ParseIntError) {
            display("Swiftcart-Deadline-Ms: {err}; send the time left in whole milliseconds")
            source(err)
        }
    }
}

/// Holds the instant by which an answer is due, on this process's clock.
///
/// Between processes only the time left travels, since clocks differ.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use swiftcart_core::{Deadline, HOP_ALLOWANCE, Instant};
///
/// let now = Instant::from_millis(10_000);
/// let due = Deadline::parse(now, "250", Duration::from_secs(60))?;
/// assert_eq!(due.left(now), Duration::from_millis(250));
/// assert_eq!(due.minus(HOP_ALLOWANCE).left_ms(now), Some(245));
/// # Ok::<(), swiftcart_core::DeadlineError>(())
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Deadline(Instant);

impl Deadline {
    /// Creates the deadline that ends `time` after `now`.
    #[must_use]
    pub fn new(now: Instant, time: Duration) -> Self {
        Self(now + time)
    }

    /// Creates the deadline that ends at `instant`.
    #[must_use]
    pub const fn at_instant(instant: Instant) -> Self {
        Self(instant)
    }

    /// Reads the time left in milliseconds, cut down to `longest`.
    ///
    /// # Errors
    ///
    /// [`DeadlineError::Malformed`] when `text` is no whole number.
    pub fn parse(now: Instant, text: &str, longest: Duration) -> Result<Self, DeadlineError> {
        let ms = text.trim().parse().map_err(DeadlineError::Malformed)?;
        Ok(Self::new(now, Duration::from_millis(ms).min(longest)))
    }

    /// Brings the deadline forward to `time` after `now` when it lies behind that.
    #[must_use]
    pub fn within(self, now: Instant, time: Duration) -> Self {
        self.min(Self::new(now, time))
    }

    /// Brings the deadline forward by the time that this level keeps for itself.
    #[must_use]
    pub const fn minus(self, allowance: Duration) -> Self {
        Self(Instant::new(self.0.elapsed().saturating_sub(allowance)))
    }

    /// Returns the instant at which the time is over.
    #[must_use]
    pub const fn at(self) -> Instant {
        self.0
    }

    /// Returns the time left, zero when it is over.
    #[must_use]
    pub const fn left(self, now: Instant) -> Duration {
        self.0.since(now)
    }

    /// Returns the time left in whole milliseconds for the next level, or `None` when it is over.
    #[must_use]
    pub fn left_ms(self, now: Instant) -> Option<u64> {
        match self.left(now).as_millis() {
            0 => None,
            ms => Some(u64::try_from(ms).unwrap_or(u64::MAX)),
        }
    }

    /// Tells whether less than `needed` is left.
    #[must_use]
    pub fn misses(self, now: Instant, needed: Duration) -> bool {
        self.0 <= now || self.left(now) < needed
    }
}

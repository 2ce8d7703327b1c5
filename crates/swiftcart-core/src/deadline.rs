//! Deadline by which a caller needs its answer.

use std::num::ParseIntError;
use std::time::Duration;

use quick_error::quick_error;

use crate::Instant;

/// Time that each hop reserves: the round trip between two failure domains (3 ms) and the
/// processing.
pub const HOP_ALLOWANCE: Duration = Duration::from_millis(5);

/// Time after its deadline within which a response is ended that has not been passed on.
///
/// A caller is to see an end within 500 ms of its route's timeout.
pub const DELIVERY_TIME: Duration = Duration::from_millis(250);

/// Time that a response which is in memory as a whole has to be passed on, also after its deadline.
pub const SEND_TIME: Duration = Duration::from_secs(1);

quick_error! {
    /// Error of a deadline that a caller sent.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum DeadlineError {
        /// The text is not a whole number of milliseconds.
        Malformed(err: ParseIntError) {
            display("Swiftcart-Deadline-Ms: {err}; send the time left in whole milliseconds")
            source(err)
        }
    }
}

/// Instant by which an answer is due, on this process's clock.
///
/// Nodes send each other only the remaining time, because their clocks differ.
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
    /// Creates the deadline that lies `time` after `now`.
    #[must_use]
    pub fn new(now: Instant, time: Duration) -> Self {
        Self(now + time)
    }

    /// Creates the deadline at `instant`.
    #[must_use]
    pub const fn at_instant(instant: Instant) -> Self {
        Self(instant)
    }

    /// Parses the remaining time in milliseconds and limits it to `longest`.
    ///
    /// # Errors
    ///
    /// Returns [`DeadlineError::Malformed`] if `text` is not a whole number.
    pub fn parse(now: Instant, text: &str, longest: Duration) -> Result<Self, DeadlineError> {
        let ms = text.trim().parse().map_err(DeadlineError::Malformed)?;
        Ok(Self::new(now, Duration::from_millis(ms).min(longest)))
    }

    /// Returns the earlier of this deadline and `time` after `now`.
    #[must_use]
    pub fn within(self, now: Instant, time: Duration) -> Self {
        self.min(Self::new(now, time))
    }

    /// Returns a deadline that is `allowance` earlier.
    #[must_use]
    pub const fn minus(self, allowance: Duration) -> Self {
        Self(Instant::new(self.0.elapsed().saturating_sub(allowance)))
    }

    /// Returns the instant of the deadline.
    #[must_use]
    pub const fn at(self) -> Instant {
        self.0
    }

    /// Returns the time by which a response has been passed on or is ended.
    ///
    /// A response is complete if it is in memory as a whole. It is passed on also when it is late.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use swiftcart_core::{DELIVERY_TIME, Deadline, Instant, SEND_TIME};
    ///
    /// let now = Instant::from_millis(10_000);
    /// let due = Deadline::new(now, Duration::from_millis(10));
    /// assert_eq!(due.response_end(now, false), due.at() + DELIVERY_TIME);
    /// assert_eq!(due.response_end(now, true), now + SEND_TIME);
    /// ```
    #[must_use]
    pub fn response_end(self, now: Instant, is_complete: bool) -> Instant {
        match is_complete {
            true => self.0.max(now + SEND_TIME),
            false => self.0 + DELIVERY_TIME,
        }
    }

    /// Returns the remaining time, or zero after the deadline.
    #[must_use]
    pub const fn left(self, now: Instant) -> Duration {
        self.0.since(now)
    }

    /// Returns the remaining time for the next hop in whole milliseconds, or `None` if less than 1
    /// ms remains.
    #[must_use]
    pub fn left_ms(self, now: Instant) -> Option<u64> {
        match self.left(now).as_millis() {
            0 => None,
            ms => Some(u64::try_from(ms).unwrap_or(u64::MAX)),
        }
    }

    /// Returns `true` if the deadline has passed or less than `needed` remains.
    #[must_use]
    pub fn misses(self, now: Instant, needed: Duration) -> bool {
        self.0 <= now || self.left(now) < needed
    }
}

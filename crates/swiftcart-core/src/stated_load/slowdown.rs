//! Momentary slowdown of a backend server.

use std::time::Duration;

/// Time constant by which a slowdown is believed less with its age: after this time, its excess
/// over the usual service time counts 1/e. It is half of the time for which a shared host is
/// typically slow.
const DECAY_SECS: f64 = 0.3;

/// Age from which a slowdown is not believed at all.
const MAX_AGE_SECS: f64 = 1.0;

/// Current service time of a backend server as a multiple of its usual one, in percent.
///
/// The backend server's host is shared, so its speed changes within moments. The usual pace
/// multiplied by the slowdown is the pace of such a moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Slowdown(pub u32);

impl Slowdown {
    /// Returns the current service time as a multiple of the usual one.
    ///
    /// # Examples
    ///
    /// ```
    /// assert_eq!(swiftcart_core::Slowdown(250).factor(), 2.5);
    /// ```
    #[must_use]
    pub fn factor(self) -> f64 {
        f64::from(self.0) / 100.0
    }

    /// Returns the slowdown with this factor, rounded to whole percent.
    #[must_use]
    pub fn from_factor(factor: f64) -> Self {
        Self((factor * 100.0).round().clamp(1.0, f64::from(u32::MAX)) as u32)
    }

    /// Returns the factor that is still believed when the slowdown has this age.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use swiftcart_core::Slowdown;
    ///
    /// let slowdown = Slowdown(250);
    /// assert_eq!(slowdown.believed_factor(Duration::ZERO), 2.5);
    /// assert!(slowdown.believed_factor(Duration::from_millis(300)) < 1.6);
    /// assert_eq!(slowdown.believed_factor(Duration::from_secs(1)), 1.0);
    /// ```
    #[must_use]
    pub fn believed_factor(self, age: Duration) -> f64 {
        1.0 + believed_excess(self.factor() - 1.0, age)
    }
}

/// Returns the part of `excess`, over a factor of 1, that is believed at this age.
pub(super) fn believed_excess(excess: f64, age: Duration) -> f64 {
    match age.as_secs_f64() {
        age if age < MAX_AGE_SECS => excess * (-age / DECAY_SECS).exp(),
        _ => 0.0,
    }
}

/// Returns the work that a backend server does in `elapsed` after it stated `excess`, in seconds of
/// usual service time.
///
/// The server works at the reciprocal of the believed factor, of which this is the integral.
pub(super) fn work_secs(excess: f64, elapsed: Duration) -> f64 {
    let secs = elapsed.as_secs_f64();
    let believed = secs.min(MAX_AGE_SECS);
    let growth = (believed / DECAY_SECS).exp();
    secs - believed + DECAY_SECS * ((growth + excess) / (1.0 + excess)).ln()
}

//! Settings of the at-most-once protocol.

use std::time::Duration;

use quick_error::quick_error;

/// Bounds and times of one partition's claims.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use swiftcart_core::ClaimSettings;
///
/// let settings = ClaimSettings::new(Duration::from_secs(86_400));
/// assert_eq!(settings.window, Duration::from_secs(43_200));
/// assert_eq!(settings.check(), Ok(()));
/// ```
#[derive(Debug, Clone, PartialEq)]
pub struct ClaimSettings {
    /// How long the platform surely keeps a record.
    pub retention: Duration,
    /// How long a claim blocks its key: a share of the retention.
    pub window: Duration,
    /// The most by which clocks may differ over one window.
    pub margin: Duration,
    /// How long a claim without an answer is reported as in progress.
    pub patience: Duration,
    /// Claim streams of each service.
    pub partitions: u16,
    /// Records' items that the ledger remembers: two for each key that was answered.
    pub marks: usize,
    /// Bytes of answers that the ledger remembers.
    pub bytes: usize,
    /// The largest answer that is kept for replay, in bytes.
    pub answer: usize,
    /// Items waiting to be appended, reserved places included.
    pub queue: usize,
    /// Items of one append.
    pub batch: usize,
    /// How long a claim waits for company before it is appended.
    pub linger: Duration,
    /// How long the end of an attempt waits for a claim to be appended with.
    ///
    /// Longer than `linger`: no caller waits for it, but a node that dies in the
    /// meantime leaves its answer unknown.
    pub linger_end: Duration,
    /// This partition's share of the platform's appends a second.
    ///
    /// With two services of 8 partitions, each claimed by one guard at a time, the default
    /// is 160 a second over all.
    pub rate: f64,
    /// The first delay after a failed append; doubled up to `backoff_max`.
    pub backoff: Duration,
    /// The longest delay after a failed append.
    pub backoff_max: Duration,
}

quick_error! {
    /// Names a setting that contradicts another.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum ClaimSettingsError {
        /// Records would expire before the claims in them.
        Retention {
            display("window + margin must be less than retention; shorten the window")
        }
        /// No claim could be started in time.
        Margin {
            display("margin must be less than half the window; lengthen the window")
        }
        /// A bound is zero, or so large that a batch exceeds a record.
        Bound(field: &'static str) {
            display("{field} is out of its range; see the settings' reference")
        }
    }
}

/// The most items of one append whose encoding surely fits a record.
const BATCH_MAX: usize = 512;
/// The largest answer whose encoding surely fits a record.
const ANSWER_MAX: usize = 96 * 1024;

impl ClaimSettings {
    /// Creates the defaults for a platform that keeps records for `retention`.
    #[must_use]
    pub fn new(retention: Duration) -> Self {
        Self {
            retention,
            window: retention / 2,
            margin: retention / 20,
            patience: Duration::from_secs(30),
            partitions: 8,
            marks: 1 << 16,
            bytes: 8 << 20,
            answer: 64 * 1024,
            queue: 4096,
            batch: 256,
            linger: Duration::from_millis(5),
            linger_end: Duration::from_millis(100),
            rate: 10.0,
            backoff: Duration::from_millis(100),
            backoff_max: Duration::from_secs(5),
        }
    }

    /// Sets the window and the margin.
    #[must_use]
    pub const fn with_window(mut self, window: Duration, margin: Duration) -> Self {
        self.window = window;
        self.margin = margin;
        self
    }

    /// Sets the number of items and the bytes of answers that a ledger remembers.
    #[must_use]
    pub const fn with_memory(mut self, marks: usize, bytes: usize) -> Self {
        self.marks = marks;
        self.bytes = bytes;
        self
    }

    /// Sets the rate of appends and the time that a claim waits for company.
    #[must_use]
    pub const fn with_rate(mut self, rate: f64, linger: Duration) -> Self {
        self.rate = rate;
        self.linger = linger;
        self
    }

    /// Checks the settings against each other.
    ///
    /// # Errors
    ///
    /// Returns the first setting that contradicts another.
    pub fn check(&self) -> Result<(), ClaimSettingsError> {
        use ClaimSettingsError::{Bound, Margin, Retention};
        match self {
            s if s.blocked() >= s.retention => Err(Retention),
            s if s.margin * 2 >= s.window => Err(Margin),
            s if s.partitions == 0 => Err(Bound("partitions")),
            s if s.marks < 16 => Err(Bound("marks")),
            s if s.answer > ANSWER_MAX => Err(Bound("answer")),
            s if s.batch == 0 || s.batch > BATCH_MAX => Err(Bound("batch")),
            s if s.queue < 2 => Err(Bound("queue")),
            s if !(s.rate > 0.0 && s.rate.is_finite()) => Err(Bound("rate")),
            s if s.backoff.is_zero() || s.backoff > s.backoff_max => Err(Bound("backoff")),
            _ => Ok(()),
        }
    }

    /// Returns how long a record blocks its key by the platform's time.
    #[must_use]
    pub fn blocked(&self) -> Duration {
        self.window + self.margin
    }

    /// Returns how long after sending a claim its holder may start.
    #[must_use]
    pub fn startable(&self) -> Duration {
        self.window.saturating_sub(self.margin)
    }
}

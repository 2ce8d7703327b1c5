//! Settings of the claim protocol.

use std::time::Duration;

use quick_error::quick_error;

/// Limits and timeouts for the claims of one partition.
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
    /// Minimum time for which the platform keeps a record.
    pub retention: Duration,
    /// Time for which callers may retry with the same key; by default a fraction of the retention.
    ///
    /// A claim blocks its key for window + margin.
    pub window: Duration,
    /// Maximum drift between clocks over one window.
    pub margin: Duration,
    /// Time after which a claim without an answer is reported as unknown, no longer as in progress.
    pub pending_timeout: Duration,
    /// Number of claim streams of each service.
    pub partitions: u16,
    /// Maximum number of key events that a ledger stores. An answered key takes two.
    pub marks: usize,
    /// Maximum total size in bytes of the answers that a ledger stores.
    pub answer_bytes: usize,
    /// Maximum size in bytes of the body of an answer that is stored for replay.
    pub answer: usize,
    /// Maximum number of items that wait for an append, including the slots that are reserved for
    /// claims that have not ended.
    pub queue: usize,
    /// Maximum number of items in an append.
    pub batch: usize,
    /// Time for which a claim waits for other items before it is appended.
    pub linger: Duration,
    /// Time for which the result of an attempt waits for other items before it is appended.
    ///
    /// This time is longer than `linger`, because no caller waits for the append. If the node
    /// crashes in the meantime, the answer stays unknown.
    pub result_linger: Duration,
    /// Maximum number of appends per second for this partition.
    ///
    /// With two services of 8 partitions each, and one guard at a time that claims in each
    /// partition, the default adds up to 160 appends per second.
    pub rate: f64,
    /// Delay after the first failed append; doubles with each failure up to `backoff_max`.
    pub backoff: Duration,
    /// Maximum delay after a failed append.
    pub backoff_max: Duration,
}

quick_error! {
    /// Inconsistent or invalid claim setting.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum ClaimSettingsError {
        /// Records would be deleted while their claims still block keys.
        Retention {
            display("window + margin must be less than retention; reduce the window")
        }
        /// The margin leaves too little time to start a claim.
        Margin {
            display("margin must be less than half the window; increase the window")
        }
        /// A limit is zero or otherwise invalid, or so large that a batch could exceed a record.
        Bound(field: &'static str) {
            display("{field} is out of range; see the settings reference")
        }
    }
}

/// Maximum number of items in an append, so that its encoding fits into a record.
const MAX_BATCH_ITEMS: usize = 512;
/// Maximum size of an answer in bytes, so that its encoding fits into a record.
const MAX_ANSWER_BYTES: usize = 96 * 1024;

impl ClaimSettings {
    /// Creates the default settings for a platform that keeps records for `retention`.
    #[must_use]
    pub fn new(retention: Duration) -> Self {
        Self {
            retention,
            window: retention / 2,
            margin: retention / 20,
            pending_timeout: Duration::from_secs(30),
            partitions: 8,
            marks: 1 << 16,
            answer_bytes: 8 << 20,
            answer: 64 * 1024,
            queue: 4096,
            batch: 256,
            linger: Duration::from_millis(5),
            result_linger: Duration::from_millis(100),
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

    /// Sets the maximum number of key events and the maximum bytes of answers in a ledger.
    #[must_use]
    pub const fn with_memory(mut self, marks: usize, answer_bytes: usize) -> Self {
        self.marks = marks;
        self.answer_bytes = answer_bytes;
        self
    }

    /// Sets the rate of appends and the time for which a claim waits for other items.
    #[must_use]
    pub const fn with_rate(mut self, rate: f64, linger: Duration) -> Self {
        self.rate = rate;
        self.linger = linger;
        self
    }

    /// Validates the settings.
    ///
    /// # Errors
    ///
    /// Returns the first invalid or inconsistent setting.
    pub fn check(&self) -> Result<(), ClaimSettingsError> {
        use ClaimSettingsError::{Bound, Margin, Retention};
        match self {
            s if s.blocking_period() >= s.retention => Err(Retention),
            s if s.margin * 2 >= s.window => Err(Margin),
            s if s.partitions == 0 => Err(Bound("partitions")),
            s if s.marks < 16 => Err(Bound("marks")),
            s if s.answer > MAX_ANSWER_BYTES => Err(Bound("answer")),
            s if s.batch == 0 || s.batch > MAX_BATCH_ITEMS => Err(Bound("batch")),
            s if s.queue < 2 => Err(Bound("queue")),
            s if !(s.rate > 0.0 && s.rate.is_finite()) => Err(Bound("rate")),
            s if s.backoff.is_zero() || s.backoff > s.backoff_max => Err(Bound("backoff")),
            _ => Ok(()),
        }
    }

    /// Returns the period of platform time for which a record blocks its key.
    #[must_use]
    pub fn blocking_period(&self) -> Duration {
        self.window + self.margin
    }

    /// Returns the period after sending a claim within which its attempt may start.
    #[must_use]
    pub fn start_window(&self) -> Duration {
        self.window.saturating_sub(self.margin)
    }
}

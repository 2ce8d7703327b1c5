//! Settings of a feed.

use std::time::Duration;

/// Limits and timeouts of a [`Feed`](crate::Feed).
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct FeedSettings {
    /// Maximum number of recent records kept for peers.
    pub ring_records: usize,
    /// Maximum total body size of the recent records kept for peers, in bytes.
    pub ring_bytes: usize,
    /// Body size at which an answer to a pull ends, in bytes. The last record may exceed it.
    pub reply_bytes: usize,
    /// Time for which the platform keeps a record.
    pub retention: Duration,
    /// Number of records after the last checkpoint that makes the next checkpoint due.
    pub checkpoint_records: u64,
    /// Time after which a checkpoint is appended again if it has not been read back from the log.
    pub checkpoint_retry: Duration,
    /// Time after which another pull may start although the previous pull is unanswered.
    pub pull_timeout: Duration,
}

impl FeedSettings {
    /// Creates the default settings for a log with this retention period.
    #[must_use]
    pub const fn new(retention: Duration) -> Self {
        Self {
            ring_records: 1024,
            ring_bytes: 1024 * 1024,
            reply_bytes: 256 * 1024,
            retention,
            checkpoint_records: 1000,
            checkpoint_retry: Duration::from_secs(30),
            pull_timeout: Duration::from_secs(2),
        }
    }

    /// Sets the maximum number and total body size of the recent records kept for peers.
    #[must_use]
    pub const fn with_ring(mut self, records: usize, bytes: usize) -> Self {
        self.ring_records = records;
        self.ring_bytes = bytes;
        self
    }

    /// Sets the number of records after which the next checkpoint is due.
    #[must_use]
    pub const fn with_checkpoint(mut self, records: u64) -> Self {
        self.checkpoint_records = records;
        self
    }

    /// Returns the number of records before the end of the log in which a reader scans for a
    /// checkpoint.
    ///
    /// The number is twice the checkpoint interval, so that the scan still finds a checkpoint
    /// if the next checkpoint is appended late.
    #[must_use]
    pub const fn lookback(&self) -> u64 {
        self.checkpoint_records.saturating_mul(2)
    }
}

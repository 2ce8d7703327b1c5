//! The settings of a feed.

use std::time::Duration;

/// Bounds and intervals of a [`Feed`](crate::Feed).
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct FeedSettings {
    /// Recent records kept for peers, at most.
    pub ring_records: usize,
    /// Bytes of the bodies of recent records kept for peers, at most.
    pub ring_bytes: usize,
    /// Bytes of the bodies of one answer to a pull, at most; one record may exceed it.
    pub reply_bytes: usize,
    /// How long the platform keeps a record.
    pub retention: Duration,
    /// Records after the last checkpoint that make the next one due.
    pub checkpoint_records: u64,
    /// How long an appended checkpoint may take to come back from the log.
    pub checkpoint_retry: Duration,
    /// How long a pull may take before another one starts.
    pub pull_timeout: Duration,
}

impl FeedSettings {
    /// Creates the settings for a log with this retention.
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

    /// Sets how many recent records, and bytes of them, are kept for peers.
    #[must_use]
    pub const fn with_ring(mut self, records: usize, bytes: usize) -> Self {
        self.ring_records = records;
        self.ring_bytes = bytes;
        self
    }

    /// Sets after how many records the next checkpoint is due.
    #[must_use]
    pub const fn with_checkpoint(mut self, records: u64) -> Self {
        self.checkpoint_records = records;
        self
    }

    /// Returns how far before the log's end a reader looks for a checkpoint.
    ///
    /// Twice the records between checkpoints leaves time for one that is appended late.
    #[must_use]
    pub const fn lookback(&self) -> u64 {
        self.checkpoint_records.saturating_mul(2)
    }
}

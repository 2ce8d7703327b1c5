//! Schedule of the checkpoints that the feed appends to the log.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::FeedSettings;
use crate::Offset;

/// Greatest rank that adds a delay; greater ranks wait equally long.
const MAX_RANK: u64 = 4;
/// Each rank waits longer than the previous rank by the limit divided by this number.
const RANK_DELAY_DIVISOR: u64 = 8;

/// Oldest record that a reader without state needs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ReplayStart {
    /// Offset of the record: the position of the last checkpoint, or 0 without a checkpoint.
    pub from: Offset,
    /// Append time, in Unix milliseconds of the platform's clock.
    pub at_ms: u64,
}

impl ReplayStart {
    /// Returns `true` if a reader of this rank has to append a checkpoint now.
    ///
    /// A checkpoint is due when this record has expired, when it is older than half of the
    /// retention period, or when a starting node would have to read many records. Readers of a
    /// greater rank wait longer, so that usually only the reader of rank 0 appends. At the limit of
    /// the last rank, a quarter of the retention period is still left.
    pub(super) fn is_due(self, settings: &FeedSettings, log: LogBounds, rank: usize) -> bool {
        let rank = u64::try_from(rank).unwrap_or(MAX_RANK).min(MAX_RANK);
        let delayed = |limit: u64| limit.saturating_add(limit / RANK_DELAY_DIVISOR * rank);
        let age = Duration::from_millis(log.now_ms.saturating_sub(self.at_ms));
        let max_age = millis(settings.retention) / 2;
        let replay_records = log.position.0.saturating_sub(self.from.0);
        log.log_start > self.from
            || millis(age) >= delayed(max_age)
            || replay_records >= delayed(settings.checkpoint_records)
    }
}

/// State of the log that determines whether a checkpoint is due.
#[derive(Debug, Clone, Copy)]
pub(super) struct LogBounds {
    /// Offset of the oldest record in the log.
    pub log_start: Offset,
    /// Current time of the platform's clock, in Unix milliseconds.
    pub now_ms: u64,
    /// Position of the feed.
    pub position: Offset,
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

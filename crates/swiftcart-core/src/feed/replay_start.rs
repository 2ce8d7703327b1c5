//! When the next checkpoint is due.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::FeedSettings;
use crate::Offset;

/// Ranks that wait longer than the one before; later ones wait like the last.
const RANKS: u64 = 4;
/// Each rank waits for this part of the first rank's limit longer.
const RANK_PART: u64 = 8;

/// The oldest record that a reader without state needs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ReplayStart {
    /// Its offset: the position of the last checkpoint, or 0 without one.
    pub from: Offset,
    /// When it was appended, in Unix milliseconds of the platform's clock.
    pub at_ms: u64,
}

impl ReplayStart {
    /// Tells whether a reader of this rank appends a checkpoint now.
    ///
    /// It is due when half of the retention is over, or when a joiner would have
    /// to read many records. Readers of a greater rank wait longer, so that
    /// usually only the first one appends; at the last rank's limit a quarter of
    /// the retention is still left.
    pub(super) fn is_due(self, settings: &FeedSettings, log: Log, rank: usize) -> bool {
        let rank = u64::try_from(rank).unwrap_or(RANKS).min(RANKS);
        let later = |limit: u64| limit.saturating_add(limit / RANK_PART * rank);
        let age = Duration::from_millis(log.now_ms.saturating_sub(self.at_ms));
        let oldest = millis(settings.retention) / 2;
        let records = log.position.0.saturating_sub(self.from.0);
        log.first > self.from
            || millis(age) >= later(oldest)
            || records >= later(settings.checkpoint_records)
    }
}

/// What a checkpoint's age is measured against.
#[derive(Debug, Clone, Copy)]
pub(super) struct Log {
    /// The oldest kept record.
    pub first: Offset,
    /// The platform's clock.
    pub now_ms: u64,
    /// The feed's own position.
    pub position: Offset,
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

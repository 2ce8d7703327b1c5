//! Answers to pulls, and checkpoints for the log.

use std::time::Duration;

use super::super::replay_start::LogBounds;
use super::super::{FeedAction, PullAnswer};
use super::Feed;
use crate::{Checkpoint, Offset};

/// Maximum number of records by which the cached checkpoint may be behind when it answers a pull.
const MAX_CHECKPOINT_LAG: u64 = 64;

impl Feed {
    /// Returns the answer to a pull of a node whose next record is `from`.
    pub fn answer(&mut self, from: Offset) -> PullAnswer {
        let next = self.fold.position();
        match self.ring.read_from(from, self.settings.reply_bytes) {
            _ if from >= next => PullAnswer::Current,
            Some(entries) => PullAnswer::Entries { entries, next },
            None => self.answer_state(next),
        }
    }

    /// Returns an action that appends a checkpoint if a checkpoint is due for a reader of this
    /// rank.
    ///
    /// `now_ms` is the time of the platform's clock. `rank` is this node's place in the order in
    /// which the nodes of its failure domain read the log; the reader of rank 0 appends first.
    pub fn on_tick(&mut self, now_ms: u64, rank: usize) -> Option<FeedAction> {
        let retry = self.settings.checkpoint_retry;
        let since = |ms| Duration::from_millis(now_ms.saturating_sub(ms));
        let log = LogBounds {
            log_start: self.log_start,
            now_ms,
            position: self.fold.position(),
        };
        match self.replay_start {
            _ if self.stalled.is_some() => None,
            _ if self.requested_ms.is_some_and(|ms| since(ms) < retry) => None,
            Some(start) if start.is_due(&self.settings, log, rank) => {
                self.requested_ms = Some(now_ms);
                Some(FeedAction::AppendCheckpoint(self.fold.checkpoint()))
            }
            _ => None,
        }
    }

    fn answer_state(&mut self, next: Offset) -> PullAnswer {
        let bytes = self.settings.reply_bytes;
        let is_near = |c: &Checkpoint| next.0.saturating_sub(c.position.0) <= MAX_CHECKPOINT_LAG;
        let cached = self.cached_checkpoint.take().filter(is_near);
        let cached = cached.filter(|c| c.position == next || self.ring.get(c.position).is_some());
        let checkpoint = cached.unwrap_or_else(|| self.fold.checkpoint());
        self.cached_checkpoint = Some(checkpoint.clone());
        PullAnswer::State {
            entries: self
                .ring
                .read_from(checkpoint.position, bytes)
                .unwrap_or_default(),
            checkpoint,
            replay_start: self.replay_start,
            next,
        }
    }
}

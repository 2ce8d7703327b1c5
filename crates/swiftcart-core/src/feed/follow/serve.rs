//! What the feed gives others: answers to pulls, and checkpoints for the log.

use std::time::Duration;

use super::super::replay_start::Log;
use super::super::{FeedAction, PullAnswer};
use super::Feed;
use crate::{Checkpoint, Offset};

/// Records after the cached state that make an answer to a pull take a newer one.
const STATE_LAG: u64 = 64;

impl Feed {
    /// Answers the pull of another node whose next record is `from`.
    pub fn answer(&mut self, from: Offset) -> PullAnswer {
        let next = self.fold.position();
        match self.ring.from(from, self.settings.reply_bytes) {
            _ if from >= next => PullAnswer::Current,
            Some(entries) => PullAnswer::Entries { entries, next },
            None => self.answer_state(next),
        }
    }

    /// Asks for a checkpoint when one is due for a reader of this rank.
    ///
    /// `now_ms` is the platform's clock; rank 0 goes first.
    pub fn on_tick(&mut self, now_ms: u64, rank: usize) -> Option<FeedAction> {
        let retry = self.settings.checkpoint_retry;
        let since = |ms| Duration::from_millis(now_ms.saturating_sub(ms));
        let log = Log {
            first: self.first,
            now_ms,
            position: self.fold.position(),
        };
        match self.anchor {
            _ if self.stalled.is_some() => None,
            _ if self.asked_ms.is_some_and(|ms| since(ms) < retry) => None,
            Some(anchor) if anchor.is_due(&self.settings, log, rank) => {
                self.asked_ms = Some(now_ms);
                Some(FeedAction::AppendCheckpoint(self.fold.checkpoint()))
            }
            _ => None,
        }
    }

    fn answer_state(&mut self, next: Offset) -> PullAnswer {
        let bytes = self.settings.reply_bytes;
        let is_near = |c: &Checkpoint| next.0.saturating_sub(c.position.0) <= STATE_LAG;
        let cached = self.cache.take().filter(is_near);
        let cached = cached.filter(|c| c.position == next || self.ring.at(c.position).is_some());
        let checkpoint = cached.unwrap_or_else(|| self.fold.checkpoint());
        self.cache = Some(checkpoint.clone());
        PullAnswer::State {
            entries: self
                .ring
                .from(checkpoint.position, bytes)
                .unwrap_or_default(),
            checkpoint,
            anchor: self.anchor,
            next,
        }
    }
}

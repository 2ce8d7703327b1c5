//! Adoption of a state, from the log or from a peer.

use super::super::log_scan::LogScan;
use super::super::{FeedAction, RecordSource, ReplayStart};
use super::Feed;
use crate::{Body, Checkpoint, CheckpointError, Entry, Envelope, Fold};

impl Feed {
    /// Scans `entries` for a usable checkpoint and adopts it. A checkpoint is usable if the log
    /// still holds all records after it.
    pub(super) fn scan_for_checkpoint(&mut self, entries: &[Entry]) -> Vec<FeedAction> {
        for entry in entries {
            if self.scan.scan_offset() != Some(entry.offset) {
                continue;
            }
            self.scan = self.scan.advanced();
            let Ok(Body::Checkpoint(checkpoint)) = Envelope::decode(&entry.body).map(|e| e.body)
            else {
                continue;
            };
            let available = self.log_start..=entry.offset;
            let replay_start = ReplayStart {
                from: checkpoint.position,
                at_ms: entry.at_ms,
            };
            let before = self.counts.adopted;
            let actions = match available.contains(&checkpoint.position) {
                true => self.adopt(&checkpoint, Some(replay_start), RecordSource::Platform),
                false => Vec::new(),
            };
            if self.counts.adopted > before {
                return actions;
            }
        }
        Vec::new()
    }

    /// Adopts a state that has a later position and no older version. A conflicting state is
    /// reported as a divergence, a state with an unknown rule stalls the feed, and any other state
    /// is refused.
    pub(super) fn adopt(
        &mut self,
        checkpoint: &Checkpoint,
        replay_start: Option<ReplayStart>,
        source: RecordSource,
    ) -> Vec<FeedAction> {
        let (position, version) = (self.fold.position(), self.fold.version());
        match Fold::from_checkpoint(checkpoint) {
            Ok(fold) if fold.position() > position && fold.version() >= version => {
                self.fold = fold;
                self.ring.clear();
                self.scan = LogScan::Inactive;
                self.stalled = None;
                self.replay_start = replay_start.or(self.replay_start);
                self.counts.adopted += 1;
                self.version_change(version)
            }
            Ok(fold) if fold.position() > position => self.report_divergence(source),
            Ok(fold) if fold.position() == position && fold != self.fold => {
                self.report_divergence(source)
            }
            Err(CheckpointError::UnknownRule(rule)) => self.stall(rule),
            Ok(_) | Err(_) => {
                self.counts.refused += 1;
                Vec::new()
            }
        }
    }
}

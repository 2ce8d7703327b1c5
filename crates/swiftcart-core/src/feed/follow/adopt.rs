//! How the feed takes over a state, from the log or from a peer.

use super::super::search::Search;
use super::super::{FeedAction, RecordSource, ReplayStart};
use super::Feed;
use crate::{Body, Checkpoint, CheckpointError, Entry, Envelope, Fold};

impl Feed {
    /// Looks for a usable checkpoint: one whose later records are all still kept.
    pub(super) fn look(&mut self, entries: &[Entry]) -> Vec<FeedAction> {
        for entry in entries {
            if self.search.at() != Some(entry.offset) {
                continue;
            }
            self.search = self.search.stepped();
            let Ok(Body::Checkpoint(checkpoint)) = Envelope::decode(&entry.body).map(|e| e.body)
            else {
                continue;
            };
            let kept = self.first..=entry.offset;
            let anchor = ReplayStart {
                from: checkpoint.position,
                at_ms: entry.at_ms,
            };
            let before = self.counts.adopted;
            let actions = match kept.contains(&checkpoint.position) {
                true => self.adopt(&checkpoint, Some(anchor), RecordSource::Platform),
                false => Vec::new(),
            };
            if self.counts.adopted > before {
                return actions;
            }
        }
        Vec::new()
    }

    /// Takes over a state that lies ahead; anything else changes nothing.
    pub(super) fn adopt(
        &mut self,
        checkpoint: &Checkpoint,
        anchor: Option<ReplayStart>,
        source: RecordSource,
    ) -> Vec<FeedAction> {
        let (position, version) = (self.fold.position(), self.fold.version());
        match Fold::from_checkpoint(checkpoint) {
            Ok(fold) if fold.position() > position && fold.version() >= version => {
                self.fold = fold;
                self.ring.clear();
                self.search = Search::None;
                self.stalled = None;
                self.anchor = anchor.or(self.anchor);
                self.counts.adopted += 1;
                self.applied(version)
            }
            Ok(fold) if fold.position() > position => self.diverged(source),
            Ok(fold) if fold.position() == position && fold != self.fold => self.diverged(source),
            Err(CheckpointError::UnknownRule(rule)) => self.stall(rule),
            Ok(_) | Err(_) => {
                self.counts.refused += 1;
                Vec::new()
            }
        }
    }
}

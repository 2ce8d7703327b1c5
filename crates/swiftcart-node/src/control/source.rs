//! Source of the configuration: a log that each node folds, or complete snapshots.

use std::sync::Arc;

use swiftcart_core::{
    Digest, Feed, FeedAction, FeedSettings, Head, Instant, NodeId, Offset, PullAnswer, Snapshot,
    SnapshotFeed, Version,
};

use crate::config::Config;

/// Source of the configuration that a node follows.
#[derive(Debug)]
pub(super) enum Source {
    /// Log of the platform, folded by every node.
    Log(Box<Feed>),
    /// Snapshots that the platform has validated.
    SnapshotFeed(SnapshotFeed),
}

impl Source {
    /// Creates a source that follows the platform's log.
    pub(super) fn log(me: NodeId, settings: FeedSettings) -> Self {
        Self::Log(Box::new(Feed::new(me, settings)))
    }

    /// Creates a source that follows snapshots.
    pub(super) fn snapshots(me: NodeId) -> Self {
        Self::SnapshotFeed(SnapshotFeed::new(me))
    }

    /// Returns the head that probes carry to other nodes.
    pub(super) fn head(&self) -> Head {
        match self {
            Self::Log(feed) => feed.head(),
            Self::SnapshotFeed(snapshots) => snapshots.head(),
        }
    }

    /// Returns the greatest known version.
    pub(super) fn version(&self) -> Version {
        match self {
            Self::Log(feed) => feed.fold().version(),
            Self::SnapshotFeed(snapshots) => snapshots.newest().version,
        }
    }

    /// Returns the configuration of the greatest known version.
    pub(super) fn config(&self) -> Config {
        match self {
            Self::Log(feed) => {
                let fold = feed.fold();
                Config::from_table(fold.version(), Arc::clone(fold.table()))
            }
            Self::SnapshotFeed(snapshots) => Config::from_snapshot(Arc::clone(snapshots.newest())),
        }
    }

    /// Returns the newest snapshot, or `None` when the node follows the log.
    pub(super) fn snapshot(&self) -> Option<Arc<Snapshot>> {
        match self {
            Self::Log(_) => None,
            Self::SnapshotFeed(snapshots) => Some(Arc::clone(snapshots.newest())),
        }
    }

    /// Returns the position up to which the configuration is known. For snapshots, it is the
    /// version number.
    pub(super) fn position(&self) -> Offset {
        match self {
            Self::Log(feed) => feed.fold().position(),
            Self::SnapshotFeed(snapshots) => Offset(snapshots.newest().version.0),
        }
    }

    /// Returns the position of the next read of the platform.
    pub(super) fn from(&self) -> Offset {
        match self {
            Self::Log(feed) => feed.from(),
            Self::SnapshotFeed(_) => self.position(),
        }
    }

    /// Returns the hash of the state.
    pub(super) fn digest(&self) -> Digest {
        match self {
            Self::Log(feed) => feed.fold().digest(),
            Self::SnapshotFeed(snapshots) => snapshots.digest(),
        }
    }

    /// Returns the unsupported newer rule at which the node stopped reading, if there is one.
    pub(super) const fn stalled(&self) -> Option<u16> {
        match self {
            Self::Log(feed) => feed.stalled(),
            Self::SnapshotFeed(_) => None,
        }
    }

    /// Handles the head that `peer` reported.
    pub(super) fn on_head(&mut self, now: Instant, peer: NodeId, head: Head) -> Vec<FeedAction> {
        match self {
            Self::Log(feed) => feed.on_head(now, peer, head),
            Self::SnapshotFeed(snapshots) => snapshots.on_head(now, peer, head),
        }
    }

    /// Applies records or a delta that `peer` pushed down the tree of `origin`.
    ///
    /// # Errors
    ///
    /// Returns the decoding error if the bytes are neither.
    pub(super) fn on_push(
        &mut self,
        now: Instant,
        peer: NodeId,
        origin: NodeId,
        bytes: &[u8],
    ) -> Result<Vec<FeedAction>, postcard::Error> {
        Ok(match self {
            Self::Log(feed) => feed.on_push(now, peer, origin, postcard::from_bytes(bytes)?),
            Self::SnapshotFeed(snapshots) => {
                snapshots.on_delta(now, peer, origin, postcard::from_bytes(bytes)?)
            }
        })
    }

    /// Handles the head that `peer` offers in the tree of `origin`.
    pub(super) fn on_offer(
        &mut self,
        now: Instant,
        peer: NodeId,
        origin: NodeId,
        head: Head,
    ) -> Vec<FeedAction> {
        match self {
            Self::Log(feed) => feed.on_offer(now, peer, origin, head),
            Self::SnapshotFeed(snapshots) => snapshots.on_offer(now, peer, origin, head),
        }
    }

    /// Answers the pull of another node whose position is `from`.
    pub(super) fn answer(&mut self, from: Offset) -> PullAnswer {
        match self {
            Self::Log(feed) => feed.answer(from),
            Self::SnapshotFeed(snapshots) => snapshots.answer(from),
        }
    }

    /// Applies the answer to a pull.
    pub(super) fn on_pull_reply(
        &mut self,
        now: Instant,
        peer: NodeId,
        answer: PullAnswer,
    ) -> Vec<FeedAction> {
        match self {
            Self::Log(feed) => feed.on_pull_reply(now, peer, answer),
            Self::SnapshotFeed(snapshots) => snapshots.on_pulled(peer, answer),
        }
    }

    /// Records that a pull failed or was refused.
    pub(super) fn on_pull_failed(&mut self, peer: NodeId) {
        match self {
            Self::Log(feed) => feed.on_pull_failed(peer),
            Self::SnapshotFeed(snapshots) => snapshots.on_pull_failed(peer),
        }
    }
}

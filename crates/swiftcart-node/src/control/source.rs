//! What a node follows: a log that it folds, or versions that come as a whole.

use std::sync::Arc;

use swiftcart_core::{
    Digest, Feed, FeedAction, FeedSettings, Head, Instant, NodeId, Offset, PullAnswer, Snapshot,
    Snapshots, Table, Version,
};

/// Follows the configuration, whatever form it comes in.
#[derive(Debug)]
pub(super) enum Source {
    /// The platform's log, folded by every node.
    Log(Box<Feed>),
    /// Versions that the platform has judged itself.
    Snapshots(Snapshots),
}

/// The configuration of one version.
#[derive(Debug, Clone)]
pub(super) enum Content {
    /// The table that the fold arrived at.
    Table(Arc<Table>),
    /// A version that came as a whole.
    Snapshot(Arc<Snapshot>),
}

impl Source {
    /// Follows the platform's log.
    pub(super) fn log(me: NodeId, settings: FeedSettings) -> Self {
        Self::Log(Box::new(Feed::new(me, settings)))
    }

    /// Follows versions that come as a whole.
    pub(super) fn snapshots(me: NodeId) -> Self {
        Self::Snapshots(Snapshots::new(me))
    }

    /// Returns what probes tell other nodes.
    pub(super) fn head(&self) -> Head {
        match self {
            Self::Log(feed) => feed.head(),
            Self::Snapshots(snapshots) => snapshots.head(),
        }
    }

    /// Returns the greatest version that is known.
    pub(super) fn version(&self) -> Version {
        match self {
            Self::Log(feed) => feed.fold().version(),
            Self::Snapshots(snapshots) => snapshots.newest().version,
        }
    }

    /// Returns the content of the greatest version that is known.
    pub(super) fn content(&self) -> Content {
        match self {
            Self::Log(feed) => Content::Table(Arc::clone(feed.fold().table())),
            Self::Snapshots(snapshots) => Content::Snapshot(Arc::clone(snapshots.newest())),
        }
    }

    /// Returns the place up to which the configuration is known; whole versions stand for theirs.
    pub(super) fn position(&self) -> Offset {
        match self {
            Self::Log(feed) => feed.fold().position(),
            Self::Snapshots(snapshots) => Offset(snapshots.newest().version.0),
        }
    }

    /// Returns where to read the platform next.
    pub(super) fn from(&self) -> Offset {
        match self {
            Self::Log(feed) => feed.from(),
            Self::Snapshots(_) => self.position(),
        }
    }

    /// Returns the hash of the state.
    pub(super) fn digest(&self) -> Digest {
        match self {
            Self::Log(feed) => feed.fold().digest(),
            Self::Snapshots(snapshots) => snapshots.digest(),
        }
    }

    /// Returns the later rule that keeps the node from reading on, if there is one.
    pub(super) const fn stalled(&self) -> Option<u16> {
        match self {
            Self::Log(feed) => feed.stalled(),
            Self::Snapshots(_) => None,
        }
    }

    /// Takes the place that `peer` told of itself.
    pub(super) fn on_head(&mut self, now: Instant, peer: NodeId, head: Head) -> Vec<FeedAction> {
        match self {
            Self::Log(feed) => feed.on_head(now, peer, head),
            Self::Snapshots(snapshots) => snapshots.on_head(now, peer, head),
        }
    }

    /// Takes the place that `peer` offers in the tree of `origin`.
    pub(super) fn on_offer(
        &mut self,
        now: Instant,
        peer: NodeId,
        origin: NodeId,
        head: Head,
    ) -> Vec<FeedAction> {
        match self {
            Self::Log(feed) => feed.on_offer(now, peer, origin, head),
            Self::Snapshots(snapshots) => snapshots.on_offer(now, peer, origin, head),
        }
    }

    /// Answers the pull of another node, which is as far as `from`.
    pub(super) fn answer(&mut self, from: Offset) -> PullAnswer {
        match self {
            Self::Log(feed) => feed.answer(from),
            Self::Snapshots(snapshots) => match snapshots.answer(from) {
                Some(snapshot) => PullAnswer::Snapshot(Arc::clone(snapshot)),
                None => PullAnswer::Current,
            },
        }
    }

    /// Takes the answer to a pull.
    pub(super) fn on_pull_reply(
        &mut self,
        now: Instant,
        peer: NodeId,
        answer: PullAnswer,
    ) -> Vec<FeedAction> {
        match (self, answer) {
            (Self::Log(feed), answer) => feed.on_pull_reply(now, peer, answer),
            (Self::Snapshots(snapshots), PullAnswer::Snapshot(snapshot)) => {
                snapshots.on_pulled(peer, Some(Arc::unwrap_or_clone(snapshot)))
            }
            // Records of a log, from a node with other settings, mean nothing here.
            (Self::Snapshots(snapshots), _) => snapshots.on_pulled(peer, None),
        }
    }

    /// Notes that a pull failed or was refused.
    pub(super) fn on_pull_failed(&mut self, peer: NodeId) {
        match self {
            Self::Log(feed) => feed.on_pull_failed(peer),
            Self::Snapshots(snapshots) => snapshots.on_pull_failed(peer),
        }
    }
}

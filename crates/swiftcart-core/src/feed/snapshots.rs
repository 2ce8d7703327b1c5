//! Follows versions that come as a whole, whoever brings them.

use std::sync::Arc;
use std::time::Duration;

use super::{FeedAction, Source};
use crate::{Digest, Head, Instant, NodeId, Offset, Snapshot};

/// How long a pull may take before another one starts; a pull within a failure domain takes
/// a few milliseconds, and a version has to be in force everywhere within two seconds.
const PULL_TIME: Duration = Duration::from_millis(400);

/// Follows a platform that judges versions itself, for one node.
///
/// Only the newest version counts. A reader takes it from the platform and offers it down
/// the tree of its failure domain; who hears of a greater version, by an offer or by a
/// probe, pulls it. It never moves to an older version.
///
/// # Examples
///
/// ```
/// use swiftcart_core::{FeedAction, NodeId, Snapshot, Snapshots, Table, Version};
///
/// let me = NodeId(([10, 0, 0, 1], 7000).into());
/// let mut snapshots = Snapshots::new(me);
/// let actions = snapshots.on_read(Snapshot::new(Version(7), Table::new()));
/// assert_eq!(actions, [FeedAction::Offer { origin: me }, FeedAction::Applied(Version(7))]);
/// assert_eq!(snapshots.on_read(Snapshot::new(Version(6), Table::new())), []);
/// ```
#[derive(Debug, Clone)]
pub struct Snapshots {
    me: NodeId,
    newest: Arc<Snapshot>,
    digest: Digest,
    pull: Option<Pull>,
}

#[derive(Debug, Clone, Copy)]
struct Pull {
    peer: NodeId,
    until: Instant,
    /// The tree in which the version is offered on.
    origin: Option<NodeId>,
}

impl Snapshots {
    /// Creates the state of a node that knows nothing yet.
    #[must_use]
    pub fn new(me: NodeId) -> Self {
        let newest = Arc::new(Snapshot::default());
        Self {
            me,
            digest: newest.digest(),
            newest,
            pull: None,
        }
    }

    /// Returns the newest version that is known.
    #[must_use]
    pub const fn newest(&self) -> &Arc<Snapshot> {
        &self.newest
    }

    /// Returns the hash of the newest version.
    #[must_use]
    pub const fn digest(&self) -> Digest {
        self.digest
    }

    /// Returns what probes tell other nodes.
    #[must_use]
    pub fn head(&self) -> Head {
        Head {
            position: self.newest.version.0,
            digest: self.digest.short(),
        }
    }

    /// Takes the version that the platform holds.
    pub fn on_read(&mut self, snapshot: Snapshot) -> Vec<FeedAction> {
        self.adopt(snapshot, Source::Platform, Some(self.me))
    }

    /// Takes the version that `peer` told of itself.
    pub fn on_head(&mut self, now: Instant, peer: NodeId, head: Head) -> Vec<FeedAction> {
        match head.position {
            theirs if theirs > self.newest.version.0 => self.pull(now, peer, None),
            theirs if theirs == self.newest.version.0 && head.digest != self.digest.short() => {
                vec![FeedAction::Diverged(Source::Peer(peer))]
            }
            _ => Vec::new(),
        }
    }

    /// Takes the version that `peer` offers in the tree of `origin`.
    pub fn on_offer(
        &mut self,
        now: Instant,
        peer: NodeId,
        origin: NodeId,
        head: Head,
    ) -> Vec<FeedAction> {
        match head.position > self.newest.version.0 {
            true => self.pull(now, peer, Some(origin)),
            false => Vec::new(),
        }
    }

    /// Takes the answer to a pull; `None` when the peer has nothing newer.
    pub fn on_pulled(&mut self, peer: NodeId, snapshot: Option<Snapshot>) -> Vec<FeedAction> {
        let origin = self.end_pull(peer);
        match snapshot {
            Some(snapshot) => self.adopt(snapshot, Source::Peer(peer), origin),
            None => Vec::new(),
        }
    }

    /// Notes that a pull failed or was refused, so that the next one may start.
    pub fn on_pull_failed(&mut self, peer: NodeId) {
        self.end_pull(peer);
    }

    /// Answers the pull of another node, which has the version `from`.
    #[must_use]
    pub fn answer(&self, from: Offset) -> Option<&Arc<Snapshot>> {
        (self.newest.version.0 > from.0).then_some(&self.newest)
    }

    fn adopt(
        &mut self,
        snapshot: Snapshot,
        source: Source,
        origin: Option<NodeId>,
    ) -> Vec<FeedAction> {
        let version = snapshot.version;
        match version.cmp(&self.newest.version) {
            std::cmp::Ordering::Less => Vec::new(),
            std::cmp::Ordering::Equal if snapshot == *self.newest => Vec::new(),
            std::cmp::Ordering::Equal => vec![FeedAction::Diverged(source)],
            std::cmp::Ordering::Greater => {
                self.digest = snapshot.digest();
                self.newest = Arc::new(snapshot);
                let offer = origin.map(|origin| FeedAction::Offer { origin });
                offer
                    .into_iter()
                    .chain([FeedAction::Applied(version)])
                    .collect()
            }
        }
    }

    fn pull(&mut self, now: Instant, peer: NodeId, origin: Option<NodeId>) -> Vec<FeedAction> {
        match &mut self.pull {
            Some(open) if now < open.until => {
                open.origin = open.origin.or(origin);
                Vec::new()
            }
            pull => {
                *pull = Some(Pull {
                    peer,
                    until: now + PULL_TIME,
                    origin,
                });
                let from = Offset(self.newest.version.0);
                vec![FeedAction::Pull { peer, from }]
            }
        }
    }

    fn end_pull(&mut self, peer: NodeId) -> Option<NodeId> {
        let ended = self.pull.take_if(|pull| pull.peer == peer);
        ended.and_then(|pull| pull.origin)
    }
}

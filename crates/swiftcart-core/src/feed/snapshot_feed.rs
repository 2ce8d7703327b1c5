//! Follows versions that come as a whole, whoever brings them.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use super::{FeedAction, PullAnswer, RecordSource};
use crate::{Delta, Digest, Head, Instant, NodeId, Offset, Snapshot, Version};

/// How long a pull may take before another one starts; a pull within a failure domain takes
/// a few milliseconds, and a version has to be in force everywhere within two seconds.
const PULL_TIME: Duration = Duration::from_millis(400);

/// Deltas that are kept for peers which missed some: what changes in about ten seconds of
/// quick succession.
const RECENT: usize = 16;

/// Edits in the kept deltas; a longer change is pulled as a whole.
const RECENT_EDITS: usize = 1024;

/// Follows a platform that judges versions itself, for one node.
///
/// Only the newest version counts. A reader takes it from the platform and sends what has
/// changed down the tree of its failure domain; who hears of a greater version otherwise,
/// by an offer or by a probe, pulls what it lacks. It never moves to an older version.
///
/// # Examples
///
/// ```
/// use swiftcart_core::{FeedAction, NodeId, Snapshot, SnapshotFeed, Table, Version};
///
/// let me = NodeId(([10, 0, 0, 1], 7000).into());
/// let mut snapshots = SnapshotFeed::new(me);
/// let actions = snapshots.on_read(Snapshot::new(Version(7), Table::new()));
/// let delta = None;
/// let spread = FeedAction::PushDelta { origin: me, delta };
/// assert_eq!(actions, [spread, FeedAction::Applied(Version(7))]);
/// assert_eq!(snapshots.on_read(Snapshot::new(Version(6), Table::new())), []);
/// ```
#[derive(Debug, Clone)]
pub struct SnapshotFeed {
    me: NodeId,
    newest: Arc<Snapshot>,
    digest: Digest,
    /// What led to the newest version, the oldest first and without gaps.
    recent: VecDeque<Arc<Delta>>,
    pull: Option<Pull>,
}

#[derive(Debug, Clone, Copy)]
struct Pull {
    peer: NodeId,
    until: Instant,
    /// The tree in which the version is offered on.
    origin: Option<NodeId>,
}

impl SnapshotFeed {
    /// Creates the state of a node that knows nothing yet.
    #[must_use]
    pub fn new(me: NodeId) -> Self {
        let newest = Arc::new(Snapshot::default());
        Self {
            me,
            digest: newest.digest(),
            newest,
            recent: VecDeque::new(),
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
        self.adopt(snapshot, RecordSource::Platform, Some(self.me))
    }

    /// Takes the version that `peer` told of itself.
    pub fn on_head(&mut self, now: Instant, peer: NodeId, head: Head) -> Vec<FeedAction> {
        match head.position {
            theirs if theirs > self.newest.version.0 => self.pull(now, peer, None),
            theirs if theirs == self.newest.version.0 && head.digest != self.digest.short() => {
                vec![FeedAction::Diverged(RecordSource::Peer(peer))]
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

    /// Takes a delta that `peer` sent down the tree of `origin`.
    pub fn on_delta(
        &mut self,
        now: Instant,
        peer: NodeId,
        origin: NodeId,
        delta: Delta,
    ) -> Vec<FeedAction> {
        match delta.apply(&self.newest) {
            _ if delta.version() <= self.newest.version => Vec::new(),
            Ok(snapshot) => {
                let digest = delta.digest();
                self.take(snapshot, digest, Some(Arc::new(delta)), Some(origin))
            }
            // A version was missed in between, or is on its way.
            Err(_) => self.pull(now, peer, Some(origin)),
        }
    }

    /// Takes the answer to a pull.
    pub fn on_pulled(&mut self, peer: NodeId, answer: PullAnswer) -> Vec<FeedAction> {
        let origin = self.end_pull(peer);
        match answer {
            PullAnswer::Snapshot(snapshot) => self.adopt(
                Arc::unwrap_or_clone(snapshot),
                RecordSource::Peer(peer),
                origin,
            ),
            PullAnswer::Deltas(deltas) => self.take_all(deltas, origin),
            // Records of a log, from a node with other settings, mean nothing here.
            PullAnswer::Current | PullAnswer::Entries { .. } | PullAnswer::State { .. } => {
                Vec::new()
            }
        }
    }

    /// Notes that a pull failed or was refused, so that the next one may start.
    pub fn on_pull_failed(&mut self, peer: NodeId) {
        self.end_pull(peer);
    }

    /// Answers the pull of another node, which has the version `from`.
    #[must_use]
    pub fn answer(&self, from: Offset) -> PullAnswer {
        let from = Version(from.0);
        let known = self.recent.iter().position(|delta| delta.base() == from);
        match known {
            _ if self.newest.version <= from => PullAnswer::Current,
            Some(first) => PullAnswer::Deltas(self.recent.iter().skip(first).cloned().collect()),
            None => PullAnswer::Snapshot(Arc::clone(&self.newest)),
        }
    }

    fn take_all(&mut self, deltas: Vec<Arc<Delta>>, origin: Option<NodeId>) -> Vec<FeedAction> {
        let mut actions = Vec::new();
        for delta in deltas {
            let Ok(snapshot) = delta.apply(&self.newest) else {
                break;
            };
            actions.extend(self.take(snapshot, delta.digest(), Some(delta), origin));
        }
        actions
    }

    fn adopt(
        &mut self,
        snapshot: Snapshot,
        source: RecordSource,
        origin: Option<NodeId>,
    ) -> Vec<FeedAction> {
        let version = snapshot.version;
        match version.cmp(&self.newest.version) {
            std::cmp::Ordering::Less => Vec::new(),
            std::cmp::Ordering::Equal if snapshot == *self.newest => Vec::new(),
            std::cmp::Ordering::Equal => vec![FeedAction::Diverged(source)],
            std::cmp::Ordering::Greater => {
                let first = self.newest.version == Version::NONE;
                let digest = snapshot.digest();
                let change = || Delta::between(&self.newest, &snapshot, digest);
                let delta = (!first).then(|| Arc::new(change()));
                self.take(snapshot, digest, delta, origin)
            }
        }
    }

    /// Takes a greater version, and `delta` that led to it where there was one before.
    fn take(
        &mut self,
        snapshot: Snapshot,
        digest: Digest,
        delta: Option<Arc<Delta>>,
        origin: Option<NodeId>,
    ) -> Vec<FeedAction> {
        let version = snapshot.version;
        self.digest = digest;
        self.newest = Arc::new(snapshot);
        self.keep(delta.as_ref());
        let spread = origin.map(|origin| FeedAction::PushDelta { origin, delta });
        let applied = FeedAction::Applied(version);
        spread.into_iter().chain([applied]).collect()
    }

    fn keep(&mut self, delta: Option<&Arc<Delta>>) {
        match delta {
            Some(delta) => self.recent.push_back(Arc::clone(delta)),
            None => self.recent.clear(),
        }
        let edits = |recent: &VecDeque<Arc<Delta>>| -> usize {
            recent.iter().map(|delta| delta.edits()).sum()
        };
        while self.recent.len() > RECENT || edits(&self.recent) > RECENT_EDITS {
            self.recent.pop_front();
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

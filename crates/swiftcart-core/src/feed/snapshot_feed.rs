//! State machine that follows complete configuration versions, from the platform or from peers.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use super::{FeedAction, PullAnswer, RecordSource};
use crate::{Delta, Digest, Head, Instant, NodeId, Offset, Snapshot, Version};

/// Time after which another pull may start although the previous pull is unanswered. A pull within
/// a failure domain takes a few milliseconds, and every node has to enforce a version within two
/// seconds.
const PULL_TIMEOUT: Duration = Duration::from_millis(400);

/// Maximum number of recent deltas kept for peers that missed some versions. This number covers
/// about ten seconds of versions in quick succession.
const MAX_RECENT_DELTAS: usize = 16;

/// Maximum number of edits in the recent deltas. A peer that missed more edits pulls a snapshot.
const MAX_RECENT_EDITS: usize = 1024;

/// State of one node that follows a platform that validates versions itself.
///
/// Only the newest version counts. A reader is a node that reads this version from the platform and
/// pushes the delta down the tree of its failure domain. A node that learns of a greater version
/// from an offer or a probe pulls the missing deltas or a snapshot. The feed never moves to an
/// older version.
///
/// # Examples
///
/// ```
/// use swiftcart_core::{FeedAction, NodeId, Snapshot, SnapshotFeed, Table, Version};
///
/// let me = NodeId(([10, 0, 0, 1], 7000).into());
/// let mut feed = SnapshotFeed::new(me);
/// let actions = feed.on_read(Snapshot::new(Version(7), Table::new()));
/// let delta = None;
/// let push = FeedAction::PushDelta { origin: me, delta };
/// assert_eq!(actions, [push, FeedAction::Applied(Version(7))]);
/// assert_eq!(feed.on_read(Snapshot::new(Version(6), Table::new())), []);
/// ```
#[derive(Debug, Clone)]
pub struct SnapshotFeed {
    me: NodeId,
    newest: Arc<Snapshot>,
    digest: Digest,
    /// Consecutive deltas up to the newest version, oldest first.
    recent_deltas: VecDeque<Arc<Delta>>,
    pull: Option<Pull>,
}

#[derive(Debug, Clone, Copy)]
struct Pull {
    peer: NodeId,
    deadline: Instant,
    /// Root of the push tree in which the pulled version is forwarded.
    origin: Option<NodeId>,
}

impl SnapshotFeed {
    /// Creates the state of a node that has not received any version.
    #[must_use]
    pub fn new(me: NodeId) -> Self {
        let newest = Arc::new(Snapshot::default());
        Self {
            me,
            digest: newest.digest(),
            newest,
            recent_deltas: VecDeque::new(),
            pull: None,
        }
    }

    /// Returns the newest known version.
    #[must_use]
    pub const fn newest(&self) -> &Arc<Snapshot> {
        &self.newest
    }

    /// Returns the hash of the newest version.
    #[must_use]
    pub const fn digest(&self) -> Digest {
        self.digest
    }

    /// Returns the version and short digest that probes announce to other nodes.
    #[must_use]
    pub fn head(&self) -> Head {
        Head {
            position: self.newest.version.0,
            digest: self.digest.short(),
        }
    }

    /// Handles a version that was read from the platform.
    pub fn on_read(&mut self, snapshot: Snapshot) -> Vec<FeedAction> {
        self.adopt(snapshot, RecordSource::Platform, Some(self.me))
    }

    /// Handles the version that `peer` announced.
    pub fn on_head(&mut self, now: Instant, peer: NodeId, head: Head) -> Vec<FeedAction> {
        match head.position {
            remote if remote > self.newest.version.0 => self.start_pull(now, peer, None),
            remote if remote == self.newest.version.0 && head.digest != self.digest.short() => {
                vec![FeedAction::Diverged(RecordSource::Peer(peer))]
            }
            _ => Vec::new(),
        }
    }

    /// Handles the version that `peer` offers in the tree of `origin`.
    pub fn on_offer(
        &mut self,
        now: Instant,
        peer: NodeId,
        origin: NodeId,
        head: Head,
    ) -> Vec<FeedAction> {
        match head.position > self.newest.version.0 {
            true => self.start_pull(now, peer, Some(origin)),
            false => Vec::new(),
        }
    }

    /// Handles a delta that `peer` pushed down the tree of `origin`.
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
                self.install(snapshot, digest, Some(Arc::new(delta)), Some(origin))
            }
            // A version in between was lost or has not arrived yet.
            Err(_) => self.start_pull(now, peer, Some(origin)),
        }
    }

    /// Handles the answer to a pull.
    pub fn on_pulled(&mut self, peer: NodeId, answer: PullAnswer) -> Vec<FeedAction> {
        let origin = self.end_pull(peer);
        match answer {
            PullAnswer::Snapshot(snapshot) => self.adopt(
                Arc::unwrap_or_clone(snapshot),
                RecordSource::Peer(peer),
                origin,
            ),
            PullAnswer::Deltas(deltas) => self.apply_deltas(deltas, origin),
            // Log records come from a node with different settings and cannot be applied here.
            PullAnswer::Current | PullAnswer::Entries { .. } | PullAnswer::State { .. } => {
                Vec::new()
            }
        }
    }

    /// Ends a pull that failed or was refused, so that the next pull may start.
    pub fn on_pull_failed(&mut self, peer: NodeId) {
        self.end_pull(peer);
    }

    /// Returns the answer to a pull of a node that has the version `from`.
    #[must_use]
    pub fn answer(&self, from: Offset) -> PullAnswer {
        let from = Version(from.0);
        let first_missing = self
            .recent_deltas
            .iter()
            .position(|delta| delta.base() == from);
        match first_missing {
            _ if self.newest.version <= from => PullAnswer::Current,
            Some(first) => {
                PullAnswer::Deltas(self.recent_deltas.iter().skip(first).cloned().collect())
            }
            None => PullAnswer::Snapshot(Arc::clone(&self.newest)),
        }
    }

    fn apply_deltas(&mut self, deltas: Vec<Arc<Delta>>, origin: Option<NodeId>) -> Vec<FeedAction> {
        let mut actions = Vec::new();
        for delta in deltas {
            let Ok(snapshot) = delta.apply(&self.newest) else {
                break;
            };
            actions.extend(self.install(snapshot, delta.digest(), Some(delta), origin));
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
                let is_first = self.newest.version == Version::NONE;
                let digest = snapshot.digest();
                let between = || Delta::between(&self.newest, &snapshot, digest);
                let delta = (!is_first).then(|| Arc::new(between()));
                self.install(snapshot, digest, delta, origin)
            }
        }
    }

    /// Installs a greater version. `delta` is the change from the previous version, if there was
    /// one.
    fn install(
        &mut self,
        snapshot: Snapshot,
        digest: Digest,
        delta: Option<Arc<Delta>>,
        origin: Option<NodeId>,
    ) -> Vec<FeedAction> {
        let version = snapshot.version;
        self.digest = digest;
        self.newest = Arc::new(snapshot);
        self.retain_delta(delta.as_ref());
        let push = origin.map(|origin| FeedAction::PushDelta { origin, delta });
        let applied = FeedAction::Applied(version);
        push.into_iter().chain([applied]).collect()
    }

    fn retain_delta(&mut self, delta: Option<&Arc<Delta>>) {
        match delta {
            Some(delta) => self.recent_deltas.push_back(Arc::clone(delta)),
            None => self.recent_deltas.clear(),
        }
        let edits = |recent: &VecDeque<Arc<Delta>>| -> usize {
            recent.iter().map(|delta| delta.edits()).sum()
        };
        while self.recent_deltas.len() > MAX_RECENT_DELTAS
            || edits(&self.recent_deltas) > MAX_RECENT_EDITS
        {
            self.recent_deltas.pop_front();
        }
    }

    fn start_pull(
        &mut self,
        now: Instant,
        peer: NodeId,
        origin: Option<NodeId>,
    ) -> Vec<FeedAction> {
        match &mut self.pull {
            Some(pending) if now < pending.deadline => {
                pending.origin = pending.origin.or(origin);
                Vec::new()
            }
            pull => {
                *pull = Some(Pull {
                    peer,
                    deadline: now + PULL_TIMEOUT,
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

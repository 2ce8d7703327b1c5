//! The feed's state machine: records and states in, a fold that only moves forward.

mod adopt;
mod serve;

use super::ring::Ring;
use super::search::Search;
use super::{FeedAction, FeedCounts, FeedSettings, PullAnswer, RecordSource, ReplayStart};
use crate::{
    Agreement, Checkpoint, Entry, Fold, FoldError, Head, Instant, NodeId, Offset, Verdict, Version,
};

/// Follows the configuration stream for one node.
///
/// Records reach it in pages of the platform, as pushes and in answers to pulls,
/// in any order and any number of times. It neither moves to an older position
/// nor to an older version.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use swiftcart_core::{Entry, Feed, FeedAction, FeedSettings, NodeId, Offset};
///
/// let me = NodeId(([10, 0, 0, 1], 7000).into());
/// let mut feed = Feed::new(me, FeedSettings::new(Duration::from_secs(3600)));
/// let entry = Entry { offset: Offset(0), at_ms: 5, body: "no envelope".into() };
/// let actions = feed.on_page(Offset(0), Offset(1), vec![entry.clone()]);
/// assert_eq!(actions, [FeedAction::Push { origin: me, entries: vec![entry] }]);
/// assert_eq!(feed.from(), Offset(1));
/// ```
#[derive(Debug, Clone)]
pub struct Feed {
    me: NodeId,
    settings: FeedSettings,
    fold: Fold,
    ring: Ring,
    first: Offset,
    search: Search,
    anchor: Option<ReplayStart>,
    stalled: Option<u16>,
    pull: Option<Pull>,
    asked_ms: Option<u64>,
    cache: Option<Checkpoint>,
    counts: FeedCounts,
}

#[derive(Debug, Clone, Copy)]
struct Pull {
    peer: NodeId,
    until: Instant,
    /// The tree in which the records would have been pushed on, after a gap.
    origin: Option<NodeId>,
}

impl Feed {
    /// Creates the feed of a node that knows nothing yet.
    #[must_use]
    pub fn new(me: NodeId, settings: FeedSettings) -> Self {
        Self {
            me,
            settings,
            fold: Fold::new(),
            ring: Ring::new(settings.ring_records, settings.ring_bytes),
            first: Offset(0),
            search: Search::None,
            anchor: None,
            stalled: None,
            pull: None,
            asked_ms: None,
            cache: None,
            counts: FeedCounts::default(),
        }
    }

    /// Returns the fold of what was read.
    #[must_use]
    pub const fn fold(&self) -> &Fold {
        &self.fold
    }

    /// Returns the offset from which to read the platform's log next.
    #[must_use]
    pub fn from(&self) -> Offset {
        self.search.at().unwrap_or(self.fold.position())
    }

    /// Returns what probes tell other nodes.
    #[must_use]
    pub fn head(&self) -> Head {
        Head {
            position: self.fold.position().0,
            digest: self.fold.digest().short(),
        }
    }

    /// Returns the later rule that keeps the feed from reading on, if there is one.
    #[must_use]
    pub const fn stalled(&self) -> Option<u16> {
        self.stalled
    }

    /// Returns what the feed counted.
    #[must_use]
    pub const fn counts(&self) -> FeedCounts {
        self.counts
    }

    /// Takes a page of the platform's log that was read from [`from`](Self::from).
    pub fn on_page(&mut self, first: Offset, next: Offset, entries: Vec<Entry>) -> Vec<FeedAction> {
        self.first = self.first.max(first);
        let position = self.fold.position();
        let lookback = self.settings.lookback();
        self.search = self
            .search
            .with_bounds(position, self.first, next, lookback);
        let mut actions = self.look(&entries);
        match self.search {
            Search::All { at } if at >= next => actions.push(FeedAction::NoStart(self.first)),
            Search::Near { .. } | Search::All { .. } => {}
            Search::None | Search::Failed => {
                actions.extend(self.fold_all(entries, RecordSource::Platform, Some(self.me)));
            }
        }
        actions
    }

    /// Takes records that `peer` pushed down the tree of `origin`.
    pub fn on_push(
        &mut self,
        now: Instant,
        peer: NodeId,
        origin: NodeId,
        entries: Vec<Entry>,
    ) -> Vec<FeedAction> {
        let position = self.fold.position();
        match entries.first() {
            Some(entry) if entry.offset > position => {
                self.counts.gaps += 1;
                self.pull(now, peer, Some(origin))
            }
            _ => self.fold_all(entries, RecordSource::Peer(peer), Some(origin)),
        }
    }

    /// Takes the place in the stream that `peer` told of itself.
    pub fn on_head(&mut self, now: Instant, peer: NodeId, head: Head) -> Vec<FeedAction> {
        let own = self.fold.position().0;
        match head.position {
            theirs if theirs > own => self.pull(now, peer, None),
            theirs if theirs == own && head.digest != self.fold.digest().short() => {
                self.diverged(RecordSource::Peer(peer))
            }
            _ => Vec::new(),
        }
    }

    /// Takes the place in the stream that `peer` offers in the tree of `origin`, in
    /// place of records that are too long to push.
    pub fn on_offer(
        &mut self,
        now: Instant,
        peer: NodeId,
        origin: NodeId,
        head: Head,
    ) -> Vec<FeedAction> {
        match head.position > self.fold.position().0 {
            true => self.pull(now, peer, Some(origin)),
            false => Vec::new(),
        }
    }

    /// Takes the answer to a pull.
    pub fn on_pull_reply(
        &mut self,
        now: Instant,
        peer: NodeId,
        answer: PullAnswer,
    ) -> Vec<FeedAction> {
        let origin = self.end_pull(peer);
        let source = RecordSource::Peer(peer);
        let before = self.fold.position();
        let (mut actions, next) = match answer {
            PullAnswer::Current | PullAnswer::Snapshot(_) | PullAnswer::Deltas(_) => {
                return Vec::new();
            }
            PullAnswer::Entries { entries, next } => (self.fold_all(entries, source, origin), next),
            PullAnswer::State {
                checkpoint,
                anchor,
                entries,
                next,
            } => {
                let mut actions = self.adopt(&checkpoint, anchor, source);
                actions.extend(self.fold_all(entries, source, None));
                (actions, next)
            }
        };
        let position = self.fold.position();
        if next > position && position > before {
            actions.extend(self.pull(now, peer, origin));
        }
        actions
    }

    /// Notes that a pull failed or was refused, so that the next one may start.
    pub fn on_pull_failed(&mut self, peer: NodeId) {
        self.end_pull(peer);
    }

    /// Folds the records that come next and skips those that are known.
    fn fold_all(
        &mut self,
        entries: Vec<Entry>,
        source: RecordSource,
        origin: Option<NodeId>,
    ) -> Vec<FeedAction> {
        let version = self.fold.version();
        let mut fresh = Vec::new();
        let mut actions = Vec::new();
        for entry in entries {
            match self.fold.apply(&entry) {
                Err(FoldError::Gap(expected, found)) if found < expected => {
                    self.counts.repeated += 1;
                }
                Err(FoldError::Gap(..)) => {
                    self.counts.gaps += 1;
                    break;
                }
                Ok(Verdict::UnknownRule(rule)) => {
                    actions.extend(self.stall(rule));
                    break;
                }
                Ok(verdict) => {
                    fresh.push(entry.clone());
                    actions.extend(self.note(entry, &verdict, source));
                }
            }
        }
        let push = origin.filter(|_| !fresh.is_empty());
        actions.extend(push.map(|origin| FeedAction::Push {
            origin,
            entries: fresh,
        }));
        actions.extend(self.applied(version));
        actions
    }

    fn note(&mut self, entry: Entry, verdict: &Verdict, source: RecordSource) -> Vec<FeedAction> {
        let here = ReplayStart {
            from: entry.offset,
            at_ms: entry.at_ms,
        };
        let anchor = *self.anchor.get_or_insert(here);
        self.stalled = None;
        self.counts.folded += 1;
        self.ring.push(entry);
        match verdict {
            Verdict::Checkpoint {
                agreement: Agreement::Different,
                ..
            } => return self.diverged(source),
            Verdict::Checkpoint { position, .. } if *position >= anchor.from => {
                let needed = self.ring.at(*position).map(|entry| ReplayStart {
                    from: entry.offset,
                    at_ms: entry.at_ms,
                });
                self.anchor = needed.or(self.anchor);
            }
            Verdict::Malformed => self.counts.malformed += 1,
            Verdict::Rejected(_) => self.counts.rejected += 1,
            Verdict::Checkpoint { .. } | Verdict::Accepted(_) | Verdict::UnknownRule(_) => {}
        }
        Vec::new()
    }

    fn applied(&self, before: Version) -> Vec<FeedAction> {
        match self.fold.version() {
            version if version > before => vec![FeedAction::Applied(version)],
            _ => Vec::new(),
        }
    }

    fn stall(&mut self, rule: u16) -> Vec<FeedAction> {
        match self.stalled.replace(rule) {
            Some(known) if known == rule => Vec::new(),
            _ => vec![FeedAction::Stalled(rule)],
        }
    }

    fn diverged(&mut self, source: RecordSource) -> Vec<FeedAction> {
        self.counts.diverged += 1;
        vec![FeedAction::Diverged(source)]
    }

    /// Starts a pull unless one is open or the feed cannot read on anyway.
    fn pull(&mut self, now: Instant, peer: NodeId, origin: Option<NodeId>) -> Vec<FeedAction> {
        match &mut self.pull {
            _ if self.stalled.is_some() => Vec::new(),
            Some(open) if now < open.until => {
                open.origin = open.origin.or(origin);
                Vec::new()
            }
            pull => {
                let until = now + self.settings.pull_timeout;
                *pull = Some(Pull {
                    peer,
                    until,
                    origin,
                });
                let from = self.fold.position();
                vec![FeedAction::Pull { peer, from }]
            }
        }
    }

    fn end_pull(&mut self, peer: NodeId) -> Option<NodeId> {
        let ended = self.pull.take_if(|pull| pull.peer == peer);
        ended.and_then(|pull| pull.origin)
    }
}

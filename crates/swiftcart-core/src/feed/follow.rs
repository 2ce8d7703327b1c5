//! State machine of the feed, which folds records and adopts checkpoints. The fold never moves to
//! an older position.

mod adopt;
mod serve;

use super::log_scan::LogScan;
use super::ring::Ring;
use super::{FeedAction, FeedCounts, FeedSettings, PullAnswer, RecordSource, ReplayStart};
use crate::{
    Agreement, Checkpoint, Entry, Fold, FoldError, Head, Instant, NodeId, Offset, Verdict, Version,
};

/// State of one node that follows the log of configuration records.
///
/// Records arrive in pages of the platform's log, in pushes and in answers to pulls. They may
/// arrive in any order and any number of times. The feed never moves to an older position or to an
/// older version.
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
    log_start: Offset,
    scan: LogScan,
    replay_start: Option<ReplayStart>,
    stalled: Option<u16>,
    pull: Option<Pull>,
    requested_ms: Option<u64>,
    cached_checkpoint: Option<Checkpoint>,
    counts: FeedCounts,
}

#[derive(Debug, Clone, Copy)]
struct Pull {
    peer: NodeId,
    deadline: Instant,
    /// Root of the push tree in which the pulled records are forwarded, if a push or an offer led
    /// to the pull.
    origin: Option<NodeId>,
}

impl Feed {
    /// Creates the feed of a node that has not read any records.
    #[must_use]
    pub fn new(me: NodeId, settings: FeedSettings) -> Self {
        Self {
            me,
            settings,
            fold: Fold::new(),
            ring: Ring::new(settings.ring_records, settings.ring_bytes),
            log_start: Offset(0),
            scan: LogScan::Inactive,
            replay_start: None,
            stalled: None,
            pull: None,
            requested_ms: None,
            cached_checkpoint: None,
            counts: FeedCounts::default(),
        }
    }

    /// Returns the fold of all records that were read.
    #[must_use]
    pub const fn fold(&self) -> &Fold {
        &self.fold
    }

    /// Returns the offset from which to read the platform's log next.
    #[must_use]
    pub fn from(&self) -> Offset {
        self.scan.scan_offset().unwrap_or(self.fold.position())
    }

    /// Returns the stream position that probes announce to other nodes.
    #[must_use]
    pub fn head(&self) -> Head {
        Head {
            position: self.fold.position().0,
            digest: self.fold.digest().short(),
        }
    }

    /// Returns the unknown rule at which the feed has stalled, if any.
    #[must_use]
    pub const fn stalled(&self) -> Option<u16> {
        self.stalled
    }

    /// Returns the counters of the feed.
    #[must_use]
    pub const fn counts(&self) -> FeedCounts {
        self.counts
    }

    /// Handles a page of the platform's log that was read from [`from`](Self::from).
    ///
    /// `first` is the oldest offset in the log, and `next` is the offset after its last record.
    pub fn on_page(&mut self, first: Offset, next: Offset, entries: Vec<Entry>) -> Vec<FeedAction> {
        self.log_start = self.log_start.max(first);
        let position = self.fold.position();
        let lookback = self.settings.lookback();
        self.scan = self
            .scan
            .with_bounds(position, self.log_start, next, lookback);
        let mut actions = self.scan_for_checkpoint(&entries);
        match self.scan {
            LogScan::Full { at } if at >= next => actions.push(FeedAction::NoStart(self.log_start)),
            LogScan::Recent { .. } | LogScan::Full { .. } => {}
            LogScan::Inactive | LogScan::Failed => {
                actions.extend(self.fold_all(entries, RecordSource::Platform, Some(self.me)));
            }
        }
        actions
    }

    /// Handles records that `peer` pushed down the tree of `origin`.
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
                self.start_pull(now, peer, Some(origin))
            }
            _ => self.fold_all(entries, RecordSource::Peer(peer), Some(origin)),
        }
    }

    /// Handles the stream position that `peer` announced.
    pub fn on_head(&mut self, now: Instant, peer: NodeId, head: Head) -> Vec<FeedAction> {
        let own = self.fold.position().0;
        match head.position {
            remote if remote > own => self.start_pull(now, peer, None),
            remote if remote == own && head.digest != self.fold.digest().short() => {
                self.report_divergence(RecordSource::Peer(peer))
            }
            _ => Vec::new(),
        }
    }

    /// Handles the stream position that `peer` offers in the tree of `origin`, in place of records
    /// that are too long to push.
    pub fn on_offer(
        &mut self,
        now: Instant,
        peer: NodeId,
        origin: NodeId,
        head: Head,
    ) -> Vec<FeedAction> {
        match head.position > self.fold.position().0 {
            true => self.start_pull(now, peer, Some(origin)),
            false => Vec::new(),
        }
    }

    /// Handles the answer to a pull.
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
                replay_start,
                entries,
                next,
            } => {
                let mut actions = self.adopt(&checkpoint, replay_start, source);
                actions.extend(self.fold_all(entries, source, None));
                (actions, next)
            }
        };
        let position = self.fold.position();
        if next > position && position > before {
            actions.extend(self.start_pull(now, peer, origin));
        }
        actions
    }

    /// Ends a pull that failed or was refused, so that the next pull may start.
    pub fn on_pull_failed(&mut self, peer: NodeId) {
        self.end_pull(peer);
    }

    /// Folds the records that follow the current position and skips records that were folded
    /// before.
    fn fold_all(
        &mut self,
        entries: Vec<Entry>,
        source: RecordSource,
        origin: Option<NodeId>,
    ) -> Vec<FeedAction> {
        let version = self.fold.version();
        let mut new_entries = Vec::new();
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
                    new_entries.push(entry.clone());
                    actions.extend(self.record_verdict(entry, &verdict, source));
                }
            }
        }
        let push = origin.filter(|_| !new_entries.is_empty());
        actions.extend(push.map(|origin| FeedAction::Push {
            origin,
            entries: new_entries,
        }));
        actions.extend(self.version_change(version));
        actions
    }

    fn record_verdict(
        &mut self,
        entry: Entry,
        verdict: &Verdict,
        source: RecordSource,
    ) -> Vec<FeedAction> {
        let this_record = ReplayStart {
            from: entry.offset,
            at_ms: entry.at_ms,
        };
        let replay_start = *self.replay_start.get_or_insert(this_record);
        self.stalled = None;
        self.counts.folded += 1;
        self.ring.push(entry);
        match verdict {
            Verdict::Checkpoint {
                agreement: Agreement::Different,
                ..
            } => return self.report_divergence(source),
            Verdict::Checkpoint { position, .. } if *position >= replay_start.from => {
                let needed = self.ring.get(*position).map(|entry| ReplayStart {
                    from: entry.offset,
                    at_ms: entry.at_ms,
                });
                self.replay_start = needed.or(self.replay_start);
            }
            Verdict::Malformed => self.counts.malformed += 1,
            Verdict::Rejected(_) => self.counts.rejected += 1,
            Verdict::Checkpoint { .. } | Verdict::Accepted(_) | Verdict::UnknownRule(_) => {}
        }
        Vec::new()
    }

    fn version_change(&self, before: Version) -> Vec<FeedAction> {
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

    fn report_divergence(&mut self, source: RecordSource) -> Vec<FeedAction> {
        self.counts.diverged += 1;
        vec![FeedAction::Diverged(source)]
    }

    /// Starts a pull unless a pull is pending or the feed has stalled.
    fn start_pull(
        &mut self,
        now: Instant,
        peer: NodeId,
        origin: Option<NodeId>,
    ) -> Vec<FeedAction> {
        match &mut self.pull {
            _ if self.stalled.is_some() => Vec::new(),
            Some(pending) if now < pending.deadline => {
                pending.origin = pending.origin.or(origin);
                Vec::new()
            }
            pull => {
                let deadline = now + self.settings.pull_timeout;
                *pull = Some(Pull {
                    peer,
                    deadline,
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

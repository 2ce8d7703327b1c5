//! Cache of the newest snapshot with its position at the platform, from which starting nodes are
//! served.

use std::time::Duration;

use slog::info;
use swiftcart_core::{
    CompactSnapshot, Instant, NodeId, PositionedSnapshot, PullAnswer, SyncAdmission, SyncLimiter,
    SyncReply, Version,
};

use super::control_loop::Control;
use crate::logging::Event;
use crate::settings::LinkSettings;

/// Maximum number of concurrent answers. Each one has about 60 kB with 2,500 routes.
const MAX_CONCURRENT_ANSWERS: u32 = 16;
/// Answers per second if the bandwidth of the link is unknown.
const DEFAULT_ANSWERS_PER_SECOND: u32 = 100;
/// Size of one answer in kilobits. The bandwidth of the link divided by it limits the answers per
/// second.
const ANSWER_KBIT: u32 = 480;

/// Retention time of the compact snapshot, which has 0.2 MB with 2,500 routes. Nodes that start
/// together send their pulls within a few seconds.
const RETENTION: Duration = Duration::from_secs(10);

/// Number of starting nodes that may read the platform without spreading their reads.
const UNSPREAD_NODES: usize = 60;
/// Time that each further node adds to the spread of reads. A snapshot of 2,500 routes has 0.66 MB
/// at the platform, which serves 80 MB/s to all nodes together.
const SPREAD_PER_NODE: Duration = Duration::from_millis(8);
/// Bandwidth of a link, in kbit/s, that transfers such a snapshot in half a second. Nodes with a
/// faster link read earlier and pass the snapshot on.
const SLOW_LINK_KBIT_S: f64 = 10_000.0;
/// Maximum time that a starting node waits for the directory before it reads the platform.
const DIRECTORY_TIMEOUT: Duration = Duration::from_millis(600);

/// Newest snapshot in the form in which it is sent, with a rate limit.
#[derive(Debug)]
pub(super) struct SnapshotCache {
    positioned: Option<PositionedSnapshot>,
    version: Version,
    /// Time of the last use.
    last_used: Instant,
    limiter: SyncLimiter,
}

impl SnapshotCache {
    pub(super) fn new(link: LinkSettings) -> Self {
        let rate = link
            .rate()
            .map_or(DEFAULT_ANSWERS_PER_SECOND, |rate| rate.kbit_s / ANSWER_KBIT);
        Self {
            positioned: None,
            version: Version::NONE,
            last_used: Instant::default(),
            limiter: SyncLimiter::new(MAX_CONCURRENT_ANSWERS, rate),
        }
    }

    /// Stores the compact form of a version; `None` if its position is unknown to this node.
    fn store(&mut self, now: Instant, version: Version, positioned: Option<PositionedSnapshot>) {
        self.version = version;
        self.positioned = positioned;
        self.last_used = now;
    }

    /// Evicts the snapshot if it has not been requested within [`RETENTION`].
    pub(super) fn tick(&mut self, now: Instant) {
        if self.positioned.is_some() && now.since(self.last_used) >= RETENTION {
            self.store(now, Version::NONE, None);
        }
    }
}

impl Control {
    /// Answers a node that has no version yet with the newest snapshot, including its position if
    /// this node knows it.
    pub(super) fn answer_snapshot_pull(&mut self) -> SyncReply {
        let now = self.now();
        let newest = self.stream.source.snapshot();
        let Some(newest) = newest.filter(|newest| newest.version > Version::NONE) else {
            return SyncReply::Feed(PullAnswer::Current);
        };
        if let SyncAdmission::Busy { retry_after } = self.snapshot_cache.limiter.admit(now) {
            let retry_ms = u32::try_from(retry_after.as_millis()).unwrap_or(u32::MAX);
            return SyncReply::Busy { retry_ms };
        }
        self.snapshot_cache.limiter.done();
        if self.snapshot_cache.version != newest.version {
            let place = self
                .reader
                .snapshots()
                .and_then(|snapshots| snapshots.place(newest.version));
            let compact = place.and_then(|_| CompactSnapshot::new(&newest));
            let positioned = place.zip(compact);
            let positioned = positioned.map(|(next, compact)| PositionedSnapshot { next, compact });
            self.snapshot_cache.store(now, newest.version, positioned);
        }
        self.snapshot_cache.last_used = now;
        match &self.snapshot_cache.positioned {
            Some(positioned) => SyncReply::Whole(positioned.clone()),
            None => SyncReply::Feed(PullAnswer::Snapshot(newest)),
        }
    }

    /// Applies a snapshot from another node, then checks the platform for newer versions.
    pub(super) fn on_positioned_snapshot(&mut self, peer: NodeId, positioned: PositionedSnapshot) {
        let now = self.now();
        let Ok(snapshot) = positioned.compact.expand() else {
            self.stream.source.on_pull_failed(peer);
            self.count_pull("malformed");
            return;
        };
        let (version, next) = (snapshot.version, positioned.next);
        info!(self.shared.logger, ""; "event" => Event::Found, "version" => version.0,
            "peer" => %peer);
        let answer = PullAnswer::Snapshot(snapshot.into());
        let actions = self.stream.source.on_pull_reply(now, peer, answer);
        self.snapshot_cache.store(now, version, Some(positioned));
        self.apply_feed_actions(actions);
        // When a whole mesh starts for the first time, peers confirm the version instead.
        let first = self.shared.settings.first_start;
        if self.read_role(now).joining && !first {
            self.reader.check_newer(version, next);
        }
    }

    /// Returns the time over which starting nodes spread their reads of the platform. Until its
    /// turn, a node may receive the version from nodes that have already read it.
    pub(super) fn read_spread(&self) -> Duration {
        let link = self.shared.settings.link.rate();
        let slow = link.map_or(1.0, |rate| SLOW_LINK_KBIT_S / f64::from(rate.kbit_s));
        let beyond = self.listed_nodes.saturating_sub(UNSPREAD_NODES);
        let share = SPREAD_PER_NODE.saturating_mul(u32::try_from(beyond).unwrap_or(u32::MAX));
        share.mul_f64(slow.clamp(0.0, 1.0))
    }

    /// Returns `true` if a starting node may read the platform.
    pub(super) fn may_read(&self, now: Instant) -> bool {
        self.discovered || now.elapsed() >= DIRECTORY_TIMEOUT
    }
}

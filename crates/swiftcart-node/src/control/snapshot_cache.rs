//! Whole versions with their place at the platform, which nodes that start get from others.

use std::time::Duration;

use slog::info;
use swiftcart_core::{
    CompactSnapshot, Instant, NodeId, PositionedSnapshot, PullAnswer, SyncAdmission, SyncLimiter,
    SyncReply, Version,
};

use super::control_loop::Control;
use crate::logging::Event;
use crate::settings::LinkSettings;

/// Answers under way at once. Each has some 60 kB where there are 2,500 routes.
const MAX_CONCURRENT_ANSWERS: u32 = 16;
/// Answers a second where the link is not known.
const DEFAULT_ANSWERS_PER_SECOND: u32 = 100;
/// Kilobits of one answer: that many a second fill the link.
const ANSWER_KBIT: u32 = 480;

/// How long a version is kept in the form in which it is told, 0.2 MB for 2,500 routes: nodes
/// that start together ask within some seconds.
const RETENTION: Duration = Duration::from_secs(10);

/// The nodes of a mesh that starts which read the platform at once.
const UNSPREAD_NODES: usize = 60;
/// What each further one adds to the time over which they spread their reads: a version of 2,500 routes has
/// 0.66 MB there, of which the platform gives out 80 MB a second to all.
const SPREAD_PER_NODE: Duration = Duration::from_millis(8);
/// The rate of a link, in kilobits a second, at which such a version takes half a second. Who has a
/// faster one reads sooner, and tells the others.
const SLOW_LINK_KBIT_S: f64 = 10_000.0;
/// The time within which the directory answers, or is not waited for any longer.
const DIRECTORY_TIMEOUT: Duration = Duration::from_millis(600);

/// Holds the newest version as it is told, and bounds how often.
#[derive(Debug)]
pub(super) struct SnapshotCache {
    positioned: Option<PositionedSnapshot>,
    version: Version,
    /// When it was needed last.
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

    /// Keeps what is told of a version; `None` when its place is not known here.
    fn store(&mut self, now: Instant, version: Version, positioned: Option<PositionedSnapshot>) {
        self.version = version;
        self.positioned = positioned;
        self.last_used = now;
    }

    /// Drops what nobody has asked for lately.
    pub(super) fn tick(&mut self, now: Instant) {
        if self.positioned.is_some() && now.since(self.last_used) >= RETENTION {
            self.store(now, Version::NONE, None);
        }
    }
}

impl Control {
    /// Answers a node that has no version yet: by the newest one with its place, where that is
    /// known here.
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

    /// Takes the version that another node told, and looks behind it at the platform.
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
        // While a whole mesh starts for the first time, peers vouch for the version.
        let first = self.shared.settings.first_start;
        if self.read_role(now).joining && !first {
            self.reader.check_newer(version, next);
        }
    }

    /// Returns how long a node that starts leaves the platform to others, which tell it of the
    /// version then.
    pub(super) fn read_spread(&self) -> Duration {
        let link = self.shared.settings.link.rate();
        let slow = link.map_or(1.0, |rate| SLOW_LINK_KBIT_S / f64::from(rate.kbit_s));
        let beyond = self.listed_nodes.saturating_sub(UNSPREAD_NODES);
        let share = SPREAD_PER_NODE.saturating_mul(u32::try_from(beyond).unwrap_or(u32::MAX));
        share.mul_f64(slow.clamp(0.0, 1.0))
    }

    /// Tells whether a node that starts may read the platform already.
    pub(super) fn may_read(&self, now: Instant) -> bool {
        self.discovered || now.elapsed() >= DIRECTORY_TIMEOUT
    }
}

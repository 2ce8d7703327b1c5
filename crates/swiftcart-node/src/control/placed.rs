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
const AT_ONCE: u32 = 16;
/// Answers a second where the link is not known.
const RATE: u32 = 100;
/// Kilobits of one answer: that many a second fill the link.
const ANSWER_KBIT: u32 = 480;

/// How long a version is kept in the form in which it is told, 0.2 MB for 2,500 routes: nodes
/// that start together ask within some seconds.
const KEPT: Duration = Duration::from_secs(10);

/// The nodes of a mesh that starts which read the platform at once.
const AT_LIBERTY: usize = 60;
/// What each further one adds to the time over which they spread their reads: a version of 2,500 routes has
/// 0.66 MB there, of which the platform gives out 80 MB a second to all.
const JOIN_SHARE: Duration = Duration::from_millis(8);
/// The rate of a link, in kilobits a second, at which such a version takes half a second. Who has a
/// faster one reads sooner, and tells the others.
const SLOW_KBIT: f64 = 10_000.0;
/// The time within which the directory answers, or is not waited for any longer.
const LISTED_WITHIN: Duration = Duration::from_millis(600);

/// Holds the newest version as it is told, and bounds how often.
#[derive(Debug)]
pub(super) struct Wholes {
    placed: Option<PositionedSnapshot>,
    version: Version,
    /// When it was needed last.
    used: Instant,
    gate: SyncLimiter,
}

impl Wholes {
    pub(super) fn new(link: LinkSettings) -> Self {
        let rate = link.rate().map_or(RATE, |rate| rate.kbit_s / ANSWER_KBIT);
        Self {
            placed: None,
            version: Version::NONE,
            used: Instant::default(),
            gate: SyncLimiter::new(AT_ONCE, rate),
        }
    }

    /// Keeps what is told of a version; `None` when its place is not known here.
    fn put(&mut self, now: Instant, version: Version, placed: Option<PositionedSnapshot>) {
        self.version = version;
        self.placed = placed;
        self.used = now;
    }

    /// Drops what nobody has asked for lately.
    pub(super) fn tick(&mut self, now: Instant) {
        if self.placed.is_some() && now.since(self.used) >= KEPT {
            self.put(now, Version::NONE, None);
        }
    }
}

impl Control {
    /// Answers a node that has no version yet: by the newest one with its place, where that is
    /// known here.
    pub(super) fn tell_whole(&mut self) -> SyncReply {
        let now = self.now();
        let newest = self.stream.source.snapshot();
        let Some(newest) = newest.filter(|newest| newest.version > Version::NONE) else {
            return SyncReply::Feed(PullAnswer::Current);
        };
        if let SyncAdmission::Busy { retry_after } = self.wholes.gate.admit(now) {
            let retry_ms = u32::try_from(retry_after.as_millis()).unwrap_or(u32::MAX);
            return SyncReply::Busy { retry_ms };
        }
        self.wholes.gate.done();
        if self.wholes.version != newest.version {
            let place = self
                .reader
                .whole()
                .and_then(|whole| whole.place(newest.version));
            let compact = place.and_then(|_| CompactSnapshot::new(&newest));
            let placed = place.zip(compact);
            let placed = placed.map(|(next, compact)| PositionedSnapshot { next, compact });
            self.wholes.put(now, newest.version, placed);
        }
        self.wholes.used = now;
        match &self.wholes.placed {
            Some(placed) => SyncReply::Whole(placed.clone()),
            None => SyncReply::Feed(PullAnswer::Snapshot(newest)),
        }
    }

    /// Takes the version that another node told, and looks behind it at the platform.
    pub(super) fn on_whole(&mut self, peer: NodeId, placed: PositionedSnapshot) {
        let now = self.now();
        let Ok(snapshot) = placed.compact.expand() else {
            self.stream.source.on_pull_failed(peer);
            self.count_pull("malformed");
            return;
        };
        let (version, next) = (snapshot.version, placed.next);
        info!(self.shared.logger, ""; "event" => Event::Found, "version" => version.0,
            "peer" => %peer);
        let answer = PullAnswer::Snapshot(snapshot.into());
        let actions = self.stream.source.on_pull_reply(now, peer, answer);
        self.wholes.put(now, version, Some(placed));
        self.follow(actions);
        // While a whole mesh starts for the first time, peers vouch for the version.
        let first = self.shared.settings.first_start;
        if self.duty(now).joining && !first {
            self.reader.look_behind(version, next);
        }
    }

    /// Returns how long a node that starts leaves the platform to others, which tell it of the
    /// version then.
    pub(super) fn reading_spread(&self) -> Duration {
        let link = self.shared.settings.link.rate();
        let slow = link.map_or(1.0, |rate| SLOW_KBIT / f64::from(rate.kbit_s));
        let beyond = self.listed.saturating_sub(AT_LIBERTY);
        let share = JOIN_SHARE.saturating_mul(u32::try_from(beyond).unwrap_or(u32::MAX));
        share.mul_f64(slow.clamp(0.0, 1.0))
    }

    /// Tells whether a node that starts may read the platform already.
    pub(super) fn may_read(&self, now: Instant) -> bool {
        self.found || now.elapsed() >= LISTED_WITHIN
    }
}

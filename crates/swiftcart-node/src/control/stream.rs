//! State of the configuration stream: the feed, the enforcement gate and the readiness gate.

use std::collections::BTreeMap;

use swiftcart_core::{
    EnforcementAction, EnforcementGate, FeedAction, FeedSettings, Instant, NodeId, NotReady,
    Offset, ReadinessGate, Version, Witness,
};

use super::reader::Read;
use super::source::Source;
use crate::config::Config;
use crate::settings::Settings;

/// Known state of the stream, and the version in force.
#[derive(Debug)]
pub(super) struct Stream {
    pub(super) source: Source,
    pub(super) witness: Witness,
    pub(super) readiness: ReadinessGate,
    enforcement: EnforcementGate,
    /// Versions that wait for the acknowledgement of a witness.
    unacknowledged: BTreeMap<Version, Config>,
    /// Configuration that passed the enforcement gate.
    enforced: Config,
    /// Clock of the platform, in milliseconds, and the local time at which it was read.
    platform_clock: Option<(Instant, u64)>,
    /// Set if a ready peer may confirm the version, as during an outage of the platform.
    peers_confirm: bool,
}

/// Effects for the control loop to apply after an event.
#[derive(Debug, Default)]
pub(super) struct StreamEffects {
    /// Actions of the feed, except [`FeedAction::Applied`].
    pub(super) feed: Vec<FeedAction>,
    /// Versions to report, with the witnesses that receive each report.
    pub(super) reports: Vec<(Version, Vec<NodeId>)>,
    /// Version that is now enforced, if it changed.
    pub(super) enforced: Option<EnforcedVersion>,
}

/// Version that passed the enforcement gate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct EnforcedVersion {
    pub(super) version: Version,
    pub(super) cause: EnforcementCause,
}

/// Reason why a version passed the enforcement gate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum EnforcementCause {
    /// This witness acknowledged the version.
    Acknowledged(NodeId),
    /// No witness acknowledged the version in time.
    Timeout,
    /// The node knows no witness.
    NoWitness,
}

impl Stream {
    /// Creates a stream that follows the platform's log, or validated snapshots if `from_snapshots`
    /// is set.
    pub(super) fn new(me: NodeId, settings: &Settings, from_snapshots: bool) -> Self {
        let retention = std::time::Duration::from_secs(settings.platform.retention_s);
        let source = match from_snapshots {
            true => Source::snapshots(me),
            false => Source::log(me, FeedSettings::new(retention)),
        };
        Self {
            enforced: source.config(),
            source,
            witness: Witness::new(),
            readiness: ReadinessGate::new(),
            enforcement: EnforcementGate::new(),
            unacknowledged: BTreeMap::new(),
            platform_clock: None,
            peers_confirm: from_snapshots && settings.first_start,
        }
    }

    /// Returns `true` if peers have to confirm the version that this node has.
    pub(super) fn needs_peer_confirmation(&mut self) -> bool {
        let asks = self.peers_confirm && self.source.version() > Version::NONE;
        if asks {
            self.readiness.on_outage();
        }
        asks
    }

    /// Applies the result of a read of the platform.
    pub(super) fn on_read(
        &mut self,
        now: Instant,
        read: Read,
        witnesses: &[NodeId],
    ) -> StreamEffects {
        let actions = match (&mut self.source, read) {
            (Source::Log(feed), Read::Page(page)) => {
                self.platform_clock = Some((now, page.now_ms));
                self.readiness.on_log_end(page.next);
                feed.on_page(page.first, page.next, page.entries)
            }
            (Source::SnapshotFeed(snapshots), Read::Newest(Some(snapshot))) => {
                self.readiness.on_log_end(Offset(snapshot.version.0));
                snapshots.on_read(snapshot)
            }
            // No version is published yet; a node with the first version is up to date.
            (Source::SnapshotFeed(_), Read::Newest(None)) => {
                self.readiness.on_log_end(Offset(1));
                Vec::new()
            }
            (Source::SnapshotFeed(_), Read::Confirmed(version)) => {
                self.readiness.on_log_end(Offset(version.0));
                Vec::new()
            }
            (Source::Log(_), Read::Newest(_) | Read::Confirmed(_) | Read::UnknownPosition)
            | (Source::SnapshotFeed(_), Read::Page(_) | Read::UnknownPosition) => Vec::new(),
        };
        self.process_actions(now, actions, witnesses)
    }

    /// Applies records or a delta that another node pushed.
    ///
    /// # Errors
    ///
    /// Returns the decoding error if the bytes are malformed.
    pub(super) fn on_push(
        &mut self,
        now: Instant,
        peer: NodeId,
        origin: NodeId,
        bytes: &[u8],
        witnesses: &[NodeId],
    ) -> Result<StreamEffects, postcard::Error> {
        let actions = self.source.on_push(now, peer, origin, bytes)?;
        Ok(self.process_actions(now, actions, witnesses))
    }

    /// Splits off the applied versions, which go to the enforcement gate first.
    pub(super) fn process_actions(
        &mut self,
        now: Instant,
        actions: Vec<FeedAction>,
        witnesses: &[NodeId],
    ) -> StreamEffects {
        let is_applied = |action: &FeedAction| matches!(action, FeedAction::Applied(_));
        let (applied, feed): (Vec<_>, Vec<_>) = actions.into_iter().partition(is_applied);
        let mut effects = match applied.is_empty() {
            true => StreamEffects::default(),
            false => self.advance(now, witnesses),
        };
        effects.feed = feed;
        effects
    }

    /// Handles the acknowledgement of a witness.
    pub(super) fn on_ack(
        &mut self,
        now: Instant,
        peer: NodeId,
        version: Version,
        witnesses: &[NodeId],
    ) -> StreamEffects {
        let actions = self.enforcement.on_ack(now, peer, version, witnesses);
        self.enforce(actions, EnforcementCause::Acknowledged(peer))
    }

    /// Enforces versions whose witnesses did not acknowledge them in time.
    pub(super) fn on_tick(&mut self, now: Instant, witnesses: &[NodeId]) -> StreamEffects {
        let actions = self.enforcement.on_tick(now, witnesses);
        self.enforce(actions, EnforcementCause::Timeout)
    }

    /// Returns the checkpoint to append if one is due for a reader of this rank.
    pub(super) fn checkpoint(&mut self, now: Instant, rank: usize) -> Option<FeedAction> {
        let (at, ms) = self.platform_clock?;
        let passed = u64::try_from(now.since(at).as_millis()).unwrap_or(u64::MAX);
        match &mut self.source {
            Source::Log(feed) => feed.on_tick(ms.saturating_add(passed), rank),
            Source::SnapshotFeed(_) => None,
        }
    }

    /// Returns the offset of the next read of the platform's log.
    pub(super) fn from(&self) -> Offset {
        self.source.from()
    }

    /// Returns the configuration that may be served.
    ///
    /// # Errors
    ///
    /// Returns the condition that a node that has just started still waits for.
    pub(super) fn served(&mut self, now: Instant) -> Result<&Config, NotReady> {
        let version = self.enforced.version();
        let position = match version == self.source.version() {
            true => self.source.position(),
            // A newer version still waits for its witness, so the node is not yet at that position.
            false => Offset(version.0),
        };
        self.readiness.ready(now, position, version)?;
        Ok(&self.enforced)
    }

    /// Returns the version reported to a joiner, or [`Version::NONE`] while this node is joining
    /// itself.
    pub(super) fn confirmed_version(&mut self, now: Instant) -> Version {
        self.served(now).map_or(Version::NONE, Config::version)
    }

    fn advance(&mut self, now: Instant, witnesses: &[NodeId]) -> StreamEffects {
        let version = self.source.version();
        self.unacknowledged.insert(version, self.source.config());
        let actions = self.enforcement.on_version(now, version, witnesses);
        self.enforce(actions, EnforcementCause::NoWitness)
    }

    fn enforce(
        &mut self,
        actions: Vec<EnforcementAction>,
        cause: EnforcementCause,
    ) -> StreamEffects {
        let mut effects = StreamEffects::default();
        for action in actions {
            match action {
                EnforcementAction::Report { version, to } => effects.reports.push((version, to)),
                EnforcementAction::Enforce(version) => {
                    let later = self.unacknowledged.split_off(&Version(version.0 + 1));
                    let ready = std::mem::replace(&mut self.unacknowledged, later);
                    if let Some((_, latest)) = ready.into_iter().next_back() {
                        self.enforced = latest;
                        effects.enforced = Some(EnforcedVersion { version, cause });
                    }
                }
            }
        }
        effects
    }
}

//! Applies the actions of the configuration feed.

use std::time::Duration;

use serde::Serialize;
use slog::{info, warn};
use swiftcart_core::{
    Body, Checkpoint, Datagram, Envelope, FeedAction, Instant, NodeId, Offset, SyncReply,
    SyncRequest, push_children,
};
use swiftcart_platform::PlatformError;

use super::control_loop::Control;
use super::net::{Traffic, count};
use super::pulls::PullOutcome;
use super::reader::{Read, ReadOutcome, ReadRole, STREAM};
use super::stream::StreamEffects;
use super::version_log::VersionSource;
use super::{Input, report_skipped};
use crate::edge::SnapshotSource;
use crate::logging::Event;

/// Maximum encoded length of pushed records. Longer records are offered for a pull.
const MAX_PUSH_BYTES: usize = 1100;

/// Time after its start from which a node trusts its rank in its failure domain. Half of the nodes
/// of the failure domain are known after 0.5 s. Without this delay every node would act as a
/// reader.
const RANK_DELAY: Duration = Duration::from_secs(1);

/// Time per known node over which joiners that follow a log spread their first reads.
const JOIN_SPREAD_PER_NODE: Duration = Duration::from_millis(5);

/// Time for which a node waits for the readers' first configuration when the whole mesh starts for
/// the first time. Callers arrive seconds later, and one read per node would put the greatest load
/// on the platform.
const FIRST_START_WAIT: Duration = Duration::from_secs(4);

impl Control {
    pub(super) fn on_push(&mut self, now: Instant, from: NodeId, origin: NodeId, entries: &[u8]) {
        let before = self.stream.source.version();
        let witnesses = &self.roster.witnesses;
        match self.stream.on_push(now, from, origin, entries, witnesses) {
            Ok(effects) => {
                self.log_received(before, VersionSource::Push { from, origin });
                self.apply_effects(effects);
            }
            Err(_) => {
                let counters = &self.shared.counters;
                counters.count("swiftcart_datagrams_dropped_total", "reason", "malformed");
            }
        }
    }

    pub(super) fn on_read(&mut self, outcome: ReadOutcome) {
        let now = self.now();
        let read_role = self.read_role(now);
        let unreadable = self.reader.finish(now, read_role, &outcome);
        if unreadable > 0 {
            report_skipped(&self.shared, "config", unreadable);
        }
        let orders = self.reader.snapshots().map(SnapshotSource::orders);
        self.apply_orders(now, &orders.unwrap_or_default());
        let drains = self.reader.snapshots().map(SnapshotSource::drains);
        self.apply_drains(now, &drains.unwrap_or_default());
        match outcome.result {
            Ok(read) => {
                self.record_platform_state(None);
                if let Read::Page(page) = &read {
                    let len = page.entries.iter().map(|e| e.body.len()).sum();
                    count(&self.shared, Traffic::PlatformRead, len);
                }
                let before = self.stream.source.version();
                let (end, from) = (read.end(), self.stream.from());
                let effects = self.stream.on_read(now, read, &self.roster.witnesses);
                self.log_received(before, VersionSource::Platform);
                self.push_elsewhere(&effects.feed);
                self.apply_effects(effects);
                match end {
                    Some(end) if self.stream.source.position() >= end => {
                        self.confirm(now, outcome.read);
                    }
                    Some(_) if self.stream.from() == from => self.reader.pause(now),
                    Some(_) | None => {}
                }
                let read_role = self.read_role(now);
                self.reader.tick(now, read_role, self.stream.from());
            }
            Err(PlatformError::TooLarge) => {}
            Err(e) => {
                self.log_failed_read(outcome.read.kind, &e);
                if outcome.read.kind.confirms() {
                    self.freshness.on_failed();
                }
                self.stream.readiness.on_outage();
                self.record_platform_state(Some(&e));
            }
        }
    }

    fn record_platform_state(&mut self, error: Option<&PlatformError>) {
        let logger = &self.shared.logger;
        match error {
            Some(e) => {
                let counters = &self.shared.counters;
                counters.count("swiftcart_platform_errors_total", "reason", e.as_str());
                if !std::mem::replace(&mut self.platform_down, true) {
                    warn!(logger, ""; "event" => Event::PlatformDown, "error" => %e);
                }
            }
            None if std::mem::take(&mut self.platform_down) => {
                info!(logger, ""; "event" => Event::PlatformUp);
            }
            None => {}
        }
    }

    pub(super) fn on_pulled(&mut self, pulled: PullOutcome) {
        let now = self.now();
        let peer = pulled.peer;
        let before = self.stream.source.version();
        self.pulls.end(peer);
        match pulled.result {
            Ok(SyncReply::Feed(answer)) => {
                let actions = self.stream.source.on_pull_reply(now, peer, answer);
                self.apply_feed_actions(actions);
            }
            Ok(SyncReply::Whole(positioned)) => self.on_positioned_snapshot(peer, positioned),
            Ok(SyncReply::Members(entries)) => {
                let actions = self.membership.merge(now, entries);
                self.apply_member_actions(actions);
            }
            Ok(SyncReply::Busy { .. }) => {
                self.stream.source.on_pull_failed(peer);
                self.count_pull("busy");
            }
            Err(e) => {
                // The peer may run the previous release, which does not support snapshot pulls.
                self.pulls_snapshots = false;
                self.stream.source.on_pull_failed(peer);
                self.count_pull(e.as_str());
            }
        }
        self.log_received(before, VersionSource::Pull(peer));
    }

    pub(super) fn count_pull(&self, reason: &'static str) {
        let counters = &self.shared.counters;
        counters.count("swiftcart_pulls_failed_total", "reason", reason);
    }

    /// Applies the feed's actions, which may produce further ones.
    pub(super) fn apply_feed_actions(&mut self, actions: Vec<FeedAction>) {
        let now = self.now();
        let effects = self
            .stream
            .process_actions(now, actions, &self.roster.witnesses);
        self.apply_effects(effects);
    }

    pub(super) fn apply_effects(&mut self, effects: StreamEffects) {
        if let Some(enforced) = effects.enforced {
            self.stale = true;
            self.log_enforced(enforced);
        }
        for (version, to) in effects.reports {
            for witness in to {
                self.net.send(witness, &Datagram::Report { version });
            }
        }
        for action in effects.feed {
            self.apply_feed_action(action);
        }
    }

    fn apply_feed_action(&mut self, action: FeedAction) {
        let logger = &self.shared.logger;
        let counters = &self.shared.counters;
        match action {
            FeedAction::Push { origin, entries } => self.push(origin, entries.as_slice()),
            FeedAction::Pull { peer, from } => {
                let wants_snapshot =
                    self.pulls_snapshots && from == Offset(0) && self.reader.snapshots().is_some();
                let request = match wants_snapshot {
                    true => SyncRequest::Whole,
                    false => SyncRequest::Feed { from },
                };
                if !self.pull(peer, &request) {
                    self.stream.source.on_pull_failed(peer);
                }
            }
            FeedAction::Stalled(rule) => {
                self.stream.readiness.on_outage();
                warn!(logger, ""; "event" => Event::Stalled, "rule" => rule);
            }
            FeedAction::Diverged(source) => {
                counters.count("swiftcart_diverged_total", "source", source.as_str());
                warn!(logger, ""; "event" => Event::Diverged, "source" => ?source);
            }
            FeedAction::NoStart(first) => {
                self.stream.readiness.on_outage();
                warn!(logger, ""; "event" => Event::NoStart, "first" => first.0);
            }
            FeedAction::AppendCheckpoint(checkpoint) => self.append(checkpoint),
            FeedAction::PushDelta {
                origin,
                delta: Some(delta),
            } => self.push(origin, &*delta),
            FeedAction::PushDelta {
                origin,
                delta: None,
            } => {
                let head = self.stream.source.head();
                self.send_to_children(origin, &Datagram::Offer { origin, head });
            }
            FeedAction::Applied(_) => {}
        }
    }

    /// Forwards records or a delta to this node's children in the push tree of `origin`.
    fn push<T: Serialize + ?Sized>(&self, origin: NodeId, entries: &T) {
        let head = self.stream.source.head();
        let datagram = push_datagram(origin, entries).unwrap_or(Datagram::Offer { origin, head });
        self.send_to_children(origin, &datagram);
    }

    /// Pushes what this node has read to the other failure domains, if it fits into a datagram.
    ///
    /// Longer records and deltas are pulled by the nodes that learn of them from a confirmation.
    fn push_elsewhere(&self, actions: &[FeedAction]) {
        for action in actions {
            let datagram = match action {
                FeedAction::Push { origin, entries } => push_datagram(*origin, entries),
                FeedAction::PushDelta {
                    origin,
                    delta: Some(delta),
                } => push_datagram(*origin, &**delta),
                _ => None,
            };
            if let Some(datagram) = datagram {
                self.send_elsewhere(&datagram);
            }
        }
    }

    /// Sends a datagram to nodes of the other failure domains, which forward it.
    fn send_elsewhere(&self, datagram: &Datagram) {
        let (me, fanout) = (self.shared.id, self.fanout());
        for ids in &self.roster.elsewhere {
            for id in push_children(ids, me, me, fanout) {
                self.net.send(id, datagram);
            }
        }
    }

    pub(super) fn fanout(&self) -> usize {
        usize::try_from(self.shared.settings.gossip.fanout).unwrap_or(1)
    }

    /// Sends a datagram to this node's children in the push tree of `origin`.
    fn send_to_children(&self, origin: NodeId, datagram: &Datagram) {
        for child in push_children(&self.roster.near, origin, self.shared.id, self.fanout()) {
            self.net.send(child, datagram);
        }
    }

    fn append(&self, checkpoint: Checkpoint) {
        let body = Envelope::new(Body::Checkpoint(checkpoint));
        let platform = self.reader.platform().clone();
        let sender = self.sender.clone();
        tokio::spawn(async move {
            let result = platform.append(STREAM, &body.encode()).await.map(drop);
            // Sending fails only after the control loop has stopped.
            drop(sender.send(Input::CheckpointAppended(result)).await);
        });
    }

    /// Asks peers for the version that this node last reported, while the platform is unreachable
    /// or peers have to confirm this node's version.
    pub(super) fn request_floors(&mut self, now: Instant, read_role: ReadRole) {
        let uses_peers = self.platform_down || self.stream.needs_peer_confirmation();
        if !read_role.joining || !uses_peers {
            return;
        }
        for peer in self
            .stream
            .readiness
            .peers_to_query(now, &self.roster.floor_peers)
        {
            self.net.send(peer, &Datagram::FloorAsk);
        }
    }

    pub(super) fn read_role(&mut self, now: Instant) -> ReadRole {
        let rank_known = self.members_known(now) && now.elapsed() >= RANK_DELAY;
        let reads = rank_known && self.roster.rank < self.reader.readers();
        let first = self.shared.settings.first_start;
        let known = u32::try_from(self.roster.known).unwrap_or(u32::MAX);
        ReadRole {
            rank: self.roster.rank,
            joining: self.stream.served(now).is_err(),
            spread: match self.reader.snapshots() {
                Some(_) => self.read_spread(),
                None => JOIN_SPREAD_PER_NODE.saturating_mul(known),
            },
            rank_known,
            deferred: !self.may_read(now) || first && !reads && now.elapsed() < FIRST_START_WAIT,
            confirm: self
                .freshness
                .due(now, self.roster.takeover)
                .filter(|_| rank_known),
        }
    }
}

/// Returns the message with records or a delta, or `None` if they do not fit into a datagram.
fn push_datagram<T: Serialize + ?Sized>(origin: NodeId, entries: &T) -> Option<Datagram> {
    let entries = postcard::to_stdvec(entries).ok()?;
    (entries.len() <= MAX_PUSH_BYTES).then_some(Datagram::Push { origin, entries })
}

//! Control loop: the task that owns the node's control state.

use std::sync::Arc;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use slog::{info, warn};
use swiftcart_core::{
    Backend, Datagram, Freshness, Incarnation, Instant, Liveness, Member, Membership, MeshKey,
    NodeId, PaceAnnouncer, SyncReply, SyncRequest,
};
use tokio::sync::{mpsc, watch};
use tokio::time::{MissedTickBehavior, interval};

use super::board::BoardWriter;
use super::departures::DepartureControl;
use super::drains::DrainGossip;
use super::finder::Finder;
use super::findings::FindingsGossip;
use super::net::Net;
use super::publish;
use super::pulls::Pulls;
use super::quarantine_store::QuarantineStore;
use super::quotas::Accounting;
use super::reader::Reader;
use super::rollouts::RolloutWatch;
use super::roster::Roster;
use super::snapshot_cache::SnapshotCache;
use super::stream::Stream;
use super::sync_server::{PendingPull, SyncServer};
use super::{ControlError, Input};
use crate::edge::PlatformAdapters;
use crate::logging::{Event, unix_ms};
use crate::registration::Identity;
use crate::shared::Shared;

/// Interval between ticks of the state machines.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum time that a starting node waits for another node to send the member list.
const JOIN_TIMEOUT: Duration = Duration::from_secs(2);
/// Minimum interval between two views that differ only in their members. The cost of building a
/// view is proportional to the size of the mesh. When many processes start at once, each node
/// learns of all others within half a second.
const MIN_VIEW_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum number of queued events.
const QUEUE_CAPACITY: usize = 1024;

/// Control state of one node.
#[derive(Debug)]
pub(super) struct Control {
    pub(super) shared: Arc<Shared>,
    pub(super) membership: Membership,
    pub(super) stream: Stream,
    pub(super) roster: Roster,
    pub(super) pulls: Pulls,
    pub(super) reader: Reader,
    /// Age of the confirmation that this node has the newest version.
    pub(super) freshness: Freshness,
    /// Round of the last confirmation that was forwarded.
    pub(super) forwarded_round: Option<u64>,
    pub(super) snapshot_cache: SnapshotCache,
    /// Set if this node, while it has no version, pulls positioned snapshots from other nodes.
    pub(super) pulls_snapshots: bool,
    /// Number of nodes that the directory listed.
    pub(super) listed_nodes: usize,
    pub(super) net: Net,
    inputs: mpsc::Receiver<Input>,
    pub(super) sender: mpsc::Sender<Input>,
    pull_requests: mpsc::Receiver<PendingPull>,
    /// Kept so that the server runs as long as the node.
    _server: SyncServer,
    pub(super) backend: watch::Receiver<Option<Backend>>,
    /// Identity of the backend server process that was last advertised to other nodes.
    pub(super) identity: Option<Identity>,
    /// Set once the directory was queried, or if there is no directory.
    pub(super) discovered: bool,
    /// Kept so that discovery runs as long as the node.
    _finder: Option<Finder>,
    /// Gossip state of findings about requests that crash backend servers.
    pub(super) findings: FindingsGossip,
    /// Persistent store of quarantined requests, if there is a directory.
    pub(super) quarantine_store: Option<QuarantineStore>,
    /// Usage of the client accounts for which this node keeps the ledger.
    pub(super) accounting: Accounting,
    /// Departures of the local backend server, and those that this node remembers for others.
    pub(super) departures: DepartureControl,
    /// Drained failure domains and their gossip state.
    pub(super) drain_gossip: DrainGossip,
    /// Set if the local backend server is advertised as cold.
    pub(super) advertised_cold: bool,
    /// Known roll-outs and those that this node watches.
    pub(super) watch: RolloutWatch,
    /// Writer of roll-out records, if the platform has a board for them.
    pub(super) board: Option<BoardWriter>,
    /// Schedule for announcing the pace of the local backend server to all nodes.
    pub(super) pace_announcer: PaceAnnouncer,
    pub(super) has_left: bool,
    /// Set if the version or the local backend server changed since the view was built.
    pub(super) stale: bool,
    /// Set if other members changed since the view was built; `view_built` is the time of that
    /// build.
    pub(super) members_changed: bool,
    view_built: Instant,
    /// Set if the platform's log was unreachable at the last read.
    pub(super) platform_down: bool,
}

impl Control {
    pub(super) async fn open(
        shared: Arc<Shared>,
        edges: PlatformAdapters,
    ) -> Result<Self, ControlError> {
        let settings = &shared.settings;
        let key = MeshKey::from_secret(settings.mesh_key.as_str());
        let net = Net::bind(Arc::clone(&shared), key.clone()).await?;
        let (pending, pull_requests) = mpsc::channel(QUEUE_CAPACITY);
        let server = SyncServer::bind(settings.listen.sync, pending).await?;
        let (sender, inputs) = mpsc::channel(QUEUE_CAPACITY);
        let mut rng = SmallRng::from_os_rng();
        let seeds = settings.seeds.iter().copied().map(NodeId).collect();
        let membership = Membership::new(
            local_member(&shared),
            settings.gossip.timing(),
            seeds,
            rng.random(),
        );
        let stream = Stream::new(shared.id, settings, edges.snapshots.is_some());
        let pulls = Pulls::new(Arc::clone(&shared), key, sender.clone());
        let reader = Reader::new(Arc::clone(&shared), edges.snapshots, sender.clone(), rng);
        let freshness = Freshness::new(shared.clock.now());
        let snapshot_cache = SnapshotCache::new(settings.link);
        let quarantine_store = edges
            .directory
            .clone()
            .map(|directory| QuarantineStore::start(&shared, directory));
        let board = edges
            .board
            .map(|board| BoardWriter::start(&shared, board, sender.clone()));
        let departures = DepartureControl::new(&shared, edges.directory.clone());
        let finder = edges
            .directory
            .map(|directory| Finder::start(&shared, directory, sender.clone()));
        Ok(Self {
            roster: Roster::new(&membership),
            backend: shared.backend.subscribe(),
            identity: None,
            discovered: finder.is_none(),
            _finder: finder,
            findings: FindingsGossip::default(),
            quarantine_store,
            pace_announcer: PaceAnnouncer::default(),
            accounting: Accounting::new(settings.quotas.bounds()),
            departures,
            drain_gossip: DrainGossip::default(),
            advertised_cold: false,
            watch: RolloutWatch::default(),
            board,
            has_left: false,
            stale: true,
            members_changed: false,
            view_built: Instant::default(),
            platform_down: false,
            _server: server,
            shared,
            membership,
            stream,
            pulls,
            reader,
            freshness,
            forwarded_round: None,
            snapshot_cache,
            pulls_snapshots: true,
            listed_nodes: 0,
            net,
            inputs,
            sender,
            pull_requests,
        })
    }

    pub(super) const fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }

    /// Handles events until the task is aborted.
    pub(super) async fn run(mut self) {
        let stopping = self.shared.stopping.clone();
        let mut ticks = interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = ticks.tick() => self.on_tick(),
                (from, datagram) = self.net.receive() => self.on_datagram(from, datagram),
                Some(input) = self.inputs.recv() => self.on_input(input),
                Some(pending) = self.pull_requests.recv() => self.on_pull_request(pending),
                Ok(()) = self.backend.changed() => self.on_backend(),
                Ok(()) = self.departures.own.changed() => self.on_own_departures(),
                () = stopping.cancelled(), if !self.has_left => self.on_stopping(),
            }
            self.publish();
        }
    }

    pub(super) fn now(&self) -> Instant {
        self.shared.clock.now()
    }

    fn on_tick(&mut self) {
        let now = self.now();
        self.tick_freshness(now);
        self.membership.set_head(self.stream.source.head());
        self.apply_unreached();
        let actions = self.membership.tick(now);
        self.apply_member_actions(actions);
        self.announce_pace();
        self.gossip_findings(now);
        self.exchange_quotas(now);
        self.gossip_drains(now);
        self.exchange_departures(now);
        self.advertise_warmup(now);
        self.watch_rollouts(now);
        let effects = self.stream.on_tick(now, &self.roster.witnesses);
        self.apply_effects(effects);
        let read_role = self.read_role(now);
        self.reader.tick(now, read_role, self.stream.from());
        if read_role.rank < self.reader.readers() && !self.has_left {
            let due = self.stream.checkpoint(now, read_role.rank);
            self.apply_feed_actions(due.into_iter().collect());
        }
        self.request_floors(now, read_role);
        self.snapshot_cache.tick(now);
    }

    fn on_datagram(&mut self, from: NodeId, datagram: Datagram) {
        let now = self.now();
        let head = datagram.head();
        match &datagram {
            Datagram::Push { origin, entries } => self.on_push(now, from, *origin, entries),
            Datagram::Offer { origin, head } => {
                let actions = self.stream.source.on_offer(now, from, *origin, *head);
                self.apply_feed_actions(actions);
            }
            Datagram::Report { version } if self.stream.witness.on_report(from, *version) => {
                let version = *version;
                self.net.send(from, &Datagram::ReportAck { version });
                self.log_witnessed(from, version);
            }
            Datagram::ReportAck { version } => {
                let witnesses = &self.roster.witnesses;
                let effects = self.stream.on_ack(now, from, *version, witnesses);
                self.apply_effects(effects);
            }
            Datagram::FloorAsk => {
                let confirmed_version = self.stream.confirmed_version(now);
                let version = self.stream.witness.answer(from, confirmed_version);
                self.net.send(from, &Datagram::FloorReply { version });
            }
            Datagram::Findings(findings) => self.on_findings(now, from, findings),
            Datagram::Rollouts(message) => self.on_rollouts(now, from, message),
            Datagram::Quotas(message) => self.on_quotas(now, from, message),
            Datagram::Drains(message) => self.on_drains(now, from, message),
            Datagram::Departures(message) => self.on_departures(now, from, message),
            Datagram::Confirmation(confirmation) => self.on_confirmation(now, from, *confirmation),
            Datagram::FloorReply { version } => self.stream.readiness.on_peer_floor(from, *version),
            _ => {}
        }
        let actions = self.membership.on_datagram(now, from, datagram);
        self.apply_member_actions(actions);
        if let Some(head) = head {
            let actions = self.stream.source.on_head(now, from, head);
            self.apply_feed_actions(actions);
        }
    }

    fn on_input(&mut self, input: Input) {
        match input {
            Input::PullOutcome(pulled) => self.on_pulled(*pulled),
            Input::Read(outcome) => self.on_read(*outcome),
            Input::Discovered(discovered) => self.on_discovered(&discovered),
            Input::RecordedRollout(recorded) => self.on_recorded(&recorded),
            Input::CheckpointAppended(Ok(())) => {
                info!(self.shared.logger, ""; "event" => Event::Checkpoint);
            }
            Input::CheckpointAppended(Err(e)) => {
                warn!(self.shared.logger, ""; "event" => Event::Checkpoint, "error" => %e);
            }
        }
    }

    fn on_pull_request(&mut self, pending: PendingPull) {
        let now = self.now();
        let Some(request) = self.pulls.open(&pending) else {
            return;
        };
        let busy = match request {
            // The snapshot cache limits these answers by the bandwidth of the link.
            SyncRequest::Whole => None,
            SyncRequest::Feed { .. } | SyncRequest::Members { .. } => self.pulls.admit(now),
        };
        let reply = match (busy, request) {
            (Some(busy), _) => busy,
            (None, SyncRequest::Whole) => self.answer_snapshot_pull(),
            (None, SyncRequest::Feed { from }) => SyncReply::Feed(self.stream.source.answer(from)),
            (None, SyncRequest::Members { buckets }) => {
                SyncReply::Members(self.membership.differing_entries(&buckets))
            }
        };
        self.pulls.answer(pending, &reply);
    }

    /// Returns `true` if the member list is known, or if no node sent it within [`JOIN_TIMEOUT`].
    ///
    /// A node that knows no members has no backend servers to route to. A node that is partitioned
    /// from all others still has to serve what it can.
    pub(super) fn members_known(&self, now: Instant) -> bool {
        let joined = self.discovered || !self.membership.is_alone();
        (joined && self.membership.is_synced()) || now.elapsed() >= JOIN_TIMEOUT
    }

    /// Publishes the view before the phase and progress. When a version or a phase becomes visible,
    /// the matching view is thus already in force.
    fn publish(&mut self) {
        let now = self.now();
        self.freshness.on_position(self.stream.source.position().0);
        let phase = publish::phase(self, now);
        let old = *self.shared.phase.borrow();
        let entering = old != phase && !old.is_stop();
        let members_changed =
            self.members_changed && now.since(self.view_built) >= MIN_VIEW_INTERVAL;
        if self.stale || entering || members_changed {
            self.roster = Roster::new(&self.membership);
            publish::view(self, now);
            (self.stale, self.members_changed, self.view_built) = (false, false, now);
        }
        publish::progress(self, now);
    }
}

fn local_member(shared: &Shared) -> Member {
    let listen = &shared.settings.listen;
    Member {
        id: shared.id,
        sync: listen.sync,
        peer: listen.peer,
        admin: listen.admin,
        domain: shared.settings.domain.clone(),
        incarnation: Incarnation(unix_ms()),
        liveness: Liveness::Alive,
        backend: shared.backend.borrow().clone(),
        pace: None,
    }
}

//! The control loop: one task that owns the node's control state.

use std::sync::Arc;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use slog::{info, warn};
use swiftcart_core::{
    Backend, Datagram, Incarnation, Instant, Liveness, Member, Membership, MeshKey, NodeId,
    PaceAnnouncer, SyncReply, SyncRequest,
};
use tokio::sync::{mpsc, watch};
use tokio::time::{MissedTickBehavior, interval};

use super::board::BoardWriter;
use super::drains::Draining;
use super::finder::Finder;
use super::findings::Telling;
use super::memory::Memory;
use super::net::Net;
use super::placed::Wholes;
use super::publish;
use super::pulls::Pulls;
use super::quotas::Accounting;
use super::reader::Reader;
use super::rollouts::Watching;
use super::roster::Roster;
use super::stream::Stream;
use super::sync_server::{Pending, SyncServer};
use super::{ControlError, Input};
use crate::edge::PlatformAdapters;
use crate::logging::{Event, unix_ms};
use crate::registration::Identity;
use crate::shared::Shared;

/// Time between two ticks of the state machines.
const TICK: Duration = Duration::from_millis(50);
/// Longest wait of a node that starts for a member that tells it of the others.
const MEET: Duration = Duration::from_secs(2);
/// Least time between two views that differ by their members only. Building one takes time in
/// proportion to the mesh, and when many processes start at once each node hears of all others
/// within half a second.
const VIEW_PAUSE: Duration = Duration::from_millis(50);
/// Events that wait for the loop at most.
const QUEUE: usize = 1024;

/// Owns the control state of one node.
#[derive(Debug)]
pub(super) struct Control {
    pub(super) shared: Arc<Shared>,
    pub(super) membership: Membership,
    pub(super) stream: Stream,
    pub(super) roster: Roster,
    pub(super) pulls: Pulls,
    pub(super) reader: Reader,
    pub(super) wholes: Wholes,
    /// Whether a node without a version asks others for a whole one with its place.
    pub(super) asks_whole: bool,
    /// How many nodes the directory has named.
    pub(super) listed: usize,
    pub(super) net: Net,
    inputs: mpsc::Receiver<Input>,
    pub(super) sender: mpsc::Sender<Input>,
    asked: mpsc::Receiver<Pending>,
    /// Held open for as long as the node runs.
    _server: SyncServer,
    pub(super) backend: watch::Receiver<Option<Backend>>,
    /// Which process of which backend server was told to the other nodes.
    pub(super) identity: Option<Identity>,
    /// Whether the other nodes were looked up, where there is a place to look.
    pub(super) found: bool,
    /// Held open for as long as the node runs.
    _finder: Option<Finder>,
    /// What other nodes are told of requests that end backend servers.
    pub(super) findings: Telling,
    /// Where held requests are remembered, where there is a place for it.
    pub(super) memory: Option<Memory>,
    /// What client accounts have sent, as far as this node adds it up.
    pub(super) accounting: Accounting,
    /// The failure domains that are drained.
    pub(super) draining: Draining,
    /// Whether the own backend server was shown as cold to other nodes.
    pub(super) shown_cold: bool,
    /// The roll-outs that are known and watched.
    pub(super) watching: Watching,
    /// Who writes to operators how far they are, where there is a place for it.
    pub(super) board: Option<BoardWriter>,
    /// When the pace of the own backend server is told to all nodes.
    pub(super) telling: PaceAnnouncer,
    pub(super) left: bool,
    /// Whether the version or the own backend server changed since the view was built.
    pub(super) stale: bool,
    /// Whether other members changed since the view was built, and when that was.
    pub(super) moved: bool,
    built: Instant,
    /// Whether the platform's log was out of reach at the last read.
    pub(super) down: bool,
}

impl Control {
    pub(super) async fn open(
        shared: Arc<Shared>,
        edges: PlatformAdapters,
    ) -> Result<Self, ControlError> {
        let settings = &shared.settings;
        let key = MeshKey::from_secret(settings.mesh_key.as_str());
        let net = Net::bind(Arc::clone(&shared), key.clone()).await?;
        let (pending, asked) = mpsc::channel(QUEUE);
        let server = SyncServer::bind(settings.listen.sync, pending).await?;
        let (sender, inputs) = mpsc::channel(QUEUE);
        let mut rng = SmallRng::from_os_rng();
        let seeds = settings.seeds.iter().copied().map(NodeId).collect();
        let membership = Membership::new(
            myself(&shared),
            settings.gossip.timing(),
            seeds,
            rng.random(),
        );
        let stream = Stream::new(shared.id, settings, edges.snapshots.is_some());
        let pulls = Pulls::new(Arc::clone(&shared), key, sender.clone());
        let reader = Reader::new(Arc::clone(&shared), edges.snapshots, sender.clone(), rng);
        let wholes = Wholes::new(settings.link);
        let memory = edges
            .directory
            .clone()
            .map(|directory| Memory::start(&shared, directory));
        let board = edges
            .board
            .map(|board| BoardWriter::start(&shared, board, sender.clone()));
        let finder = edges
            .directory
            .map(|directory| Finder::start(&shared, directory, sender.clone()));
        Ok(Self {
            roster: Roster::new(&membership),
            backend: shared.backend.subscribe(),
            identity: None,
            found: finder.is_none(),
            _finder: finder,
            findings: Telling::default(),
            memory,
            telling: PaceAnnouncer::default(),
            accounting: Accounting::new(settings.quotas.bounds()),
            draining: Draining::default(),
            shown_cold: false,
            watching: Watching::default(),
            board,
            left: false,
            stale: true,
            moved: false,
            built: Instant::default(),
            down: false,
            _server: server,
            shared,
            membership,
            stream,
            pulls,
            reader,
            wholes,
            asks_whole: true,
            listed: 0,
            net,
            inputs,
            sender,
            asked,
        })
    }

    pub(super) const fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }

    /// Takes events until the task is ended.
    pub(super) async fn run(mut self) {
        let stopping = self.shared.stopping.clone();
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = ticks.tick() => self.on_tick(),
                (from, datagram) = self.net.receive() => self.on_datagram(from, datagram),
                Some(input) = self.inputs.recv() => self.on_input(input),
                Some(pending) = self.asked.recv() => self.on_asked(pending),
                Ok(()) = self.backend.changed() => self.on_backend(),
                () = stopping.cancelled(), if !self.left => self.on_stopping(),
            }
            self.publish();
        }
    }

    pub(super) fn now(&self) -> Instant {
        self.shared.clock.now()
    }

    fn on_tick(&mut self) {
        let now = self.now();
        self.membership.set_head(self.stream.source.head());
        self.take_misses();
        let actions = self.membership.tick(now);
        self.act(actions);
        self.announce_pace();
        self.tell_findings(now);
        self.tell_quotas(now);
        self.tell_drains(now);
        self.show_warmup(now);
        self.watch_rollouts(now);
        let todo = self.stream.on_tick(now, &self.roster.witnesses);
        self.follow_up(todo);
        let duty = self.duty(now);
        self.reader.tick(now, duty, self.stream.from());
        if duty.rank < self.reader.readers() && !self.left {
            let due = self.stream.checkpoint(now, duty.rank);
            self.follow(due.into_iter().collect());
        }
        self.ask_floors(now, duty);
        self.wholes.tick(now);
    }

    fn on_datagram(&mut self, from: NodeId, datagram: Datagram) {
        let now = self.now();
        let head = datagram.head();
        match &datagram {
            Datagram::Push { origin, entries } => self.on_push(now, from, *origin, entries),
            Datagram::Offer { origin, head } => {
                let actions = self.stream.source.on_offer(now, from, *origin, *head);
                self.follow(actions);
            }
            Datagram::Report { version } if self.stream.witness.on_report(from, *version) => {
                let version = *version;
                self.net.send(from, &Datagram::ReportAck { version });
            }
            Datagram::ReportAck { version } => {
                let witnesses = &self.roster.witnesses;
                let todo = self.stream.on_ack(now, from, *version, witnesses);
                self.follow_up(todo);
            }
            Datagram::FloorAsk => {
                let vouched = self.stream.vouched(now);
                let version = self.stream.witness.answer(from, vouched);
                self.net.send(from, &Datagram::FloorReply { version });
            }
            Datagram::Findings(findings) => self.on_findings(now, from, findings),
            Datagram::Rollouts(message) => self.on_rollouts(now, from, message),
            Datagram::Quotas(message) => self.on_quotas(now, from, message),
            Datagram::Drains(message) => self.on_drains(now, from, message),
            Datagram::FloorReply { version } => self.stream.join.on_peer_floor(from, *version),
            _ => {}
        }
        let actions = self.membership.on_datagram(now, from, datagram);
        self.act(actions);
        if let Some(head) = head {
            let actions = self.stream.source.on_head(now, from, head);
            self.follow(actions);
        }
    }

    fn on_input(&mut self, input: Input) {
        match input {
            Input::Pulled(pulled) => self.on_pulled(*pulled),
            Input::Read(result) => self.on_read(*result),
            Input::Found(found) => self.on_found(&found),
            Input::Settled(settled) => self.on_settled(&settled),
            Input::Appended(Ok(())) => {
                info!(self.shared.logger, ""; "event" => Event::Checkpoint);
            }
            Input::Appended(Err(e)) => {
                warn!(self.shared.logger, ""; "event" => Event::Checkpoint, "error" => %e);
            }
        }
    }

    fn on_asked(&mut self, pending: Pending) {
        let now = self.now();
        let Some(request) = self.pulls.open(&pending) else {
            return;
        };
        let busy = match request {
            // Bound by what the link carries.
            SyncRequest::Whole => None,
            SyncRequest::Feed { .. } | SyncRequest::Members { .. } => self.pulls.admit(now),
        };
        let reply = match (busy, request) {
            (Some(busy), _) => busy,
            (None, SyncRequest::Whole) => self.tell_whole(),
            (None, SyncRequest::Feed { from }) => SyncReply::Feed(self.stream.source.answer(from)),
            (None, SyncRequest::Members { buckets }) => {
                SyncReply::Members(self.membership.differing_entries(&buckets))
            }
        };
        self.pulls.answer(pending, &reply);
    }

    /// Tells whether the members are known, or nobody was found to tell them in time.
    ///
    /// A node that knows no members has no backend servers to offer; but one that is cut
    /// off has to serve what it can.
    pub(super) fn met(&self, now: Instant) -> bool {
        let joined = self.found || !self.membership.is_alone();
        (joined && self.membership.is_synced()) || now.elapsed() >= MEET
    }

    /// Shows the view first, so that who reads a version or a phase finds it in force.
    fn publish(&mut self) {
        let now = self.now();
        let phase = publish::phase(self, now);
        let old = *self.shared.phase.borrow();
        let entering = old != phase && !old.is_stop();
        let moved = self.moved && now.since(self.built) >= VIEW_PAUSE;
        if self.stale || entering || moved {
            self.roster = Roster::new(&self.membership);
            publish::view(self, now);
            (self.stale, self.moved, self.built) = (false, false, now);
        }
        publish::progress(self, now);
    }
}

fn myself(shared: &Shared) -> Member {
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

//! The control loop: one task that owns the node's control state.

use std::sync::Arc;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use slog::{info, warn};
use swiftcart_core::{
    Action, Backend, Body, Checkpoint, Datagram, Entry, Envelope, FeedAction, Incarnation, Instant,
    Liveness, Member, Membership, MeshKey, NodeId, SyncReply, SyncRequest, Version, children,
};
use swiftcart_platform::{Page, PlatformError};
use tokio::sync::{mpsc, watch};
use tokio::time::{MissedTickBehavior, interval};

use super::net::{Net, Traffic, count};
use super::publish;
use super::pulls::{Pulled, Pulls};
use super::reader::{Duty, Reader, STREAM};
use super::roster::Roster;
use super::stream::{Stream, Todo};
use super::sync_server::{Pending, SyncServer};
use super::{ControlError, Input};
use crate::logging::{Event, unix_ms};
use crate::shared::{Phase, Progress, Shared};

/// Time between two ticks of the state machines.
const TICK: Duration = Duration::from_millis(50);
/// Longest wait of a node that starts for a member that tells it of the others.
const MEET: Duration = Duration::from_secs(2);
/// The longest encoded records that are pushed; longer ones are offered for a pull.
const PUSH_BYTES: usize = 1100;
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
    pub(super) net: Net,
    inputs: mpsc::Receiver<Input>,
    sender: mpsc::Sender<Input>,
    asked: mpsc::Receiver<Pending>,
    /// Held open for as long as the node runs.
    _server: SyncServer,
    backend: watch::Receiver<Option<Backend>>,
    left: bool,
    /// Whether members or the version changed since the view was built.
    pub(super) stale: bool,
    /// Whether the platform's log was out of reach at the last read.
    down: bool,
}

impl Control {
    pub(super) async fn open(shared: Arc<Shared>) -> Result<Self, ControlError> {
        let settings = &shared.settings;
        let key = MeshKey::from_secret(settings.mesh_key.as_str());
        let net = Net::bind(Arc::clone(&shared), key.clone()).await?;
        let (pending, asked) = mpsc::channel(QUEUE);
        let server = SyncServer::bind(settings.listen.sync, &pending)?;
        let (sender, inputs) = mpsc::channel(QUEUE);
        let mut rng = SmallRng::from_os_rng();
        let seeds = settings.seeds.iter().copied().map(NodeId).collect();
        let membership = Membership::new(
            myself(&shared),
            settings.gossip.timing(),
            seeds,
            rng.random(),
        );
        let stream = Stream::new(shared.id, settings);
        let pulls = Pulls::new(Arc::clone(&shared), key, sender.clone());
        let reader = Reader::new(Arc::clone(&shared), sender.clone(), rng);
        Ok(Self {
            roster: Roster::new(&membership),
            backend: shared.backend.subscribe(),
            left: false,
            stale: true,
            down: false,
            _server: server,
            shared,
            membership,
            stream,
            pulls,
            reader,
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

    fn now(&self) -> Instant {
        self.shared.clock.now()
    }

    fn on_tick(&mut self) {
        let now = self.now();
        self.membership.set_head(self.stream.feed.head());
        let actions = self.membership.tick(now);
        self.act(actions);
        let todo = self.stream.on_tick(now, &self.roster.witnesses);
        self.follow_up(todo);
        let duty = self.duty(now);
        self.reader.tick(now, duty, self.stream.from());
        if duty.rank < self.reader.readers() && !self.left {
            let due = self.stream.checkpoint(now, duty.rank);
            self.follow(due.into_iter().collect());
        }
        self.ask_floors(now, duty);
    }

    fn on_datagram(&mut self, from: NodeId, datagram: Datagram) {
        let now = self.now();
        let head = datagram.head();
        match &datagram {
            Datagram::Push { origin, entries } => self.on_push(now, from, *origin, entries),
            Datagram::Offer { origin, head } => {
                let actions = self.stream.feed.on_offer(now, from, *origin, *head);
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
            Datagram::FloorReply { version } => self.stream.join.on_answer(from, *version),
            _ => {}
        }
        let actions = self.membership.on_datagram(now, from, datagram);
        self.act(actions);
        if let Some(head) = head {
            let actions = self.stream.feed.on_head(now, from, head);
            self.follow(actions);
        }
    }

    fn on_push(&mut self, now: Instant, from: NodeId, origin: NodeId, entries: &[u8]) {
        match postcard::from_bytes::<Vec<Entry>>(entries) {
            Ok(entries) => {
                let witnesses = &self.roster.witnesses;
                let todo = self.stream.on_push(now, from, origin, entries, witnesses);
                self.follow_up(todo);
            }
            Err(_) => {
                let counters = &self.shared.counters;
                counters.count("swiftcart_datagrams_dropped_total", "reason", "malformed");
            }
        }
    }

    fn on_input(&mut self, input: Input) {
        match input {
            Input::Pulled(pulled) => self.on_pulled(*pulled),
            Input::Page(result) => self.on_page(*result),
            Input::Appended(Ok(())) => {
                info!(self.shared.logger, ""; "event" => Event::Checkpoint);
            }
            Input::Appended(Err(e)) => {
                warn!(self.shared.logger, ""; "event" => Event::Checkpoint, "error" => %e);
            }
        }
    }

    fn on_page(&mut self, result: Result<Page, PlatformError>) {
        let now = self.now();
        let duty = self.duty(now);
        self.reader.done(now, duty, &result);
        match result {
            Ok(page) => {
                self.note_platform(None);
                let len = page.entries.iter().map(|e| e.body.len()).sum();
                count(&self.shared, Traffic::PlatformRead, len);
                let todo = self.stream.on_page(now, page, &self.roster.witnesses);
                self.follow_up(todo);
                let duty = self.duty(now);
                self.reader.tick(now, duty, self.stream.from());
            }
            Err(PlatformError::TooLarge) => {}
            Err(e) => {
                self.stream.join.on_outage();
                self.note_platform(Some(&e));
            }
        }
    }

    fn note_platform(&mut self, error: Option<&PlatformError>) {
        let logger = &self.shared.logger;
        match error {
            Some(e) => {
                let counters = &self.shared.counters;
                counters.count("swiftcart_platform_errors_total", "reason", e.as_str());
                if !std::mem::replace(&mut self.down, true) {
                    warn!(logger, ""; "event" => Event::PlatformDown, "error" => %e);
                }
            }
            None if std::mem::take(&mut self.down) => {
                info!(logger, ""; "event" => Event::PlatformUp);
            }
            None => {}
        }
    }

    fn on_pulled(&mut self, pulled: Pulled) {
        let now = self.now();
        let peer = pulled.peer;
        self.pulls.end(peer);
        match pulled.result {
            Ok(SyncReply::Feed(answer)) => {
                let actions = self.stream.feed.on_pull_reply(now, peer, answer);
                self.follow(actions);
            }
            Ok(SyncReply::Members(entries)) => {
                let actions = self.membership.merge(now, entries);
                self.act(actions);
            }
            Ok(SyncReply::Busy { .. }) => {
                self.stream.feed.on_pull_failed(peer);
                self.count_pull("busy");
            }
            Err(e) => {
                self.stream.feed.on_pull_failed(peer);
                self.count_pull(e.as_str());
            }
        }
    }

    fn count_pull(&self, reason: &'static str) {
        let counters = &self.shared.counters;
        counters.count("swiftcart_pulls_failed_total", "reason", reason);
    }

    fn on_asked(&mut self, pending: Pending) {
        let now = self.now();
        let Some(request) = self.pulls.open(&pending) else {
            return;
        };
        let reply = match (self.pulls.admit(now), request) {
            (Some(busy), _) => busy,
            (None, SyncRequest::Feed { from }) => SyncReply::Feed(self.stream.feed.answer(from)),
            (None, SyncRequest::Members { buckets }) => {
                SyncReply::Members(self.membership.entries_for(&buckets))
            }
        };
        self.pulls.answer(pending, &reply);
    }

    fn on_backend(&mut self) {
        let backend = self.backend.borrow_and_update().clone();
        let now = self.now();
        let actions = self.membership.update_me(now, backend);
        self.act(actions);
        self.stale = true;
    }

    fn on_stopping(&mut self) {
        self.left = true;
        let now = self.now();
        let actions = self.membership.leave(now);
        self.act(actions);
    }

    /// Carries out what the membership asks for.
    fn act(&mut self, actions: Vec<Action>) {
        let mut changed = false;
        for action in actions {
            match action {
                Action::Send(to, datagram) => self.net.send(to, &datagram),
                Action::Changed(id) => {
                    changed = true;
                    self.log_member(id);
                }
                Action::Pull(peer) => self.pull_members(peer),
                Action::Unreachable(domain) => {
                    changed = true;
                    warn!(self.shared.logger, ""; "event" => Event::DomainCut, "domain" => %domain);
                }
                Action::Reachable(domain) => {
                    changed = true;
                    info!(self.shared.logger, ""; "event" => Event::DomainBack, "domain" => %domain);
                }
            }
        }
        if changed {
            self.stale = true;
            self.roster = Roster::new(&self.membership);
        }
    }

    fn log_member(&self, id: NodeId) {
        if let Some(member) = self.membership.member(id) {
            info!(self.shared.logger, ""; "event" => Event::Member, "id" => %id,
                "liveness" => ?member.liveness, "incarnation" => member.incarnation.0);
        }
    }

    fn pull_members(&mut self, peer: NodeId) {
        let buckets = self.membership.buckets().to_vec();
        self.pull(peer, &SyncRequest::Members { buckets });
    }

    fn pull(&mut self, peer: NodeId, request: &SyncRequest) -> bool {
        match self.membership.member(peer).map(|m| m.sync) {
            Some(addr) => self.pulls.start(peer, addr, request),
            None => false,
        }
    }

    /// Carries out the feed's actions, which may lead to further ones.
    fn follow(&mut self, actions: Vec<FeedAction>) {
        let now = self.now();
        let todo = self.stream.after(now, actions, &self.roster.witnesses);
        self.follow_up(todo);
    }

    fn follow_up(&mut self, todo: Todo) {
        self.stale |= todo.enforced;
        for (version, to) in todo.reports {
            for witness in to {
                self.net.send(witness, &Datagram::Report { version });
            }
        }
        for action in todo.feed {
            self.follow_one(action);
        }
    }

    fn follow_one(&mut self, action: FeedAction) {
        let logger = &self.shared.logger;
        let counters = &self.shared.counters;
        match action {
            FeedAction::Push { origin, entries } => self.push(origin, &entries),
            FeedAction::Pull { peer, from } => {
                if !self.pull(peer, &SyncRequest::Feed { from }) {
                    self.stream.feed.on_pull_failed(peer);
                }
            }
            FeedAction::Stalled(rule) => {
                self.stream.join.on_outage();
                warn!(logger, ""; "event" => Event::Stalled, "rule" => rule);
            }
            FeedAction::Diverged(source) => {
                counters.count("swiftcart_diverged_total", "source", source.as_str());
                warn!(logger, ""; "event" => Event::Diverged, "source" => ?source);
            }
            FeedAction::NoStart(first) => {
                self.stream.join.on_outage();
                warn!(logger, ""; "event" => Event::NoStart, "first" => first.0);
            }
            FeedAction::AppendCheckpoint(checkpoint) => self.append(checkpoint),
            FeedAction::Applied(_) => {}
        }
    }

    /// Passes records on to this node's children in the tree of `origin`.
    fn push(&self, origin: NodeId, entries: &[Entry]) {
        let fanout = usize::try_from(self.shared.settings.gossip.fanout).unwrap_or(1);
        let head = self.stream.feed.head();
        let offer = Datagram::Offer { origin, head };
        let datagram = match postcard::to_stdvec(entries) {
            Ok(entries) if entries.len() <= PUSH_BYTES => Datagram::Push { origin, entries },
            Ok(_) | Err(_) => offer,
        };
        for child in children(&self.roster.near, origin, self.shared.id, fanout) {
            self.net.send(child, &datagram);
        }
    }

    fn append(&self, checkpoint: Checkpoint) {
        let body = Envelope::new(Body::Checkpoint(checkpoint));
        let platform = self.reader.platform().clone();
        let sender = self.sender.clone();
        tokio::spawn(async move {
            let result = platform.append(STREAM, &body.encode()).await.map(drop);
            // The control loop is gone when the node has stopped.
            drop(sender.send(Input::Appended(result)).await);
        });
    }

    /// Asks peers how far this node was, while the platform is out of reach.
    fn ask_floors(&mut self, now: Instant, duty: Duty) {
        if !duty.joining || !self.down {
            return;
        }
        for peer in self.stream.join.asks(now, &self.roster.near) {
            if peer != self.shared.id {
                self.net.send(peer, &Datagram::FloorAsk);
            }
        }
    }

    fn duty(&mut self, now: Instant) -> Duty {
        Duty {
            rank: self.roster.rank,
            joining: self.stream.served(now).is_err(),
            known: self.roster.known,
        }
    }

    /// Shows the rest of the node what has changed.
    /// Tells whether the members are known, or nobody was found to tell them in time.
    ///
    /// A node that knows no members has no backend servers to offer; but one that is cut
    /// off has to serve what it can.
    pub(super) fn met(&self, now: Instant) -> bool {
        self.membership.is_synced() || now.elapsed() >= MEET
    }

    /// Shows the view first, so that who reads a version or a phase finds it in force.
    fn publish(&mut self) {
        let now = self.now();
        let phase = publish::phase(self, now);
        let old = *self.shared.phase.borrow();
        let entering = old != phase && old != Phase::Stopping;
        if std::mem::take(&mut self.stale) || entering {
            publish::view(self, now);
        }
        publish::progress_of(self, now);
    }
}

fn myself(shared: &Shared) -> Member {
    let listen = shared.settings.listen;
    Member {
        id: shared.id,
        sync: listen.sync,
        peer: listen.peer,
        admin: listen.admin,
        domain: shared.settings.domain.clone(),
        incarnation: Incarnation(unix_ms()),
        liveness: Liveness::Alive,
        backend: shared.backend.borrow().clone(),
    }
}

/// What operators see of the stream.
pub(super) fn progress(stream: &Stream, version: Version) -> Progress {
    Progress {
        version,
        position: stream.feed.fold().position(),
        digest: stream.feed.fold().digest(),
        stalled_rule: stream.feed.stalled(),
    }
}

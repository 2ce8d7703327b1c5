//! Membership state machine of one node: its state and its inputs.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

use super::dissemination::{ListMismatch, status_of};
use super::suspicion::Suspicion;
use super::{
    Action, ApplyOutcome, DomainReachability, Gossip, MemberCounts, MemberList, PendingProbes,
    ProbeKind, RelayedProbe, UpdateQueue,
};
use crate::{
    Backend, Datagram, Head, Heartbeat, Incarnation, Instant, Liveness, Member, MemberUpdate,
    NodeId, Pace,
};

/// Number of seeds that are probed at once, since some nodes in a directory may have stopped.
const SEEDS_PROBED_AT_ONCE: usize = 6;

/// Membership state machine, which performs no I/O.
///
/// The embedding process calls [`Membership::tick`] every 50 to 100 ms, passes in each decoded
/// datagram, and carries out the returned [`Action`]s.
///
/// # Examples
///
/// ```
/// use swiftcart_core::*;
///
/// let addr = "127.0.0.1:7000".parse()?;
/// let me = Member::new(NodeId(addr), FailureDomain::new("norte"), Incarnation(1));
/// let mut membership = Membership::new(me, Gossip::new(), Vec::new(), 42);
/// let actions = membership.tick(Instant::from_millis(50));
/// assert_eq!(actions, []);
/// assert_eq!(membership.live_in(&FailureDomain::new("norte")).count(), 1);
/// # Ok::<(), std::net::AddrParseError>(())
/// ```
#[derive(Debug, Clone)]
pub struct Membership {
    pub(super) me: Member,
    pub(super) settings: Gossip,
    pub(super) seeds: Vec<NodeId>,
    pub(super) head: Head,
    pub(super) rng: SmallRng,
    pub(super) list: MemberList,
    /// Updates that are still to be sent to other nodes.
    pub(super) updates: UpdateQueue,
    pub(super) probes: PendingProbes,
    pub(super) reachability: DomainReachability,
    /// Suspected nodes of the own failure domain.
    pub(super) suspects: BTreeMap<NodeId, Suspicion>,
    /// Nodes of the own failure domain still to be probed in the current round.
    pub(super) probe_round: VecDeque<NodeId>,
    /// `true` if an update should be sent before the next probe.
    pub(super) urgent: bool,
    /// Number of the current probe interval.
    pub(super) probe_slot: u32,
    pub(super) next_probe: Instant,
    pub(super) next_urgent: Instant,
    pub(super) next_rejoin: Instant,
    pub(super) next_pull: Instant,
    pub(super) last_tick: Instant,
    pub(super) last_heard: Instant,
    pub(super) last_change: Instant,
    /// Time before which this node declares no node suspected or dead.
    pub(super) grace_until: Instant,
    /// Mismatch with the lists from which this node pulls.
    pub(super) mismatch: Option<ListMismatch>,
    /// Mismatch with lists of other failure domains, from which the delegates pull.
    pub(super) cross_mismatch: Option<ListMismatch>,
    /// Remaining rounds in which this node announces itself to every other failure domain.
    pub(super) announce_rounds: u32,
    /// `true` while this node considers its member list complete.
    pub(super) synced: bool,
    /// `true` once a list of another node was merged.
    pub(super) merged: bool,
    /// Measure of this node's own missed probes, from 0 to
    /// [`super::suspicion::MAX_HEALTH_PENALTY`].
    pub(super) health_penalty: u32,
    pub(super) counts: MemberCounts,
    pub(super) actions: Vec<Action>,
}

impl Membership {
    /// Creates the membership of the node `me`, which knows only the addresses of `seeds`.
    ///
    /// `me.incarnation` is the wall clock in milliseconds. `seed` initializes the random number
    /// generator.
    #[must_use]
    pub fn new(me: Member, settings: Gossip, seeds: Vec<NodeId>, seed: u64) -> Self {
        let me = Member {
            liveness: Liveness::Alive,
            ..me
        };
        let seeds: Vec<NodeId> = seeds.into_iter().filter(|id| *id != me.id).collect();
        let start = Instant::default();
        let mut list = MemberList::new(settings.max_entries);
        list.insert(start, me.clone());
        Self {
            synced: seeds.is_empty(),
            merged: false,
            me,
            seeds,
            head: Head::default(),
            rng: SmallRng::seed_from_u64(seed),
            list,
            updates: UpdateQueue::default(),
            probes: PendingProbes::default(),
            reachability: DomainReachability::default(),
            suspects: BTreeMap::new(),
            probe_round: VecDeque::new(),
            urgent: false,
            probe_slot: 0,
            next_probe: start,
            next_urgent: start,
            next_rejoin: start,
            next_pull: start,
            last_tick: start,
            last_heard: start,
            last_change: start,
            grace_until: start,
            mismatch: None,
            cross_mismatch: None,
            announce_rounds: 0,
            health_penalty: 0,
            counts: MemberCounts::default(),
            actions: Vec::new(),
            settings,
        }
    }

    /// Adds seed nodes and probes some of them at once.
    ///
    /// This node is not synced until it has merged the member list of another node.
    pub fn add_seeds(&mut self, now: Instant, seeds: Vec<NodeId>) -> Vec<Action> {
        self.init_timers(now);
        for id in seeds {
            if id != self.me.id && !self.seeds.contains(&id) {
                self.seeds.push(id);
            }
        }
        let unknown = |id: &&NodeId| !self.list.get(**id).is_some_and(|m| m.liveness.is_live());
        let candidates: Vec<NodeId> = self.seeds.iter().filter(unknown).copied().collect();
        self.synced = self.merged || (self.synced && self.seeds.is_empty());
        for id in candidates.choose_multiple(&mut self.rng, SEEDS_PROBED_AT_ONCE) {
            self.probe_as(now, *id, ProbeKind::BestEffort);
        }
        std::mem::take(&mut self.actions)
    }

    /// Advances time: sends due probes, expires unanswered probes and requests pulls.
    pub fn tick(&mut self, now: Instant) -> Vec<Action> {
        self.init_timers(now);
        self.detect_pause(now);
        self.last_tick = now;
        if self.me.liveness.is_live() {
            self.expire_probes(now);
            self.expire_suspects(now);
            self.expire_domains(now);
            self.send_probes(now);
            self.send_urgent_updates(now);
            self.probe_lost_nodes(now);
            self.request_pull(now);
        }
        std::mem::take(&mut self.actions)
    }

    /// Processes one decoded datagram.
    ///
    /// Messages of other protocols only show that their sender is alive.
    pub fn on_datagram(&mut self, now: Instant, from: NodeId, datagram: Datagram) -> Vec<Action> {
        if from == self.me.id {
            return Vec::new();
        }
        self.init_timers(now);
        self.detect_pause(now);
        match datagram {
            Datagram::Probe { seq, beat } => {
                let beat = self.answer_probe(now, from, beat);
                self.send(from, Datagram::Ack { seq, beat });
            }
            Datagram::Ack { seq, beat } => {
                let replies = self.process_beat(now, from, beat);
                self.on_ack(seq, from);
                self.reply(from, replies);
            }
            Datagram::ProbeFor { seq, target } => self.on_probe_for(now, from, seq, target),
            Datagram::AckFor { seq, target } => self.on_ack_for(seq, target),
            Datagram::Gossip { news } => {
                let replies = self.apply_all(now, news);
                self.reply(from, replies);
            }
            Datagram::Leave { incarnation } => self.on_leave(now, from, incarnation),
            Datagram::Push { .. }
            | Datagram::Offer { .. }
            | Datagram::Report { .. }
            | Datagram::ReportAck { .. }
            | Datagram::FloorAsk
            | Datagram::FloorReply { .. }
            | Datagram::Findings(_)
            | Datagram::Rollouts(_)
            | Datagram::Quotas(_)
            | Datagram::Drains(_)
            | Datagram::Confirmation(_)
            | Datagram::Departures(_) => {}
        }
        self.record_contact(now, from);
        std::mem::take(&mut self.actions)
    }

    /// Merges the entries of a pull.
    ///
    /// Only a delegate gossips the changed entries, since the other nodes of its failure domain
    /// have no other source for the changes. Other nodes do not, since every node compares lists
    /// itself.
    pub fn merge(&mut self, now: Instant, entries: Vec<Member>) -> Vec<Action> {
        self.init_timers(now);
        let gossips = self.merged && self.is_delegate();
        self.synced = true;
        self.merged = true;
        self.mismatch = None;
        self.cross_mismatch = None;
        for member in entries {
            let id = member.id;
            let update = MemberUpdate::Entry(member);
            match id == self.me.id {
                true => self.refute_if_wrong(now, &update),
                false if gossips => drop(self.apply_and_queue(now, update)),
                false => drop(self.apply_and_track(now, update)),
            }
        }
        std::mem::take(&mut self.actions)
    }

    /// Postpones the next pull, since the peer was too busy to serve one.
    pub fn postpone_pulls(&mut self, now: Instant, retry_after: Duration) {
        let jitter = self.rng.random_range(1.0..1.5);
        self.next_pull = now + retry_after.mul_f64(jitter);
    }

    /// Announces the current state of the own backend server, or its absence.
    pub fn update_backend(&mut self, now: Instant, backend: Option<Backend>) -> Vec<Action> {
        match self.me.backend == backend {
            true => std::mem::take(&mut self.actions),
            false => self.replace_backend(now, backend),
        }
    }

    /// Announces that another backend server replaced the previous one.
    ///
    /// The new backend server may be announced with the same values. The pace is withdrawn, which
    /// tells other nodes that the pace they know belongs to the previous backend server.
    pub fn replace_backend(&mut self, now: Instant, backend: Option<Backend>) -> Vec<Action> {
        self.me.backend = backend;
        self.me.pace = None;
        self.raise_incarnation(now, self.me.incarnation);
        std::mem::take(&mut self.actions)
    }

    /// Announces the pace of the own backend server's calls to all nodes.
    pub fn announce_pace(&mut self, now: Instant, pace: Pace) -> Vec<Action> {
        if self.me.backend.is_some() && self.me.pace != Some(pace) {
            self.me.pace = Some(pace);
            self.raise_incarnation(now, self.me.incarnation);
        }
        std::mem::take(&mut self.actions)
    }

    /// Records that a connection attempt to `node`, started at `tried`, failed.
    ///
    /// Requests find a partitioned failure domain before the next probe does. The failure domain is
    /// suspected and probed at once. It becomes unreachable unless one of its nodes sends a
    /// datagram.
    pub fn unreached(&mut self, now: Instant, tried: Instant, node: NodeId) {
        let remote = self
            .list
            .get(node)
            .filter(|member| !self.in_own_domain(member));
        let Some(domain) = remote.map(|member| member.domain.clone()) else {
            return;
        };
        if now >= self.grace_until && self.reachability.record_miss(&domain, tried, now) {
            self.next_probe = now;
        }
    }

    /// Leaves the mesh: notifies some nodes at once, and answers later probes with the departure.
    pub fn leave(&mut self, now: Instant) -> Vec<Action> {
        self.me.liveness = Liveness::Left;
        self.list.insert(now, self.me.clone());
        self.updates.push(status_of(&self.me));
        self.probes.clear();
        let incarnation = self.me.incarnation;
        for id in self.leave_targets() {
            self.send(id, Datagram::Leave { incarnation });
        }
        std::mem::take(&mut self.actions)
    }

    /// Returns the nodes to which a broadcast to the whole mesh is sent in this round.
    ///
    /// These are some nodes of the own failure domain and, in rounds chosen at random, one node of
    /// another failure domain. The originator (`own`) sends to one node of every other failure
    /// domain instead.
    pub fn broadcast_targets(&mut self, own: bool) -> Vec<NodeId> {
        let mut targets = self.domain_peers(self.settings.fanout);
        match own {
            true => targets.extend(self.one_per_domain()),
            false => targets.extend(self.cross_domain_peer()),
        }
        targets
    }

    /// Sets the position in the configuration stream that probes carry.
    pub const fn set_head(&mut self, head: Head) {
        self.head = head;
    }

    fn on_probe_for(&mut self, now: Instant, requester: NodeId, seq: u32, target: NodeId) {
        if target == self.me.id {
            return self.send(requester, Datagram::AckFor { seq, target });
        }
        let relay = RelayedProbe {
            requester,
            seq,
            target,
            deadline: now + self.settings.ack_timeout * 2,
        };
        match self.probes.add_relay(relay) {
            Some(seq) => {
                let beat = self.beat(target, Vec::new());
                self.send(target, Datagram::Probe { seq, beat });
            }
            None => self.counts.rejected_relays += 1,
        }
    }

    fn on_leave(&mut self, now: Instant, from: NodeId, incarnation: Incarnation) {
        let status = crate::Status {
            id: from,
            incarnation,
            liveness: Liveness::Left,
        };
        self.apply_and_queue(now, MemberUpdate::Status(status));
    }

    /// Returns the answer to a probe.
    ///
    /// The answer contains the own entry if the sender is unknown or sent its own entry.
    fn answer_probe(&mut self, now: Instant, from: NodeId, beat: Heartbeat) -> Heartbeat {
        // A node that probes this node while this node is alone has the member list that this node
        // lacks.
        self.synced = self.merged || (self.synced && !self.is_alone());
        let own_entry = |u: &MemberUpdate| u.id() == from && matches!(u, MemberUpdate::Entry(_));
        let introduced = self.list.get(from).is_none() || beat.news.iter().any(own_entry);
        let mut replies = self.process_beat(now, from, beat);
        if introduced {
            replies.insert(0, MemberUpdate::Entry(self.me.clone()));
        }
        self.beat(from, replies)
    }

    /// Processes a heartbeat and returns the updates that its sender lacks.
    fn process_beat(&mut self, now: Instant, from: NodeId, beat: Heartbeat) -> Vec<MemberUpdate> {
        let replies = self.apply_all(now, beat.news);
        self.compare_hash(now, from, beat.hash);
        replies
    }

    /// Records that a datagram of any kind arrived from a node.
    fn record_contact(&mut self, now: Instant, from: NodeId) {
        self.last_heard = now;
        let Some(domain) = self.list.get(from).map(|m| m.domain.clone()) else {
            return;
        };
        if domain != self.me.domain && self.reachability.record_contact(&domain, now) {
            self.actions.push(Action::Reachable(domain));
        }
    }

    pub(super) fn reply(&mut self, to: NodeId, news: Vec<MemberUpdate>) {
        let news = UpdateQueue::fit(news, self.settings.update_bytes);
        if !news.is_empty() {
            self.send(to, Datagram::Gossip { news });
        }
    }

    pub(super) fn send(&mut self, to: NodeId, datagram: Datagram) {
        self.actions.push(Action::Send(to, datagram));
    }

    /// Applies an update and counts entries that the list rejects.
    pub(super) fn apply(&mut self, now: Instant, update: MemberUpdate) -> ApplyOutcome {
        let id = update.id();
        let outcome = self.list.apply(now, update);
        match outcome {
            ApplyOutcome::Changed => {
                self.last_change = now;
                if self.list.get(id).is_some_and(|m| !m.liveness.is_live()) {
                    self.schedule_rejoin_probe(now);
                }
                self.actions.push(Action::Changed(id));
            }
            ApplyOutcome::ListFull => self.counts.rejected_entries += 1,
            ApplyOutcome::Duplicate | ApplyOutcome::Stale | ApplyOutcome::Incomplete => {}
        }
        outcome
    }
}

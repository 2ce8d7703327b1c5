//! The membership of one node: its state, and the events that move it.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

use super::spread::{Difference, status_of};
use super::verdict::Watch;
use super::{Action, Applied, Gossip, Kind, List, MemberCounts, NewsQueue, Probes, Reach, Relay};
use crate::{
    Backend, Datagram, Head, Heartbeat, Incarnation, Instant, Liveness, Member, MemberUpdate,
    NodeId, Pace,
};

/// Seeds that are asked at once; some of those that a directory names may be gone.
const SEEDS_AT_ONCE: usize = 6;

/// Decides whom a node takes for alive, and what it tells the others.
///
/// The process around it calls [`Membership::tick`] every 50 to 100 ms, hands in each
/// opened datagram, and carries out the returned [`Action`]s.
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
    pub(super) list: List,
    pub(super) news: NewsQueue,
    pub(super) probes: Probes,
    pub(super) reach: Reach,
    /// The suspected nodes of the own failure domain.
    pub(super) suspects: BTreeMap<NodeId, Watch>,
    /// The rest of the current round over the own failure domain.
    pub(super) round: VecDeque<NodeId>,
    /// Whether there is news that should not wait for the next probe.
    pub(super) urgent: bool,
    pub(super) slot: u32,
    pub(super) next_probe: Instant,
    pub(super) next_urgent: Instant,
    pub(super) next_retry: Instant,
    pub(super) next_pull: Instant,
    pub(super) last_tick: Instant,
    pub(super) last_heard: Instant,
    pub(super) last_change: Instant,
    /// Nobody is accused before this.
    pub(super) grace_until: Instant,
    pub(super) differs: Option<Difference>,
    /// The same against other failure domains, while others of this one pull from there.
    pub(super) far_differs: Option<Difference>,
    /// The rounds of news in which each other failure domain is still told of this node.
    pub(super) own_rounds: u32,
    pub(super) synced: bool,
    /// Whether another node's list was ever taken over.
    pub(super) merged: bool,
    /// How badly this node's own probes fare, from 0 to [`super::verdict::WORST_HEALTH`].
    pub(super) health: u32,
    pub(super) counts: MemberCounts,
    pub(super) out: Vec<Action>,
}

impl Membership {
    /// Creates the membership of `me`, which knows nobody but the addresses of `seeds`.
    ///
    /// `me.incarnation` is the wall clock in milliseconds; `seed` feeds all random choices.
    #[must_use]
    pub fn new(me: Member, settings: Gossip, seeds: Vec<NodeId>, seed: u64) -> Self {
        let me = Member {
            liveness: Liveness::Alive,
            ..me
        };
        let seeds: Vec<NodeId> = seeds.into_iter().filter(|id| *id != me.id).collect();
        let start = Instant::default();
        let mut list = List::new(settings.bound);
        list.put(start, me.clone());
        Self {
            synced: seeds.is_empty(),
            merged: false,
            me,
            seeds,
            head: Head::default(),
            rng: SmallRng::seed_from_u64(seed),
            list,
            news: NewsQueue::default(),
            probes: Probes::default(),
            reach: Reach::default(),
            suspects: BTreeMap::new(),
            round: VecDeque::new(),
            urgent: false,
            slot: 0,
            next_probe: start,
            next_urgent: start,
            next_retry: start,
            next_pull: start,
            last_tick: start,
            last_heard: start,
            last_change: start,
            grace_until: start,
            differs: None,
            far_differs: None,
            own_rounds: 0,
            health: 0,
            counts: MemberCounts::default(),
            out: Vec::new(),
            settings,
        }
    }

    /// Adds addresses of nodes to join through, and asks some of them at once.
    ///
    /// While none of them has answered with its list of members, this node does not know
    /// the members.
    pub fn add_seeds(&mut self, now: Instant, seeds: Vec<NodeId>) -> Vec<Action> {
        self.start(now);
        for id in seeds {
            if id != self.me.id && !self.seeds.contains(&id) {
                self.seeds.push(id);
            }
        }
        let unknown = |id: &&NodeId| !self.list.get(**id).is_some_and(|m| m.liveness.is_live());
        let asked: Vec<NodeId> = self.seeds.iter().filter(unknown).copied().collect();
        self.synced = self.merged || (self.synced && self.seeds.is_empty());
        for id in asked.choose_multiple(&mut self.rng, SEEDS_AT_ONCE) {
            self.probe_as(now, *id, Kind::Stray);
        }
        std::mem::take(&mut self.out)
    }

    /// Moves time on: sends probes, gives up on those that missed theirs, asks for pulls.
    pub fn tick(&mut self, now: Instant) -> Vec<Action> {
        self.start(now);
        self.notice_pause(now);
        self.last_tick = now;
        if self.me.liveness.is_live() {
            self.expire_probes(now);
            self.expire_suspects(now);
            self.expire_domains(now);
            self.send_probes(now);
            self.send_urgent(now);
            self.find_lost(now);
            self.ask_pull(now);
        }
        std::mem::take(&mut self.out)
    }

    /// Takes in one opened datagram.
    ///
    /// Messages that are not the membership's own only tell that their sender lives.
    pub fn on_datagram(&mut self, now: Instant, from: NodeId, datagram: Datagram) -> Vec<Action> {
        if from == self.me.id {
            return Vec::new();
        }
        self.start(now);
        self.notice_pause(now);
        match datagram {
            Datagram::Probe { seq, beat } => {
                let beat = self.answer(now, from, beat);
                self.send(from, Datagram::Ack { seq, beat });
            }
            Datagram::Ack { seq, beat } => {
                let replies = self.hear(now, from, beat);
                self.on_ack(seq, from);
                self.reply(from, replies);
            }
            Datagram::ProbeFor { seq, target } => self.on_probe_for(now, from, seq, target),
            Datagram::AckFor { seq, target } => self.on_ack_for(seq, target),
            Datagram::Gossip { news } => {
                let replies = self.learn(now, news);
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
            | Datagram::Drains(_) => {}
        }
        self.heard(now, from);
        std::mem::take(&mut self.out)
    }

    /// Takes in the entries of a pull.
    ///
    /// They are not passed on, since every node compares lists itself, unless this node pulls for
    /// its failure domain: the others have nobody else to hear it from.
    pub fn merge(&mut self, now: Instant, entries: Vec<Member>) -> Vec<Action> {
        self.start(now);
        let carries = self.merged && self.is_delegate();
        self.synced = true;
        self.merged = true;
        self.differs = None;
        self.far_differs = None;
        for member in entries {
            let id = member.id;
            let news = MemberUpdate::Entry(member);
            match id == self.me.id {
                true => self.answer_news_of_me(now, &news),
                false if carries => drop(self.accept(now, news)),
                false => drop(self.absorb(now, news)),
            }
        }
        std::mem::take(&mut self.out)
    }

    /// Notes that the peer was too busy to serve the pull, and for how long.
    pub fn pull_busy(&mut self, now: Instant, retry_after: Duration) {
        let spread = self.rng.random_range(1.0..1.5);
        self.next_pull = now + retry_after.mul_f64(spread);
    }

    /// Announces the backend server beside this node, its changes, or its absence.
    pub fn update_me(&mut self, now: Instant, backend: Option<Backend>) -> Vec<Action> {
        match self.me.backend == backend {
            true => std::mem::take(&mut self.out),
            false => self.replace_me(now, backend),
        }
    }

    /// Announces a backend server that took the place of the one before, and may equal it in all
    /// that is told of it.
    ///
    /// The pace is withdrawn, by which the other nodes know that theirs was another's.
    pub fn replace_me(&mut self, now: Instant, backend: Option<Backend>) -> Vec<Action> {
        self.me.backend = backend;
        self.me.pace = None;
        self.step_over(now, self.me.incarnation);
        std::mem::take(&mut self.out)
    }

    /// Tells all nodes how long the calls of the own backend server take.
    pub fn tell_pace(&mut self, now: Instant, pace: Pace) -> Vec<Action> {
        if self.me.backend.is_some() && self.me.pace != Some(pace) {
            self.me.pace = Some(pace);
            self.step_over(now, self.me.incarnation);
        }
        std::mem::take(&mut self.out)
    }

    /// Notes that a connection to `node`, tried at `tried`, did not open.
    ///
    /// Requests meet a failure domain that is cut off before the next probe does. The domain is
    /// in doubt from then on: it is probed at once, and given up unless one of its nodes is
    /// heard of.
    pub fn unreached(&mut self, now: Instant, tried: Instant, node: NodeId) {
        let far = self.list.get(node).filter(|member| !self.is_own(member));
        let Some(domain) = far.map(|member| member.domain.clone()) else {
            return;
        };
        if now >= self.grace_until && self.reach.missed(&domain, tried, now) {
            self.next_probe = now;
        }
    }

    /// Leaves: tells some nodes at once, and answers every later probe with it.
    pub fn leave(&mut self, now: Instant) -> Vec<Action> {
        self.me.liveness = Liveness::Left;
        self.list.put(now, self.me.clone());
        self.news.push(status_of(&self.me));
        self.probes.clear();
        let incarnation = self.me.incarnation;
        for id in self.farewell() {
            self.send(id, Datagram::Leave { incarnation });
        }
        std::mem::take(&mut self.out)
    }

    /// Returns whom to tell of something that every node is to know: some nodes of the own
    /// failure domain, and now and then one of another. Who found it out itself tells each of the
    /// others.
    pub fn audience(&mut self, own: bool) -> Vec<NodeId> {
        let mut told = self.near_peers(self.settings.fanout);
        match own {
            true => told.extend(self.one_of_each()),
            false => told.extend(self.far_peer()),
        }
        told
    }

    /// Sets the place in the configuration stream that rides on probes.
    pub const fn set_head(&mut self, head: Head) {
        self.head = head;
    }

    fn on_probe_for(&mut self, now: Instant, asker: NodeId, seq: u32, target: NodeId) {
        if target == self.me.id {
            return self.send(asker, Datagram::AckFor { seq, target });
        }
        let relay = Relay {
            asker,
            seq,
            target,
            deadline: now + self.settings.ack_timeout * 2,
        };
        match self.probes.relay(relay) {
            Some(seq) => {
                let beat = self.beat(target, Vec::new());
                self.send(target, Datagram::Probe { seq, beat });
            }
            None => self.counts.busy += 1,
        }
    }

    fn on_leave(&mut self, now: Instant, from: NodeId, incarnation: Incarnation) {
        let status = crate::Status {
            id: from,
            incarnation,
            liveness: Liveness::Left,
        };
        self.accept(now, MemberUpdate::Status(status));
    }

    /// Answers a beat; a sender that introduces itself gets this node's entry in return.
    fn answer(&mut self, now: Instant, from: NodeId, beat: Heartbeat) -> Heartbeat {
        // Whoever finds a node that knows nobody has the list that it lacks.
        self.synced = self.merged || (self.synced && !self.is_alone());
        let own = |n: &MemberUpdate| n.id() == from && matches!(n, MemberUpdate::Entry(_));
        let introduced = self.list.get(from).is_none() || beat.news.iter().any(own);
        let mut replies = self.hear(now, from, beat);
        if introduced {
            replies.insert(0, MemberUpdate::Entry(self.me.clone()));
        }
        self.beat(from, replies)
    }

    /// Takes in a beat and returns what its sender should be told.
    fn hear(&mut self, now: Instant, from: NodeId, beat: Heartbeat) -> Vec<MemberUpdate> {
        let replies = self.learn(now, beat.news);
        self.compare(now, from, beat.hash);
        replies
    }

    /// Notes that a node lives, whatever it sent.
    fn heard(&mut self, now: Instant, from: NodeId) {
        self.last_heard = now;
        let Some(domain) = self.list.get(from).map(|m| m.domain.clone()) else {
            return;
        };
        if domain != self.me.domain && self.reach.heard(&domain, now) {
            self.out.push(Action::Reachable(domain));
        }
    }

    pub(super) fn reply(&mut self, to: NodeId, news: Vec<MemberUpdate>) {
        let news = NewsQueue::fit(news, self.settings.news_bytes);
        if !news.is_empty() {
            self.send(to, Datagram::Gossip { news });
        }
    }

    pub(super) fn send(&mut self, to: NodeId, datagram: Datagram) {
        self.out.push(Action::Send(to, datagram));
    }

    /// Applies news and counts what the list refuses.
    pub(super) fn apply(&mut self, now: Instant, news: MemberUpdate) -> Applied {
        let id = news.id();
        let applied = self.list.apply(now, news);
        match applied {
            Applied::Changed => {
                self.last_change = now;
                if self.list.get(id).is_some_and(|m| !m.liveness.is_live()) {
                    self.expect_back(now);
                }
                self.out.push(Action::Changed(id));
            }
            Applied::Full => self.counts.full += 1,
            Applied::Known | Applied::Older | Applied::Ignored => {}
        }
        applied
    }
}

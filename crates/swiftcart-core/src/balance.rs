//! The choice of a backend server for a call.

mod choice;
mod pace_announcer;
mod peer;
mod pick_requirements;
mod sample;
mod unreachable_domains;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;

use crate::{Instant, NodeId, ServiceEntry, View};
use choice::Choice;
pub use pace_announcer::*;
use peer::Peer;
pub use pick_requirements::*;
pub use sample::*;
use unreachable_domains::UnreachableDomains;

/// The weight of one told pace in the mean of all.
const PACE_WEIGHT: f64 = 0.05;

/// Sets how a node chooses among backend servers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BalanceSettings {
    /// The age at which a latency counts 1/e.
    pub memory: Duration,
    /// The age at which a reported load counts 1/e.
    pub load_decay: Duration,
    /// How much a usage of 1 raises the score.
    pub load_weight: f64,
    /// The time over which a newly seen backend server gets its full share.
    pub slow_start: Duration,
    /// The failures in a row that eject a backend server.
    pub failures: u32,
    /// The time of the first ejection; it doubles with each further one.
    pub ejection: Duration,
    /// The longest ejection, and the time without one after which they are forgotten.
    pub longest: Duration,
    /// The greatest share of a service's candidates that is ejected at once.
    pub ejected: f64,
}

impl Default for BalanceSettings {
    fn default() -> Self {
        Self {
            memory: Duration::from_secs(5),
            load_decay: Duration::from_millis(500),
            load_weight: 1.0,
            slow_start: Duration::from_secs(10),
            failures: 5,
            ejection: Duration::from_secs(1),
            longest: Duration::from_secs(60),
            ejected: 0.5,
        }
    }
}

/// Tells by which rule a backend server was chosen, for counters.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum PickRule {
    /// The node's own backend server had a place.
    Own,
    /// One of the own failure domain.
    Near,
    /// One of another failure domain; the own one is absent, ejected or full.
    Spill,
    /// One of another region; the own one is absent, or much slower.
    Remote,
    /// Every candidate is ejected; one of them is tried rather than none.
    Ejected,
    /// One whose release is on trial.
    Trial,
}

/// Tells how much a request and its answer weigh on the way to another failure domain.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Payload {
    /// A few kilobytes.
    #[default]
    Light,
    /// A long body.
    Heavy,
}

impl Payload {
    /// Returns by how many targets another failure domain has to be faster.
    ///
    /// Traffic between failure domains costs about 0.015 of what a short answer is worth for
    /// a kilobyte, 0.035 for a request with its answer. Of calls whose times spread by 0.8
    /// around a quarter to a half of their target, 0.2 to 0.35 more are late for each
    /// target that is added to their mean, and a late answer has lost 0.7 to 0.9 of its
    /// worth: the way has to save a sixth to a quarter of the target. An upload of 60 kB
    /// costs half of its worth, which no speed outweighs.
    const fn penalty(self) -> f64 {
        match self {
            Self::Light => 0.2,
            Self::Heavy => 1.25,
        }
    }

    /// Returns by how many targets another region has to be faster: all that goes there shares
    /// one link, a request that is refused there has lost the way back as well, and who leaves a
    /// region that is short of places meets those of the other one.
    const fn remote_penalty(self) -> f64 {
        match self {
            Self::Light => 2.5,
            Self::Heavy => 4.0,
        }
    }
}

/// Names the chosen backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Pick {
    /// The node beside it.
    pub id: NodeId,
    /// Where that node takes requests for it.
    pub peer: SocketAddr,
    /// The rule that chose it.
    pub rule: PickRule,
    /// Whether it is believed to have a place.
    pub free: bool,
}

/// Chooses backend servers by what this node measures and by the load that answers carry back.
///
/// The own backend server is taken when it has a place. Otherwise four random
/// candidates of the own failure domain are compared by
/// `(running + 1) * latency * (1 + usage) * (1 + failure rate)`; a reported load
/// can only raise that score, so a backend server that claims to be idle gains
/// nothing over one that reports nothing. Other failure domains are used when the
/// own one is absent, ejected or full, and one of them is left out for a second when no
/// connection opened to two of its nodes. Where guards tell their backend server's pace, the
/// expected time takes the score's place, and another failure domain is also used when it
/// is faster by more than the way there is worth.
///
/// The state is one entry for each candidate of the view last given to
/// [`Balancer::adopt`], and for departed ones with calls still running. Each
/// method but `adopt` takes a time that does not grow with the candidates, unless
/// most of them are ejected, and none blocks: a node holds the balancer behind one
/// mutex, locked for each call of a method and never across an await.
///
/// # Examples
///
/// ```
/// use rand::{SeedableRng, rngs::SmallRng};
/// use swiftcart_core::{BalanceSettings, Balancer, Instant, NodeId};
/// # use swiftcart_core::{Backend, FailureDomain, Incarnation, Limits, Liveness, Member};
/// # use swiftcart_core::{Readiness, ServiceName, Table, Version, View};
/// # let me = NodeId("127.0.0.1:1".parse()?);
/// # let domain = FailureDomain::new("sur");
/// # let addr = "127.0.0.1:2".parse()?;
/// # let backend = Backend {
/// #     service: ServiceName::new("sensor"), addr, slots: 10, connections: 130,
/// #     readiness: Readiness::Ready,
/// # };
/// # let member = Member {
/// #     id: NodeId(addr), sync: addr, peer: addr, admin: addr, domain: domain.clone(),
/// #     incarnation: Incarnation(1), liveness: Liveness::Alive, backend: Some(backend), pace: None,
/// # };
/// # let table = Table::new().with_service("sensor", Limits::default());
/// # let view = View::new(Version(1), &table, [&member].into_iter(), me, &domain);
/// let now = Instant::from_millis(0);
/// let mut rng = SmallRng::seed_from_u64(1);
/// let mut balancer = Balancer::new(me, BalanceSettings::default());
/// balancer.adopt(now, &view);
/// let service = view.service("sensor").expect("the table has it");
/// let pick = balancer.pick(now, service, &[], &mut rng).expect("one candidate");
/// assert_eq!(pick.id, member.id);
/// assert_eq!(balancer.pick(now, service, &[member.id], &mut rng), None);
/// # Ok::<(), std::net::AddrParseError>(())
/// ```
#[derive(Debug, Clone, PartialEq)]
pub struct Balancer {
    me: NodeId,
    settings: BalanceSettings,
    peers: HashMap<NodeId, Peer>,
    /// The candidates of each service of the view.
    groups: Vec<Vec<NodeId>>,
    cuts: UnreachableDomains,
    /// The mean of the paces that were told, which stands in for one that was not.
    mean_pace: Option<f64>,
}

impl Balancer {
    /// Creates a balancer that has seen nothing.
    #[must_use]
    pub fn new(me: NodeId, settings: BalanceSettings) -> Self {
        Self {
            me,
            settings,
            peers: HashMap::new(),
            groups: Vec::new(),
            cuts: UnreachableDomains::default(),
            mean_pace: None,
        }
    }

    /// Takes over the candidates of a new view and forgets those that left.
    ///
    /// Newly seen ones start slowly, unless none of their service was known.
    pub fn adopt(&mut self, now: Instant, view: &View) {
        self.peers.values_mut().for_each(|p| p.departed = true);
        self.groups.clear();
        for (service, entry) in view.services().iter().enumerate() {
            let candidates = || entry.candidates().iter().chain(entry.tried());
            let ids: Vec<_> = candidates().map(|c| c.id).collect();
            let known = ids.iter().any(|id| self.peers.contains_key(id));
            let since = known.then_some(now);
            // Who is seen before it takes work starts no more slowly when it does.
            for id in ids.iter().chain(entry.waiting()) {
                let peer = self.peers.entry(*id);
                let peer = peer.or_insert_with(|| Peer::new(now, service, since));
                peer.service = service;
                peer.departed = false;
            }
            for candidate in candidates() {
                if let Some(peer) = self.peers.get_mut(&candidate.id) {
                    peer.hear(now, candidate.pace);
                    peer.domain = Some(candidate.domain).filter(|_| !candidate.is_near());
                }
            }
            self.groups.push(ids);
        }
        self.peers.retain(|_, p| !p.departed || p.running > 0);
    }

    /// Chooses a candidate of `entry` that is not in `exclude`; `None` when there is none.
    pub fn pick<R: Rng + ?Sized>(
        &self,
        now: Instant,
        entry: &ServiceEntry,
        exclude: &[NodeId],
        rng: &mut R,
    ) -> Option<Pick> {
        self.pick_for(&PickRequirements::default(), now, entry, exclude, rng)
    }

    /// Chooses like [`Balancer::pick`] for a request that asks for more than its service.
    pub fn pick_for<R: Rng + ?Sized>(
        &self,
        need: &PickRequirements,
        now: Instant,
        entry: &ServiceEntry,
        exclude: &[NodeId],
        rng: &mut R,
    ) -> Option<Pick> {
        let choice = Choice {
            balancer: self,
            need,
            now,
            exclude,
        };
        choice.make(entry, rng)
    }

    /// Counts a call that was given to `id`.
    pub fn started(&mut self, id: NodeId) {
        if let Some(peer) = self.peers.get_mut(&id) {
            peer.running = peer.running.saturating_add(1);
        }
    }

    /// Takes in a finished call; returns whether `id` was ejected for it.
    pub fn finished(&mut self, id: NodeId, now: Instant, sample: &Sample) -> bool {
        let Some(peer) = self.peers.get_mut(&id) else {
            return false;
        };
        let failed = peer.finish(now, sample, &self.settings);
        match (peer.domain, sample.result) {
            (Some(domain), CallResult::Unreachable) => {
                self.cuts.failed(domain, id, now);
            }
            (
                Some(domain),
                CallResult::Success
                | CallResult::Refused
                | CallResult::LinkBusy
                | CallResult::ErrorResponse,
            ) => {
                self.cuts.reached(domain);
            }
            (None, _) | (_, CallResult::Failure | CallResult::Cancelled) => {}
        }
        if let Some(pace) = sample.pace.map(Pace::quotient) {
            let mean_pace = self.mean_pace.get_or_insert(pace);
            *mean_pace += PACE_WEIGHT * (pace - *mean_pace);
        }
        if peer.departed && peer.running == 0 {
            self.peers.remove(&id);
            return false;
        }
        match sample.result {
            CallResult::Unreachable => failed && self.avoid(id, now),
            _ => failed && self.eject(id, now),
        }
    }

    /// Returns the time that calls take, as a share of their targets; zero while no pace was told.
    #[must_use]
    pub fn mean_pace(&self) -> f64 {
        self.mean_pace.unwrap_or(0.0)
    }

    /// Returns the number of backend servers that the balancer remembers.
    #[must_use]
    pub fn len(&self) -> usize {
        self.peers.len()
    }

    /// Tells whether the balancer remembers no backend server.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }

    /// Tells whether `id` is ejected.
    #[must_use]
    pub fn ejected(&self, id: NodeId, now: Instant) -> bool {
        self.peers.get(&id).is_some_and(|p| p.ejected(now))
    }

    /// Takes an unreachable backend server out, unless it is the last one: a failure domain
    /// that is cut off is more than the share that failures may eject.
    fn avoid(&mut self, id: NodeId, now: Instant) -> bool {
        let last = self.left(id, now) <= 1;
        match self.peers.get_mut(&id) {
            Some(peer) if !last => {
                peer.avoid(now, &self.settings);
                true
            }
            Some(peer) => {
                peer.spare();
                false
            }
            None => false,
        }
    }

    fn eject(&mut self, id: NodeId, now: Instant) -> bool {
        let group = self.group(id);
        let ejected = group.len() - self.left(id, now);
        let allowed = (group.len() as f64 * self.settings.ejected).floor();
        match self.peers.get_mut(&id) {
            Some(peer) if ((ejected + 1) as f64) <= allowed => {
                peer.eject(now, &self.settings);
                true
            }
            Some(peer) => {
                peer.spare();
                false
            }
            None => false,
        }
    }

    /// Returns the candidates of the service that `id` is one of.
    fn group(&self, id: NodeId) -> &[NodeId] {
        let group = self.peers.get(&id).and_then(|p| self.groups.get(p.service));
        group.map_or(&[][..], Vec::as_slice)
    }

    /// Counts those of the group of `id` that are not ejected.
    fn left(&self, id: NodeId, now: Instant) -> usize {
        let group = self.group(id).iter();
        group.filter(|id| !self.ejected(**id, now)).count()
    }
}

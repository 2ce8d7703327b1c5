//! Load balancing: the selection of a backend server for a call.

mod pace_announcer;
mod payload;
mod peer;
mod pick;
mod pick_requirements;
mod sample;
mod selection;
mod service_plan;
mod settings;
mod unreachable_domains;

use std::collections::HashMap;
use std::time::Duration;

use rand::Rng;

use crate::{Instant, NodeId, ServiceEntry, View};
pub use pace_announcer::*;
pub use payload::*;
use peer::Peer;
pub use pick::*;
pub use pick_requirements::*;
pub use sample::*;
use selection::Selection;
use service_plan::ServicePlan;
pub use settings::*;
use unreachable_domains::UnreachableDomains;

/// Weight of one reported pace in the moving average over all backend servers.
const PACE_WEIGHT: f64 = 0.05;

/// Time after a response with a slowdown for which the backend servers of its service count as
/// stating their pace.
const STATED_PACE_PERIOD: Duration = Duration::from_secs(30);

/// Load balancer that combines this node's own measurements with the load reported in responses.
///
/// The node's own backend server is selected while it has a free slot. Otherwise four random
/// candidates of the same failure domain are compared by `(running + 1) * latency * (1 + usage) *
/// (1 + failure rate)`. A reported load can only raise this score, so a backend server that claims
/// to be idle gains nothing over one that reports no load. Other failure domains are used when the
/// node's own domain has no candidates, or only ejected or full ones. A failure domain is skipped
/// for one second after connections to two of its nodes have failed. Once guards report the pace of
/// their backend servers, the expected latency replaces the score. Another failure domain is then
/// also used when its expected latency is lower by more than the cost of the detour.
///
/// For a request with a [`SpillDraw`](crate::SpillDraw), the service's
/// [`SpillPlan`](crate::SpillPlan) decides whether it leaves the failure domain.
///
/// The state is one entry for each candidate of the view last passed to [`Balancer::adopt`], and
/// for each departed candidate with calls in flight. Apart from `adopt`, the run time of a method
/// depends on the number of candidates only in three cases: an ejection, a selection while most
/// candidates are not usable, and a selection for a service with canary backend servers. No method
/// blocks: a node keeps the balancer behind a mutex that is locked for each method call and never
/// held across an await.
///
/// # Examples
///
/// ```
/// use rand::{SeedableRng, rngs::SmallRng};
/// use swiftcart_core::{BalanceSettings, Balancer, Instant, NodeId};
/// # use swiftcart_core::{Backend, FailureDomain, Incarnation, Limits, Liveness, Member};
/// # use swiftcart_core::{Readiness, ServiceName, Table, Version, View};
/// # let node_id = NodeId("127.0.0.1:1".parse()?);
/// # let domain = FailureDomain::new("sur");
/// # let addr = "127.0.0.1:2".parse()?;
/// # let backend = Backend {
/// #     service: ServiceName::new("sensor"), addr, slots: 10, connections: 130,
/// #     readiness: Readiness::Ready,
/// # };
/// # let member = Member {
/// #     id: NodeId(addr), sync: addr, peer: addr, admin: addr, domain: domain.clone(),
/// #     incarnation: Incarnation(1), liveness: Liveness::Alive, backend: Some(backend),
/// #     pace: None,
/// # };
/// # let table = Table::new().with_service("sensor", Limits::default());
/// # let view = View::new(Version(1), &table, [&member].into_iter(), node_id, &domain);
/// let now = Instant::from_millis(0);
/// let mut rng = SmallRng::seed_from_u64(1);
/// let mut balancer = Balancer::new(node_id, BalanceSettings::default());
/// balancer.adopt(now, &view);
/// let service = view.service("sensor").expect("service in the table");
/// let pick = balancer.pick(now, service, &[], &mut rng).expect("one candidate");
/// assert_eq!(pick.id, member.id);
/// assert_eq!(balancer.pick(now, service, &[member.id], &mut rng), None);
/// # Ok::<(), std::net::AddrParseError>(())
/// ```
#[derive(Debug, Clone, PartialEq)]
pub struct Balancer {
    node_id: NodeId,
    settings: BalanceSettings,
    peers: HashMap<NodeId, Peer>,
    /// Candidates of each service of the view.
    groups: Vec<Vec<NodeId>>,
    /// Time of the last response of each service of the view that reported a slowdown.
    slowdowns_at: Vec<Option<Instant>>,
    /// Spill plan of each service of the view.
    plans: Vec<ServicePlan>,
    unreachable: UnreachableDomains,
    /// Moving average of the reported paces, used for backend servers that have not reported one.
    mean_pace: Option<f64>,
}

impl Balancer {
    /// Creates a balancer without any candidates.
    #[must_use]
    pub fn new(node_id: NodeId, settings: BalanceSettings) -> Self {
        Self {
            node_id,
            settings,
            peers: HashMap::new(),
            groups: Vec::new(),
            slowdowns_at: Vec::new(),
            plans: Vec::new(),
            unreachable: UnreachableDomains::default(),
            mean_pace: None,
        }
    }

    /// Replaces the candidates by those of a new view. Candidates that have left are removed once
    /// no calls to them are in flight.
    ///
    /// New candidates go through slow start, unless no candidate of their service was known before.
    pub fn adopt(&mut self, now: Instant, view: &View) {
        self.peers.values_mut().for_each(|p| p.departed = true);
        self.groups.clear();
        self.slowdowns_at.clear();
        for (service, entry) in view.services().iter().enumerate() {
            let candidates = || entry.candidates().iter().chain(entry.tried());
            let ids: Vec<_> = candidates().map(|c| c.id).collect();
            let known = ids.iter().any(|id| self.peers.contains_key(id));
            let since = known.then_some(now);
            // Slow start counts from the discovery, even while the backend server takes no requests
            // yet.
            for id in ids.iter().chain(entry.warming()) {
                let peer = self.peers.entry(*id);
                let peer = peer.or_insert_with(|| Peer::new(now, service, since));
                peer.service = service;
                peer.departed = false;
            }
            for candidate in candidates() {
                if let Some(peer) = self.peers.get_mut(&candidate.id) {
                    peer.apply_announcement(now, candidate.pace);
                    peer.domain = Some(candidate.domain).filter(|_| !candidate.in_same_domain());
                }
            }
            let known_peers = ids.iter().filter_map(|id| self.peers.get(id));
            let slowdown_at = known_peers.filter_map(Peer::slowdown_at).max();
            self.slowdowns_at.push(slowdown_at);
            self.groups.push(ids);
        }
        self.peers.retain(|_, p| !p.departed || p.running > 0);
        self.adopt_plans(view);
    }

    /// Selects a candidate of `entry` that is not in `exclude`, or `None` if there is none.
    pub fn pick<R: Rng + ?Sized>(
        &self,
        now: Instant,
        entry: &ServiceEntry,
        exclude: &[NodeId],
        rng: &mut R,
    ) -> Option<Pick> {
        self.pick_for(&PickRequirements::default(), now, entry, exclude, rng)
    }

    /// Selects a candidate like [`Balancer::pick`], subject to the requirements of one request.
    pub fn pick_for<R: Rng + ?Sized>(
        &self,
        requirements: &PickRequirements,
        now: Instant,
        entry: &ServiceEntry,
        exclude: &[NodeId],
        rng: &mut R,
    ) -> Option<Pick> {
        let selection = Selection {
            balancer: self,
            requirements,
            now,
            exclude,
            domain: None,
        };
        selection.select(entry, rng)
    }

    /// Records the start of a call to `id`.
    pub fn started(&mut self, id: NodeId) {
        if let Some(peer) = self.peers.get_mut(&id) {
            peer.running = peer.running.saturating_add(1);
            if let Some(service) = planned(&mut self.plans, peer) {
                service.plan.started(peer.domain);
            }
        }
    }

    /// Records a finished call and returns `true` if it caused the ejection of `id`.
    pub fn finished(&mut self, id: NodeId, now: Instant, sample: &Sample) -> bool {
        let Some(peer) = self.peers.get_mut(&id) else {
            return false;
        };
        let failed = peer.finish(now, sample, &self.settings);
        if let Some(service) = planned(&mut self.plans, peer) {
            service.plan.finished(peer.domain);
            if let Some(load) = sample.load {
                service.plan.record(now, peer.domain, id, load.usage());
            }
        }
        if let Some(domain) = peer.domain {
            self.unreachable.record(domain, id, now, sample.result);
        }
        let slowdown_at = self.slowdowns_at.get_mut(peer.service);
        match (slowdown_at, sample.slowdown) {
            (Some(at), Some(_)) if !peer.departed => *at = Some(now),
            _ => {}
        }
        if let Some(pace) = sample.usual_pace().map(Pace::ratio) {
            let mean_pace = self.mean_pace.get_or_insert(pace);
            *mean_pace += PACE_WEIGHT * (pace - *mean_pace);
        }
        if peer.departed && peer.running == 0 {
            self.peers.remove(&id);
            return false;
        }
        match sample.result {
            CallResult::Unreachable => failed && self.eject_unreachable(id, now),
            _ => failed && self.eject(id, now),
        }
    }

    /// Returns the mean latency of calls relative to their targets, or zero if no pace was
    /// reported.
    #[must_use]
    pub fn mean_pace(&self) -> f64 {
        self.mean_pace.unwrap_or(0.0)
    }

    /// Returns `true` if a backend server of `entry` has recently stated its pace.
    #[must_use]
    pub fn states_pace(&self, now: Instant, entry: &ServiceEntry) -> bool {
        let mut all = entry.candidates().iter().chain(entry.tried());
        let peer = all.find_map(|candidate| self.peers.get(&candidate.id));
        let at = peer.and_then(|peer| *self.slowdowns_at.get(peer.service)?);
        at.is_some_and(|at| now.since(at) < STATED_PACE_PERIOD)
    }

    /// Returns the number of tracked backend servers.
    #[must_use]
    pub fn len(&self) -> usize {
        self.peers.len()
    }

    /// Returns `true` if no backend server is tracked.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }

    /// Returns `true` if `id` is ejected.
    #[must_use]
    pub fn ejected(&self, id: NodeId, now: Instant) -> bool {
        self.peers.get(&id).is_some_and(|p| p.ejected(now))
    }

    /// Ejects an unreachable backend server, unless it is the last one in rotation.
    ///
    /// The limit on ejections does not apply here, because a failure domain that is cut off can
    /// hold more candidates than may be ejected for failures.
    fn eject_unreachable(&mut self, id: NodeId, now: Instant) -> bool {
        let last = self.active_count(id, now) <= 1;
        match self.peers.get_mut(&id) {
            Some(peer) if !last => {
                peer.eject_unreachable(now, &self.settings);
                true
            }
            Some(peer) => {
                peer.keep_in_rotation();
                false
            }
            None => false,
        }
    }

    fn eject(&mut self, id: NodeId, now: Instant) -> bool {
        let group = self.group(id);
        let ejected = group.len() - self.active_count(id, now);
        let allowed = (group.len() as f64 * self.settings.max_ejected).floor();
        match self.peers.get_mut(&id) {
            Some(peer) if ((ejected + 1) as f64) <= allowed => {
                peer.eject(now, &self.settings);
                true
            }
            Some(peer) => {
                peer.keep_in_rotation();
                false
            }
            None => false,
        }
    }

    /// Returns the candidates of the service that `id` belongs to.
    fn group(&self, id: NodeId) -> &[NodeId] {
        let group = self.peers.get(&id).and_then(|p| self.groups.get(p.service));
        group.map_or(&[][..], Vec::as_slice)
    }

    /// Returns the number of candidates in the group of `id` that are not ejected.
    fn active_count(&self, id: NodeId, now: Instant) -> usize {
        let group = self.group(id).iter();
        group.filter(|id| !self.ejected(**id, now)).count()
    }
}

/// Returns the plan of the service that `peer` belongs to.
///
/// The service of a departed backend server may have another place in the view by now.
fn planned<'a>(plans: &'a mut [ServicePlan], peer: &Peer) -> Option<&'a mut ServicePlan> {
    match peer.departed {
        true => None,
        false => plans.get_mut(peer.service),
    }
}

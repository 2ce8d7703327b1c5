//! Load balancing: the selection of a backend server for a call.

mod pace_announcer;
mod peer;
mod pick_requirements;
mod sample;
mod selection;
mod unreachable_domains;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;

use crate::{
    DomainSlots, Instant, NodeId, ServiceEntry, ServiceName, SpillCause, SpillPlan, SpillStatus,
    View,
};
pub use pace_announcer::*;
use peer::Peer;
pub use pick_requirements::*;
pub use sample::*;
use selection::Selection;
use unreachable_domains::UnreachableDomains;

/// Weight of one reported pace in the moving average over all backend servers.
const PACE_WEIGHT: f64 = 0.05;

/// Time for which a service counts as one whose backend servers state their pace, after the last
/// response that reported it.
const STATED_PACE_PERIOD: Duration = Duration::from_secs(30);

/// Settings for the selection among backend servers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BalanceSettings {
    /// Time constant of the latency and failure averages: a value of this age counts 1/e.
    pub decay_time: Duration,
    /// Time constant of reported load: a load of this age counts 1/e.
    pub load_decay: Duration,
    /// Factor by which a usage of 1 raises the score.
    pub load_weight: f64,
    /// Slow-start period, after which a newly discovered backend server gets its full share.
    pub slow_start: Duration,
    /// Number of consecutive failures that eject a backend server.
    pub failure_threshold: u32,
    /// Duration of the first ejection. Each further ejection lasts twice as long.
    pub base_ejection: Duration,
    /// Maximum duration of an ejection. The ejection count is reset after this time without an
    /// ejection.
    pub max_ejection: Duration,
    /// Maximum share of a service's candidates that may be ejected at once.
    pub max_ejected: f64,
}

impl Default for BalanceSettings {
    fn default() -> Self {
        Self {
            decay_time: Duration::from_secs(5),
            load_decay: Duration::from_millis(500),
            load_weight: 1.0,
            slow_start: Duration::from_secs(10),
            failure_threshold: 5,
            base_ejection: Duration::from_secs(1),
            max_ejection: Duration::from_secs(60),
            max_ejected: 0.5,
        }
    }
}

/// Rule that selected a backend server, used for metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum PickRule {
    /// The node's own backend server, which had a free slot.
    Own,
    /// A backend server of the same failure domain.
    Near,
    /// A backend server of another failure domain, because the node's own domain has no candidates,
    /// only ejected or full ones, or much slower ones.
    Spill,
    /// A backend server of another region, because the node's own region has no candidates or is
    /// much slower.
    Remote,
    /// An ejected backend server, because every candidate is ejected.
    Ejected,
    /// A backend server that runs a canary release.
    Trial,
}

/// Size class of a request and its response, which determines the cost of leaving the failure
/// domain.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Payload {
    /// A few kilobytes.
    #[default]
    Light,
    /// A long body.
    Heavy,
}

impl Payload {
    /// Returns the time, in multiples of the target latency, that another failure domain has to
    /// save.
    ///
    /// Traffic between failure domains costs about 0.015 of the value of a short response per
    /// kilobyte, or 0.035 for a request with its response. For calls whose latencies have a spread
    /// of 0.8 around a quarter to a half of the target, adding one target to the mean increases the
    /// share of late responses by 0.2 to 0.35. A late response has lost 0.7 to 0.9 of its value, so
    /// the other domain has to save a sixth to a quarter of the target. An upload of 60 kB costs
    /// half of its value, which no gain in latency outweighs.
    const fn penalty(self) -> f64 {
        match self {
            Self::Light => 0.2,
            Self::Heavy => 1.25,
        }
    }

    /// Returns the time, in multiples of the target latency, that another region has to save.
    ///
    /// The penalty is higher than between failure domains for three reasons. All traffic to a
    /// region shares one link, a request that is refused there also loses the return trip, and
    /// requests leaving a region that is short of slots compete with those leaving the other
    /// region.
    const fn remote_penalty(self) -> f64 {
        match self {
            Self::Light => 2.5,
            Self::Heavy => 4.0,
        }
    }
}

/// Selected backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Pick {
    /// ID of the node beside the backend server.
    pub id: NodeId,
    /// Address at which that node accepts requests for the backend server.
    pub peer: SocketAddr,
    /// Rule that selected the backend server.
    pub rule: PickRule,
    /// Cause for which the request leaves its failure domain.
    pub cause: Option<SpillCause>,
    /// `true` if the backend server is believed to have a free slot.
    pub free: bool,
}

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
/// For a request with a [`SpillDraw`](crate::SpillDraw), the service's [`SpillPlan`] decides
/// whether it leaves the failure domain.
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

/// Spill plan of one service.
#[derive(Debug, Clone, PartialEq)]
struct ServicePlan {
    name: ServiceName,
    plan: SpillPlan,
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
            let told = ids.iter().filter_map(|id| self.peers.get(id));
            self.slowdowns_at
                .push(told.filter_map(Peer::slowdown_at).max());
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
        match (peer.domain, sample.result) {
            (Some(domain), CallResult::Unreachable) => {
                self.unreachable.record_failure(domain, id, now);
            }
            (
                Some(domain),
                CallResult::Success
                | CallResult::Refused
                | CallResult::LinkBusy
                | CallResult::ErrorResponse,
            ) => {
                self.unreachable.record_success(domain);
            }
            (None, _) | (_, CallResult::Failure | CallResult::Cancelled) => {}
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

    /// Returns `true` if the backend servers of `entry` have recently stated the pace of their hosts.
    #[must_use]
    pub fn states_pace(&self, now: Instant, entry: &ServiceEntry) -> bool {
        let mut all = entry.candidates().iter().chain(entry.tried());
        let peer = all.find_map(|candidate| self.peers.get(&candidate.id));
        let at = peer.and_then(|peer| *self.slowdowns_at.get(peer.service)?);
        at.is_some_and(|at| now.since(at) < STATED_PACE_PERIOD)
    }

    /// Returns the figures of the spill plan of each service.
    pub fn spill_status(&self, now: Instant) -> impl Iterator<Item = (&ServiceName, SpillStatus)> {
        let plans = self.plans.iter();
        plans.map(move |service| (&service.name, service.plan.status(now)))
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

    /// Replaces the spill plans by those of a new view. Plans of services that remain are kept.
    fn adopt_plans(&mut self, view: &View) {
        let old = std::mem::take(&mut self.plans);
        let mut old: HashMap<_, _> = old.into_iter().map(|s| (s.name, s.plan)).collect();
        for entry in view.services() {
            let mut plan = old.remove(entry.name()).unwrap_or_default();
            plan.set_domains(&self.domain_slots(entry));
            let name = entry.name().clone();
            self.plans.push(ServicePlan { name, plan });
        }
    }

    /// Returns the slots of a service in each failure domain of the node's region.
    fn domain_slots(&self, entry: &ServiceEntry) -> Vec<DomainSlots> {
        let mut domains: Vec<DomainSlots> = Vec::new();
        let canaries = entry.tried().iter();
        for candidate in entry.near().iter().chain(entry.far()).chain(canaries) {
            let domain = Some(candidate.domain).filter(|_| !candidate.in_same_domain());
            let running = self.peers.get(&candidate.id).map_or(0, |p| p.running);
            match domains.iter_mut().find(|known| known.domain == domain) {
                Some(known) => {
                    known.slots += candidate.slots;
                    known.running += running;
                }
                None => domains.push(DomainSlots {
                    domain,
                    slots: candidate.slots,
                    running,
                }),
            }
        }
        domains
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

    /// Returns the spill plan of a service.
    fn plan(&self, entry: &ServiceEntry) -> Option<&SpillPlan> {
        let peer = self.peers.get(&entry.candidates().first()?.id)?;
        let service = self.plans.get(peer.service)?;
        (service.name == *entry.name()).then_some(&service.plan)
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

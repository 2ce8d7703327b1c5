//! Selection among the candidates of a service.

mod planned;

use rand::Rng;

use super::peer::Peer;
use super::{Balancer, Payload, Pick, PickRequirements, PickRule};
use crate::{Candidate, DomainTag, Instant, NodeId, ServiceEntry, SpillCause};

/// Maximum number of random draws for a usable candidate before the candidates are scanned in
/// order, and maximum number of further draws for a candidate that passes slow start.
const MAX_DRAWS: usize = 8;

/// Number of random candidates that are compared.
///
/// Backend servers of one service differ in speed by up to a factor of three, and a third of them
/// is slow. Two draws hit only slow ones in one selection of nine, four draws in one of eighty.
/// Comparing all candidates would send the next request of every node to the same backend server.
const SAMPLE_SIZE: usize = 4;

/// Fraction of the own backend server's expected latency below which another one is preferred.
///
/// The hop costs two more connections and their handling, about 0.3 ms, and gives up a slot that is
/// known to be free.
const HOP_RATIO: f64 = 0.8;

/// Fraction of another score below which a score counts as better. Closer scores are treated as
/// equal.
const BETTER_RATIO: f64 = 0.9;

/// Maximum number of further candidates of the own failure domain that are considered before a
/// request with a spill draw leaves it for lack of a free slot.
const MAX_SEARCHED: usize = 16;

/// Load of a canary backend server relative to the others. Some releases fail only at full load.
const CANARY_LOAD: f64 = 1.3;

/// Maximum fraction of a service's requests that is offered to canary backend servers. It takes
/// effect if the service has hardly any other backend servers.
const MAX_CANARY_SHARE: f64 = 0.5;

/// Fixed inputs of one selection.
pub(super) struct Selection<'a> {
    pub(super) balancer: &'a Balancer,
    pub(super) requirements: &'a PickRequirements,
    pub(super) now: Instant,
    pub(super) exclude: &'a [NodeId],
    /// Failure domain to which the selection is restricted.
    pub(super) domain: Option<DomainTag>,
}

/// Candidate with the rule and the cause of its selection.
#[derive(Clone, Copy)]
struct Choice<'a> {
    state: CandidateState<'a>,
    rule: PickRule,
    cause: Option<SpillCause>,
}

impl<'a> Choice<'a> {
    /// Creates a choice within the node's own failure domain.
    const fn near(state: CandidateState<'a>, rule: PickRule) -> Self {
        Self {
            state,
            rule,
            cause: None,
        }
    }

    /// Creates a choice in another failure domain of the region.
    const fn spill(state: CandidateState<'a>, cause: SpillCause) -> Self {
        Self {
            state,
            rule: PickRule::Spill,
            cause: Some(cause),
        }
    }
}

/// Candidate together with its balancer state, so that the state is looked up only once.
#[derive(Clone, Copy)]
struct CandidateState<'a> {
    candidate: &'a Candidate,
    peer: Option<&'a Peer>,
}

impl<'a> Selection<'a> {
    /// Selects one candidate of `entry`.
    pub(super) fn select<R: Rng + ?Sized>(
        &self,
        entry: &'a ServiceEntry,
        rng: &mut R,
    ) -> Option<Pick> {
        if let Some(canary) = self.canary(entry, rng) {
            return Some(self.pick(canary, PickRule::Trial));
        }
        let regional = self.regional(entry, rng);
        let remote = self.best(entry.remote(), rng);
        match (regional, remote) {
            (Some(here), Some(remote)) if self.outweighs_remote_detour(remote, here.state) => {
                Some(self.pick(remote, PickRule::Remote))
            }
            (Some(here), _) => Some(Pick {
                cause: here.cause,
                ..self.pick(here.state, here.rule)
            }),
            (None, Some(remote)) => Some(self.pick(remote, PickRule::Remote)),
            (None, None) => self.any_candidate(entry.candidates(), rng),
        }
    }

    /// Selects one candidate of the node's own region.
    fn regional<R: Rng + ?Sized>(
        &self,
        entry: &'a ServiceEntry,
        rng: &mut R,
    ) -> Option<Choice<'a>> {
        let own = entry.own().map(|c| self.lookup(c));
        let own = own.filter(|own| self.usable(*own) && !self.is_full(*own));
        let near = self.near(entry, own.is_some(), rng);
        let here = match (own, near) {
            (Some(own), Some(near)) if self.worth_a_hop(near, own) => {
                Some(Choice::near(near, PickRule::Near))
            }
            (Some(own), _) => Some(Choice::near(own, PickRule::Own)),
            (None, Some(near)) if !self.is_full(near) => Some(Choice::near(near, PickRule::Near)),
            (None, _) => None,
        };
        match (self.spill_advice(entry), near) {
            (Some(advice), Some(near)) => Some(self.planned(advice, here, near, entry, rng)),
            _ => self.sampled(here, near, entry, rng),
        }
    }

    /// Returns the best of a few candidates of the own failure domain.
    ///
    /// If that one is believed full, a request with a spill draw looks for another one.
    fn near<R: Rng + ?Sized>(
        &self,
        entry: &'a ServiceEntry,
        has_own: bool,
        rng: &mut R,
    ) -> Option<CandidateState<'a>> {
        let near = self.best(entry.near(), rng)?;
        if has_own || self.requirements.spill.is_none() || !self.is_full(near) {
            return Some(near);
        }
        let all = entry.near();
        let (head, tail) = all.split_at(rng.random_range(0..all.len()));
        let searched = tail.iter().chain(head).take(MAX_SEARCHED);
        let mut states = searched.map(|candidate| self.lookup(candidate));
        let free = states.find(|s| self.usable(*s) && !self.is_full(*s) && self.is_warm(*s, rng));
        Some(free.unwrap_or(near))
    }

    /// Selects the better of the choice of the own failure domain and a few candidates of others.
    fn sampled<R: Rng + ?Sized>(
        &self,
        here: Option<Choice<'a>>,
        near: Option<CandidateState<'a>>,
        entry: &'a ServiceEntry,
        rng: &mut R,
    ) -> Option<Choice<'a>> {
        let far = self.best(entry.far(), rng);
        let saving = self.requirements.crossing().penalty();
        match (here, near, far) {
            (Some(here), _, Some(far)) if self.outweighs_detour(far, here.state, saving) => {
                Some(Choice::spill(far, SpillCause::Faster))
            }
            (Some(here), _, _) => Some(here),
            (None, Some(near), _) if self.requirements.crossing() == Payload::Heavy => {
                Some(Choice::near(near, PickRule::Near))
            }
            (None, Some(_), Some(far)) if !self.is_full(far) => {
                Some(Choice::spill(far, SpillCause::GuardsFull))
            }
            (None, Some(near), _) => Some(Choice::near(near, PickRule::Near)),
            (None, None, Some(far)) => Some(Choice::spill(far, SpillCause::NoneNear)),
            (None, None, None) => None,
        }
    }

    /// Returns a canary backend server for a random fraction of the requests.
    ///
    /// The fraction gives each canary slightly more load than the other backend servers get. A
    /// guard refuses requests beyond the request limit of its canary.
    fn canary<R: Rng + ?Sized>(
        &self,
        entry: &'a ServiceEntry,
        rng: &mut R,
    ) -> Option<CandidateState<'a>> {
        let all = entry.tried();
        if all.is_empty() {
            return None;
        }
        let near = all.iter().filter(|c| c.in_same_domain()).count();
        // A long body stays in its failure domain.
        let all = match (near, self.requirements.crossing()) {
            (0, Payload::Heavy) => return None,
            (0, Payload::Light) => all,
            (near, _) => &all[..near],
        };
        let others = entry
            .candidates()
            .iter()
            .filter(|c| near == 0 || c.in_same_domain());
        let share = CANARY_LOAD * all.len() as f64 / others.count().max(1) as f64;
        if rng.random::<f64>() >= share.min(MAX_CANARY_SHARE) {
            return None;
        }
        let canary = self.random_usable(all, None, rng)?;
        (!self.is_full(canary)).then_some(canary)
    }

    /// Returns `true` if `far`, in another failure domain, is faster than `here` by more than
    /// `saving`, in multiples of the target.
    fn outweighs_detour(
        &self,
        far: CandidateState<'_>,
        here: CandidateState<'_>,
        saving: f64,
    ) -> bool {
        match (self.expected(far), self.expected(here)) {
            (Some(there), Some(here)) => !self.is_full(far) && there + saving < here,
            _ => false,
        }
    }

    /// Returns `true` if `remote`, in another region, is faster than `here` by more than the cost
    /// of the detour.
    fn outweighs_remote_detour(
        &self,
        remote: CandidateState<'_>,
        here: CandidateState<'_>,
    ) -> bool {
        match (self.expected(remote), self.expected(here)) {
            (Some(there), Some(here)) => {
                !self.is_full(remote)
                    && there + self.requirements.crossing().remote_penalty() < here
            }
            _ => false,
        }
    }

    /// Returns `true` if `a` is faster than the own backend server `own` by more than the cost of a
    /// hop.
    fn worth_a_hop(&self, a: CandidateState<'_>, own: CandidateState<'_>) -> bool {
        match (self.expected(a), self.expected(own)) {
            (Some(there), Some(here)) => !self.is_full(a) && there < HOP_RATIO * here,
            _ => false,
        }
    }

    /// Returns the expected latency in multiples of the target.
    ///
    /// A backend server without a reported pace counts as average, so that it is tried when the
    /// others are slow.
    fn expected(&self, state: CandidateState<'_>) -> Option<f64> {
        let mean_pace = self.balancer.mean_pace?;
        let slots = state.candidate.slots;
        let settings = &self.balancer.settings;
        let peer = state.peer?;
        Some(peer.expected(self.now, slots, mean_pace, settings))
    }

    /// Returns the best of a few random candidates.
    ///
    /// Slow start is applied to each draw, so that a newly discovered candidate gets no more than
    /// its share even in a small group.
    fn best<R: Rng + ?Sized>(
        &self,
        all: &'a [Candidate],
        rng: &mut R,
    ) -> Option<CandidateState<'a>> {
        let mut first = self.random_usable(all, None, rng)?;
        for _ in 0..MAX_DRAWS {
            if self.is_warm(first, rng) {
                break;
            }
            first = self.random_usable(all, None, rng)?;
        }
        let mut best = first;
        for _ in 1..SAMPLE_SIZE {
            match self.random_usable(all, Some(best.candidate.id), rng) {
                Some(next) if self.is_warm(next, rng) && self.is_better(next, best) => best = next,
                Some(_) => {}
                None => break,
            }
        }
        Some(best)
    }

    /// Returns a random usable candidate other than `excluded`.
    fn random_usable<R: Rng + ?Sized>(
        &self,
        all: &'a [Candidate],
        excluded: Option<NodeId>,
        rng: &mut R,
    ) -> Option<CandidateState<'a>> {
        if all.is_empty() {
            return None;
        }
        let usable = |c: &'a Candidate| {
            let state = (Some(c.id) != excluded).then(|| self.lookup(c));
            state.filter(|state| self.usable(*state))
        };
        let mut drawn = (0..MAX_DRAWS.min(all.len())).map(|_| &all[rng.random_range(0..all.len())]);
        if let Some(state) = drawn.find_map(usable) {
            return Some(state);
        }
        let (head, tail) = all.split_at(rng.random_range(0..all.len()));
        tail.iter().chain(head).find_map(usable)
    }

    /// Returns a random candidate that is allowed and not excluded, even if it is ejected.
    fn any_candidate<R: Rng + ?Sized>(&self, all: &'a [Candidate], rng: &mut R) -> Option<Pick> {
        if all.is_empty() {
            return None;
        }
        let (head, tail) = all.split_at(rng.random_range(0..all.len()));
        let left = |c: &&Candidate| !self.exclude.contains(&c.id) && self.allowed(c);
        let candidate = tail.iter().chain(head).find(left)?;
        Some(self.pick(self.lookup(candidate), PickRule::Ejected))
    }

    fn pick(&self, state: CandidateState<'_>, rule: PickRule) -> Pick {
        Pick {
            id: state.candidate.id,
            peer: state.candidate.peer,
            rule,
            cause: None,
            free: !self.is_full(state),
        }
    }

    fn lookup(&self, candidate: &'a Candidate) -> CandidateState<'a> {
        let peer = self.balancer.peers.get(&candidate.id);
        CandidateState { candidate, peer }
    }

    fn usable(&self, state: CandidateState<'_>) -> bool {
        let failure_threshold = self.balancer.settings.failure_threshold;
        !self.exclude.contains(&state.candidate.id)
            && self.allowed(state.candidate)
            && self.domain.is_none_or(|d| d == state.candidate.domain)
            && !self.is_unreachable(state.candidate)
            && state
                .peer
                .is_none_or(|p| p.usable(self.now, failure_threshold))
    }

    /// Returns `true` if the request may be sent to the candidate's region.
    fn allowed(&self, candidate: &Candidate) -> bool {
        self.requirements.regions.allows(candidate.region)
    }

    /// Returns `true` if the candidate's failure domain is considered unreachable.
    fn is_unreachable(&self, candidate: &Candidate) -> bool {
        !candidate.in_same_domain()
            && self
                .balancer
                .unreachable
                .is_unreachable(candidate.domain, self.now)
    }

    fn is_full(&self, state: CandidateState<'_>) -> bool {
        let age = self.balancer.settings.load_decay;
        let slots = state.candidate.slots;
        state.peer.is_some_and(|p| {
            let link_busy = self.requirements.payload == Payload::Heavy && p.is_link_busy(self.now);
            link_busy
                || p.is_rate_limited(self.now)
                || p.running >= slots
                || p.usage(self.now, age) >= 1.0
        })
    }

    /// Returns `true` with a probability that equals the slow-start share of the candidate.
    fn is_warm<R: Rng + ?Sized>(&self, state: CandidateState<'_>, rng: &mut R) -> bool {
        let time = self.balancer.settings.slow_start;
        let slow_start_share = state
            .peer
            .map_or(1.0, |p| p.slow_start_share(self.now, time));
        slow_start_share >= 1.0 || rng.random::<f64>() < slow_start_share
    }

    fn is_better(&self, a: CandidateState<'_>, b: CandidateState<'_>) -> bool {
        if let (Some(a), Some(b)) = (self.expected(a), self.expected(b)) {
            return a < BETTER_RATIO * b;
        }
        let s = &self.balancer.settings;
        match (a.peer, b.peer) {
            (Some(a), Some(b)) => {
                // An unknown latency is assumed to equal the other one.
                let (la, lb) = (a.latency(self.now, s), b.latency(self.now, s));
                let (la, lb) = (la.or(lb).unwrap_or(1.0), lb.or(la).unwrap_or(1.0));
                a.score(self.now, la, s) < BETTER_RATIO * b.score(self.now, lb, s)
            }
            _ => false,
        }
    }
}

//! One choice among the candidates of a service.

use rand::Rng;

use super::peer::Peer;
use super::{Balancer, Payload, Pick, PickRequirements, PickRule};
use crate::{Candidate, Instant, NodeId, ServiceEntry};

/// The random draws for one choice before the candidates are gone through in order.
const DRAWS: usize = 8;

/// Random candidates that are compared. Backend servers of one service differ in speed up to
/// threefold, a third of them is slow: of two both are slow in one choice of nine, of four in
/// one of eighty. All of them would send every node's next request to the same one.
const COMPARED: usize = 4;

/// The part of the own backend server's time below which another one is worth a hop: two
/// more connections and their handling, about 0.3 ms, and the loss of one certain place.
const HOP_WORTH: f64 = 0.8;

/// The part of another score below which a score counts as better; nearer ones are left to chance.
const CLEARLY: f64 = 0.9;

/// The load on a backend server whose release is on trial, as a part of what the others have: some
/// releases fail only when they are full.
const TRIED_LOAD: f64 = 1.3;

/// The greatest part of a service's requests that is offered to those on trial, where the service
/// has hardly any other backend servers.
const TRIED_MOST: f64 = 0.5;

/// Holds what is fixed while one choice is made.
pub(super) struct Choice<'a> {
    pub(super) balancer: &'a Balancer,
    pub(super) need: &'a PickRequirements,
    pub(super) now: Instant,
    pub(super) exclude: &'a [NodeId],
}

/// A candidate with what is known of it; looked up once.
#[derive(Clone, Copy)]
struct Known<'a> {
    candidate: &'a Candidate,
    peer: Option<&'a Peer>,
}

impl<'a> Choice<'a> {
    /// Chooses one candidate of `entry`.
    pub(super) fn make<R: Rng + ?Sized>(
        &self,
        entry: &'a ServiceEntry,
        rng: &mut R,
    ) -> Option<Pick> {
        if let Some(tried) = self.tried(entry, rng) {
            return Some(self.pick(tried, PickRule::Trial));
        }
        let regional = self.regional(entry, rng);
        let remote = self.best(entry.remote(), rng);
        match (regional, remote) {
            (Some((known, _)), Some(remote)) if self.worth_the_region(remote, known) => {
                Some(self.pick(remote, PickRule::Remote))
            }
            (Some((known, rule)), _) => Some(self.pick(known, rule)),
            (None, Some(remote)) => Some(self.pick(remote, PickRule::Remote)),
            (None, None) => self.any(entry.candidates(), rng),
        }
    }

    /// Chooses one candidate of the own region.
    fn regional<R: Rng + ?Sized>(
        &self,
        entry: &'a ServiceEntry,
        rng: &mut R,
    ) -> Option<(Known<'a>, PickRule)> {
        let own = entry.own().map(|c| self.know(c));
        let own = own.filter(|own| self.usable(*own) && !self.full(*own));
        let near = self.best(entry.near(), rng);
        let here = match (own, near) {
            (Some(own), Some(near)) if self.much_faster(near, own) => Some((near, PickRule::Near)),
            (Some(own), _) => Some((own, PickRule::Own)),
            (None, Some(near)) if !self.full(near) => Some((near, PickRule::Near)),
            (None, _) => None,
        };
        let far = self.best(entry.far(), rng);
        match (here, near, far) {
            (Some((here, _)), _, Some(far)) if self.worth_the_way(far, here) => {
                Some((far, PickRule::Spill))
            }
            (Some(here), _, _) => Some(here),
            (None, Some(near), _) if self.need.payload == Payload::Heavy => {
                Some((near, PickRule::Near))
            }
            (None, _, Some(far)) if !self.full(far) => Some((far, PickRule::Spill)),
            (None, Some(near), _) => Some((near, PickRule::Near)),
            (None, None, Some(far)) => Some((far, PickRule::Spill)),
            (None, None, None) => None,
        }
    }

    /// Returns one whose release is on trial, for so many requests that each of them has somewhat
    /// more to do than the others; their guards turn away what goes beyond their credit.
    fn tried<R: Rng + ?Sized>(&self, entry: &'a ServiceEntry, rng: &mut R) -> Option<Known<'a>> {
        let all = entry.tried();
        if all.is_empty() {
            return None;
        }
        let near = all.iter().filter(|c| c.is_near()).count();
        // A long body stays in its failure domain.
        let all = match (near, self.need.payload) {
            (0, Payload::Heavy) => return None,
            (0, Payload::Light) => all,
            (near, _) => &all[..near],
        };
        let others = entry
            .candidates()
            .iter()
            .filter(|c| near == 0 || c.is_near());
        let share = TRIED_LOAD * all.len() as f64 / others.count().max(1) as f64;
        if rng.random::<f64>() >= share.min(TRIED_MOST) {
            return None;
        }
        let tried = self.draw(all, None, rng)?;
        (!self.full(tried)).then_some(tried)
    }

    /// Tells whether `far`, in another failure domain, is faster than `here` by more than the
    /// way there is worth.
    fn worth_the_way(&self, far: Known<'_>, here: Known<'_>) -> bool {
        match (self.expected(far), self.expected(here)) {
            (Some(there), Some(here)) => {
                !self.full(far) && there + self.need.payload.penalty() < here
            }
            _ => false,
        }
    }

    /// Tells whether `remote`, in another region, is faster than `here` by more than the way there
    /// is worth.
    fn worth_the_region(&self, remote: Known<'_>, here: Known<'_>) -> bool {
        match (self.expected(remote), self.expected(here)) {
            (Some(there), Some(here)) => {
                !self.full(remote) && there + self.need.payload.remote_penalty() < here
            }
            _ => false,
        }
    }

    /// Tells whether `a` is worth a hop in place of the own backend server `own`.
    fn much_faster(&self, a: Known<'_>, own: Known<'_>) -> bool {
        match (self.expected(a), self.expected(own)) {
            (Some(there), Some(here)) => !self.full(a) && there < HOP_WORTH * here,
            _ => false,
        }
    }

    /// Returns the time to expect in targets; what was never heard of counts as typical, so
    /// that it is tried where the others are slow.
    fn expected(&self, known: Known<'_>) -> Option<f64> {
        let mean_pace = self.balancer.mean_pace?;
        let slots = known.candidate.slots;
        let settings = &self.balancer.settings;
        let peer = known.peer?;
        Some(peer.expected(self.now, slots, mean_pace, settings))
    }

    /// Returns the best of some random candidates.
    ///
    /// Each draw meets a newly seen one with its share only, so that a small group
    /// does not give it more than that.
    fn best<R: Rng + ?Sized>(&self, all: &'a [Candidate], rng: &mut R) -> Option<Known<'a>> {
        let mut first = self.draw(all, None, rng)?;
        for _ in 0..DRAWS {
            if self.warm(first, rng) {
                break;
            }
            first = self.draw(all, None, rng)?;
        }
        let mut best = first;
        for _ in 1..COMPARED {
            match self.draw(all, Some(best.candidate.id), rng) {
                Some(other) if self.warm(other, rng) && self.better(other, best) => best = other,
                Some(_) => {}
                None => break,
            }
        }
        Some(best)
    }

    /// Returns a random usable candidate other than `not`.
    fn draw<R: Rng + ?Sized>(
        &self,
        all: &'a [Candidate],
        not: Option<NodeId>,
        rng: &mut R,
    ) -> Option<Known<'a>> {
        if all.is_empty() {
            return None;
        }
        let usable = |c: &'a Candidate| {
            let known = (Some(c.id) != not).then(|| self.know(c));
            known.filter(|known| self.usable(*known))
        };
        let mut drawn = (0..DRAWS.min(all.len())).map(|_| &all[rng.random_range(0..all.len())]);
        if let Some(known) = drawn.find_map(usable) {
            return Some(known);
        }
        let (head, tail) = all.split_at(rng.random_range(0..all.len()));
        tail.iter().chain(head).find_map(usable)
    }

    /// Returns a random candidate, ejected or not.
    fn any<R: Rng + ?Sized>(&self, all: &'a [Candidate], rng: &mut R) -> Option<Pick> {
        if all.is_empty() {
            return None;
        }
        let (head, tail) = all.split_at(rng.random_range(0..all.len()));
        let left = |c: &&Candidate| !self.exclude.contains(&c.id) && self.allowed(c);
        let candidate = tail.iter().chain(head).find(left)?;
        Some(self.pick(self.know(candidate), PickRule::Ejected))
    }

    fn pick(&self, known: Known<'_>, rule: PickRule) -> Pick {
        Pick {
            id: known.candidate.id,
            peer: known.candidate.peer,
            rule,
            free: !self.full(known),
        }
    }

    fn know(&self, candidate: &'a Candidate) -> Known<'a> {
        let peer = self.balancer.peers.get(&candidate.id);
        Known { candidate, peer }
    }

    fn usable(&self, known: Known<'_>) -> bool {
        let failures = self.balancer.settings.failures;
        !self.exclude.contains(&known.candidate.id)
            && self.allowed(known.candidate)
            && !self.cut(known.candidate)
            && known.peer.is_none_or(|p| p.usable(self.now, failures))
    }

    /// Tells whether the request may be sent to the candidate's region.
    fn allowed(&self, candidate: &Candidate) -> bool {
        self.need.regions.allows(candidate.region)
    }

    /// Tells whether no connections open to the candidate's failure domain.
    fn cut(&self, candidate: &Candidate) -> bool {
        !candidate.is_near() && self.balancer.cuts.is_cut(candidate.domain, self.now)
    }

    fn full(&self, known: Known<'_>) -> bool {
        let age = self.balancer.settings.load_decay;
        let slots = known.candidate.slots;
        known.peer.is_some_and(|p| {
            let link = self.need.payload == Payload::Heavy && p.is_link_busy(self.now);
            link || p.is_held(self.now) || p.running >= slots || p.usage(self.now, age) >= 1.0
        })
    }

    fn warm<R: Rng + ?Sized>(&self, known: Known<'_>, rng: &mut R) -> bool {
        let time = self.balancer.settings.slow_start;
        let warmth = known.peer.map_or(1.0, |p| p.warmth(self.now, time));
        warmth >= 1.0 || rng.random::<f64>() < warmth
    }

    fn better(&self, a: Known<'_>, b: Known<'_>) -> bool {
        if let (Some(a), Some(b)) = (self.expected(a), self.expected(b)) {
            return a < CLEARLY * b;
        }
        let s = &self.balancer.settings;
        match (a.peer, b.peer) {
            (Some(a), Some(b)) => {
                // Where one latency is unknown, the other one stands in for it.
                let (la, lb) = (a.latency(self.now, s), b.latency(self.now, s));
                let (la, lb) = (la.or(lb).unwrap_or(1.0), lb.or(la).unwrap_or(1.0));
                a.score(self.now, la, s) < CLEARLY * b.score(self.now, lb, s)
            }
            _ => false,
        }
    }
}

//! Whom a node probes, and when.

use std::collections::VecDeque;
use std::time::Duration;

use rand::Rng;
use rand::seq::{IndexedRandom, IteratorRandom, SliceRandom};

use super::list::ring_key;
use super::verdict::WORST_HEALTH;
use super::{Kind, Membership, Probe};
use crate::{Datagram, FailureDomain, Instant, Liveness, MemberUpdate, NodeId, Seq};

/// How long after it left or died a node is expected back. A restart takes seconds, and a
/// platform that cannot tell the node of the others is seldom out for longer than this.
const RESTART: Duration = Duration::from_secs(60);

/// The time between two looks for such a node.
const RETURN: Duration = Duration::from_secs(1);

/// What each live node adds to it, so that all of them together send 50 probes a second.
const RETURN_SHARE: Duration = Duration::from_millis(20);

impl Membership {
    /// Sets the first times, with jitter, so that nodes started together spread out.
    pub(super) fn start(&mut self, now: Instant) {
        if self.next_retry != Instant::default() {
            return;
        }
        let interval = self.settings.probe_interval;
        self.last_tick = now;
        self.last_heard = now;
        self.slot = self.rng.random_range(0..1024);
        self.next_probe = now + interval.mul_f64(self.rng.random_range(0.0..1.0));
        self.next_retry = now + interval.mul_f64(self.rng.random_range(0.0..1.0));
        self.next_pull = now;
    }

    /// Sends the probes that are due.
    pub(super) fn send_probes(&mut self, now: Instant) {
        if now < self.next_probe {
            return;
        }
        self.next_probe = now + self.settings.probe_interval;
        self.slot = self.slot.wrapping_add(1);
        let cross = self.slot.is_multiple_of(self.settings.cross_share.max(1));
        let target = match cross {
            true => self.next_cross().or_else(|| self.next_own()),
            false => self.next_own().or_else(|| self.next_cross()),
        };
        if let Some(target) = target {
            self.probe(now, target);
        }
        self.check_doubtful(now);
    }

    /// Looks for nodes that this node has lost: seeds while alone, now and then a dead one.
    pub(super) fn find_lost(&mut self, now: Instant) {
        if now < self.next_retry {
            return;
        }
        let fresh = self.list.departed(now, RESTART).next().is_some();
        let every = match fresh {
            _ if self.is_alone() => self.settings.probe_interval * 2,
            true => self.return_every(),
            false => self.settings.retry_every,
        };
        self.next_retry = now + every.mul_f64(self.rng.random_range(0.75..1.25));
        self.list.forget(now, self.settings.dead_memory);
        let live: Vec<&FailureDomain> = self.list.domains().collect();
        self.reach.keep(&live);
        let lost = |id: &&NodeId| !self.list.get(**id).is_some_and(|m| m.liveness.is_live());
        let seed = self
            .seeds
            .iter()
            .filter(lost)
            .choose(&mut self.rng)
            .copied();
        let gone = match fresh {
            true => self.list.departed(now, RESTART).choose(&mut self.rng),
            false => self.list.dead().choose(&mut self.rng),
        };
        for id in seed.into_iter().chain(gone) {
            self.probe_as(now, id, Kind::Stray);
        }
    }

    /// Looks soon for a node that just left or died: it may find nobody by itself.
    pub(super) fn expect_back(&mut self, now: Instant) {
        let soon = now + self.return_every().mul_f64(self.rng.random_range(0.5..1.5));
        self.next_retry = self.next_retry.min(soon);
    }

    fn return_every(&self) -> Duration {
        let live = u32::try_from(self.list.live()).unwrap_or(u32::MAX);
        RETURN
            .max(RETURN_SHARE.saturating_mul(live))
            .min(self.settings.retry_every)
    }

    /// Closes the probe that an answer belongs to.
    pub(super) fn on_ack(&mut self, seq: Seq, from: NodeId) {
        if let Some(relay) = self.probes.close_relay(seq, from) {
            let (seq, target) = (relay.seq, relay.target);
            self.send(relay.asker, Datagram::AckFor { seq, target });
        }
        if self.probes.close(seq, from).is_some() {
            self.health = self.health.saturating_sub(1);
        }
    }

    /// Closes the probe that another node carried out.
    pub(super) fn on_ack_for(&mut self, seq: Seq, target: NodeId) {
        self.probes.close(seq, target);
    }

    fn probe(&mut self, now: Instant, target: NodeId) {
        let kind = match self.list.get(target) {
            Some(member) if self.is_own(member) => Kind::Own,
            Some(_) => Kind::Cross,
            None => Kind::Stray,
        };
        self.probe_as(now, target, kind);
    }

    pub(super) fn probe_as(&mut self, now: Instant, target: NodeId, kind: Kind) {
        let slack = self.settings.ack_timeout * self.health / WORST_HEALTH;
        let seq = self.probes.open(Probe {
            target,
            kind,
            sent: now,
            deadline: now + self.settings.ack_timeout + slack,
            asked: false,
        });
        self.counts.probes += 1;
        let first = match kind {
            Kind::Stray => vec![MemberUpdate::Entry(self.me.clone())],
            Kind::Own | Kind::Cross => Vec::new(),
        };
        let beat = self.beat(target, first);
        self.send(target, Datagram::Probe { seq, beat });
    }

    /// Alternates between the ring's successor, which bounds detection, and a random round.
    fn next_own(&mut self) -> Option<NodeId> {
        match self.slot.is_multiple_of(2) {
            true => self.next_in_round(),
            false => self.successor(),
        }
    }

    /// Returns the next node on the ring that is neither suspected nor being probed.
    fn successor(&self) -> Option<NodeId> {
        let ring = self.list.ring(&self.me.domain);
        let key = (ring_key(self.me.id), self.me.id);
        let at = ring.partition_point(|k| *k <= key);
        let (before, after) = ring.split_at_checked(at)?;
        let mut ids = after.iter().chain(before).map(|(_, id)| *id);
        ids.find(|id| *id != self.me.id && self.is_trusted(*id) && !self.probes.awaits(*id))
    }

    fn next_in_round(&mut self) -> Option<NodeId> {
        if self.round.is_empty() {
            let mut ids: Vec<NodeId> = self.own_peers().collect();
            ids.shuffle(&mut self.rng);
            self.round = VecDeque::from(ids);
        }
        while let Some(id) = self.round.pop_front() {
            let live = self.list.get(id).is_some_and(|m| m.liveness.is_live());
            if live && !self.probes.awaits(id) {
                return Some(id);
            }
        }
        None
    }

    /// Takes the other failure domains in turn, so that silence is noticed in bounded time.
    fn next_cross(&mut self) -> Option<NodeId> {
        let others: Vec<&FailureDomain> = self
            .list
            .domains()
            .filter(|d| **d != self.me.domain)
            .collect();
        let turn = self.slot / self.settings.cross_share.max(1);
        let at = (turn as usize).checked_rem(others.len())?;
        let domain = others.get(at).copied()?;
        self.list
            .ring(domain)
            .choose(&mut self.rng)
            .map(|(_, id)| *id)
    }

    /// Tries other nodes of a failure domain in which a probe was missed.
    fn check_doubtful(&mut self, now: Instant) {
        let doubtful: Vec<FailureDomain> = self.reach.doubtful().cloned().collect();
        for domain in doubtful {
            let one = self.list.ring(&domain).choose(&mut self.rng);
            if let Some(id) = one.map(|(_, id)| *id) {
                self.probe(now, id);
            }
        }
    }

    pub(super) fn own_peers(&self) -> impl Iterator<Item = NodeId> {
        let ring = self.list.ring(&self.me.domain);
        ring.iter()
            .map(|(_, id)| *id)
            .filter(|id| *id != self.me.id)
    }

    fn is_trusted(&self, id: NodeId) -> bool {
        let entry = self.list.get(id);
        entry.is_some_and(|m| m.liveness == Liveness::Alive)
    }
}

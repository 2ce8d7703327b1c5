//! Whom a node probes, and what it concludes from silence.

use std::collections::VecDeque;

use rand::Rng;
use rand::seq::{IndexedRandom, IteratorRandom, SliceRandom};

use super::list::ring_key;
use super::{Action, Kind, Member, Membership, Probe};
use crate::{Datagram, FailureDomain, Instant, Liveness, News, NodeId, Seq, Status};

/// The worst value of a node's health; timeouts double there.
pub(super) const WORST_HEALTH: u32 = 4;

/// A node that has heard nobody for this many suspicion times blames itself.
const DEAF_AFTER: u32 = 1;

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

    /// Starts afresh when the time since the last tick shows that the process was paused.
    pub(super) fn notice_pause(&mut self, now: Instant) {
        if now.since(self.last_tick) <= self.settings.pause {
            return;
        }
        self.last_tick = now;
        self.last_heard = now;
        self.counts.pauses += 1;
        self.grace_until = now + self.settings.grace;
        self.probes.clear();
        self.reach.forgive();
        self.next_probe = now;
        let deadline = self.grace_until + self.settings.suspicion;
        for at in self.suspects.values_mut() {
            *at = deadline;
        }
        if self.me.liveness.is_live() {
            self.step_over(now, self.me.incarnation);
        }
    }

    /// Gives up probes that nobody answered, and asks others where that helps.
    pub(super) fn expire_probes(&mut self, now: Instant) {
        for (seq, probe) in self.probes.expired(now) {
            match probe.kind {
                Kind::Own if !probe.asked => self.ask_others(now, seq, probe),
                Kind::Own => self.miss_own(now, probe.target),
                Kind::Cross => self.miss_cross(now, &probe),
                Kind::Stray => {}
            }
        }
    }

    /// Declares those dead who did not refute in time.
    pub(super) fn expire_suspects(&mut self, now: Instant) {
        let due = self.suspects.iter().filter(|(_, at)| **at <= now);
        let due: Vec<NodeId> = due.map(|(id, _)| *id).collect();
        for id in due {
            match self.may_accuse(now) {
                true => self.declare(now, id, Liveness::Dead),
                false => {
                    let later = now + self.settings.suspicion;
                    self.suspects.insert(id, later);
                }
            }
        }
    }

    /// Gives up failure domains that have been silent for too long.
    pub(super) fn expire_domains(&mut self, now: Instant) {
        for domain in self.reach.cut(now, self.settings.cut_after) {
            self.out.push(Action::Unreachable(domain));
        }
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
        let alone = self.list.live() <= 1;
        let every = match alone {
            true => self.settings.probe_interval * 2,
            false => self.settings.retry_every,
        };
        self.next_retry = now + every.mul_f64(self.rng.random_range(0.75..1.25));
        self.list.forget(now, self.settings.dead_memory);
        let lost = |id: &&NodeId| !self.list.get(**id).is_some_and(|m| m.liveness.is_live());
        let seed = self
            .seeds
            .iter()
            .filter(lost)
            .choose(&mut self.rng)
            .copied();
        let dead = self.list.dead().choose(&mut self.rng);
        for id in seed.into_iter().chain(dead) {
            self.probe_as(now, id, Kind::Stray);
        }
    }

    /// Starts or ends the watch over a node whose entry has changed.
    pub(super) fn watch(&mut self, now: Instant, id: NodeId) {
        let entry = self.list.get(id);
        let watched = entry.is_some_and(|m| self.is_own(m) && m.liveness == Liveness::Suspect);
        match watched {
            true => {
                let slack = self.settings.suspicion * self.health / WORST_HEALTH;
                let deadline = now.max(self.grace_until) + self.settings.suspicion + slack;
                self.suspects.entry(id).or_insert(deadline);
            }
            false => {
                self.suspects.remove(&id);
            }
        }
    }

    /// Closes the probe that an answer belongs to.
    pub(super) fn on_ack(&mut self, _now: Instant, seq: Seq, from: NodeId) {
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

    fn probe_as(&mut self, now: Instant, target: NodeId, kind: Kind) {
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
            Kind::Stray => vec![News::Entry(self.me.clone())],
            Kind::Own | Kind::Cross => Vec::new(),
        };
        let beat = self.beat(target, first);
        self.send(target, Datagram::Probe { seq, beat });
    }

    fn ask_others(&mut self, now: Instant, seq: Seq, probe: Probe) {
        let target = probe.target;
        let others: Vec<NodeId> = self.own_peers().filter(|id| *id != target).collect();
        let helpers = others
            .into_iter()
            .choose_multiple(&mut self.rng, self.settings.indirect);
        let slack = self.settings.ack_timeout * self.health / WORST_HEALTH;
        let probe = Probe {
            asked: true,
            deadline: now + self.settings.ack_timeout * 2 + slack,
            ..probe
        };
        self.probes.put_back(seq, probe);
        for id in helpers {
            self.send(id, Datagram::ProbeFor { seq, target });
        }
    }

    /// Suspects a node of the own failure domain, unless the fault may be on this side.
    fn miss_own(&mut self, now: Instant, target: NodeId) {
        self.counts.missed += 1;
        self.health = (self.health + 1).min(WORST_HEALTH);
        match self.list.get(target).map(|m| m.liveness) {
            Some(Liveness::Alive) if self.may_accuse(now) => {
                self.declare(now, target, Liveness::Suspect);
                self.next_probe = now;
            }
            Some(Liveness::Alive) => self.counts.withheld += 1,
            _ => {}
        }
    }

    fn miss_cross(&mut self, now: Instant, probe: &Probe) {
        self.counts.missed += 1;
        let domain = self.list.get(probe.target).map(|m| m.domain.clone());
        if let Some(domain) = domain.filter(|_| now >= self.grace_until) {
            self.reach.missed(&domain, probe.sent, now);
        }
    }

    fn declare(&mut self, now: Instant, id: NodeId, liveness: Liveness) {
        let Some(member) = self.list.get(id) else {
            self.suspects.remove(&id);
            return;
        };
        match liveness {
            Liveness::Suspect => self.counts.suspected += 1,
            _ => self.counts.declared += 1,
        }
        let news = News::Status(Status {
            id,
            incarnation: member.incarnation,
            liveness,
        });
        self.accept(now, news.clone());
        if liveness == Liveness::Suspect {
            let news = vec![news];
            self.send(id, Datagram::Gossip { news });
        }
    }

    /// Tells whether a missed answer says more of the other node than of this one.
    fn may_accuse(&self, now: Instant) -> bool {
        let deaf = now.since(self.last_heard) > self.settings.suspicion * DEAF_AFTER;
        now >= self.grace_until && !deaf
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

    fn own_peers(&self) -> impl Iterator<Item = NodeId> {
        let ring = self.list.ring(&self.me.domain);
        ring.iter()
            .map(|(_, id)| *id)
            .filter(|id| *id != self.me.id)
    }

    fn is_trusted(&self, id: NodeId) -> bool {
        let entry = self.list.get(id);
        entry.is_some_and(|m| m.liveness == Liveness::Alive)
    }

    fn is_own(&self, member: &Member) -> bool {
        member.domain == self.me.domain
    }
}

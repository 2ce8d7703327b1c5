//! Selection and schedule of probe targets.

use std::collections::VecDeque;
use std::time::Duration;

use rand::Rng;
use rand::seq::{IndexedRandom, IteratorRandom, SliceRandom};

use super::list::ring_key;
use super::suspicion::MAX_HEALTH_PENALTY;
use super::{Membership, Probe, ProbeKind};
use crate::{Datagram, FailureDomain, Instant, Liveness, MemberUpdate, NodeId, Seq};

/// Time after a departure or death in which the node is expected to return.
///
/// A restart takes seconds. While the platform is unavailable, a restarted node cannot learn the
/// other members and depends on their probes. Such an outage seldom lasts longer than this window.
const RESTART_WINDOW: Duration = Duration::from_secs(60);

/// Minimum interval between probes for returning nodes.
const MIN_REJOIN_INTERVAL: Duration = Duration::from_secs(1);

/// Minimum interval between probes for returning nodes, per live node, so that all nodes together
/// send at most 50 of these probes per second.
const MIN_INTERVAL_PER_NODE: Duration = Duration::from_millis(20);

impl Membership {
    /// Initializes the timers with jitter, so that nodes started together do not probe in step.
    pub(super) fn init_timers(&mut self, now: Instant) {
        if self.next_rejoin != Instant::default() {
            return;
        }
        let interval = self.settings.probe_interval;
        self.last_tick = now;
        self.last_heard = now;
        self.probe_slot = self.rng.random_range(0..1024);
        self.next_probe = now + interval.mul_f64(self.rng.random_range(0.0..1.0));
        self.next_rejoin = now + interval.mul_f64(self.rng.random_range(0.0..1.0));
        self.next_pull = now;
    }

    /// Sends the due probes.
    pub(super) fn send_probes(&mut self, now: Instant) {
        if now < self.next_probe {
            return;
        }
        self.next_probe = now + self.settings.probe_interval;
        self.probe_slot = self.probe_slot.wrapping_add(1);
        let cross = self
            .probe_slot
            .is_multiple_of(self.settings.cross_interval.max(1));
        let target = match cross {
            true => self.next_cross_domain().or_else(|| self.next_same_domain()),
            false => self.next_same_domain().or_else(|| self.next_cross_domain()),
        };
        if let Some(target) = target {
            self.probe(now, target);
        }
        self.probe_suspected_domains(now);
    }

    /// Probes one seed that is not a live member and one departed node, at intervals.
    pub(super) fn probe_lost_nodes(&mut self, now: Instant) {
        if now < self.next_rejoin {
            return;
        }
        let recent_departure = self.list.departed(now, RESTART_WINDOW).next().is_some();
        let interval = match recent_departure {
            _ if self.is_alone() || !self.synced => self.settings.probe_interval * 2,
            true => self.fast_rejoin_interval(),
            false => self.settings.rejoin_interval,
        };
        self.next_rejoin = now + interval.mul_f64(self.rng.random_range(0.75..1.25));
        self.list
            .expire_tombstones(now, self.settings.tombstone_ttl);
        let live: Vec<&FailureDomain> = self.list.domains().collect();
        self.reachability.retain(&live);
        let not_live = |id: &&NodeId| !self.list.get(**id).is_some_and(|m| m.liveness.is_live());
        let seed = self
            .seeds
            .iter()
            .filter(not_live)
            .choose(&mut self.rng)
            .copied();
        let departed = match recent_departure {
            true => self
                .list
                .departed(now, RESTART_WINDOW)
                .choose(&mut self.rng),
            false => self.list.dead().choose(&mut self.rng),
        };
        for id in seed.into_iter().chain(departed) {
            self.probe_as(now, id, ProbeKind::BestEffort);
        }
    }

    /// Schedules a probe for a node that just left or died.
    ///
    /// The node may have no seeds when it returns, and is then found only by a probe.
    pub(super) fn schedule_rejoin_probe(&mut self, now: Instant) {
        let next_probe_at = now
            + self
                .fast_rejoin_interval()
                .mul_f64(self.rng.random_range(0.5..1.5));
        self.next_rejoin = self.next_rejoin.min(next_probe_at);
    }

    fn fast_rejoin_interval(&self) -> Duration {
        let live = u32::try_from(self.list.live()).unwrap_or(u32::MAX);
        MIN_REJOIN_INTERVAL
            .max(MIN_INTERVAL_PER_NODE.saturating_mul(live))
            .min(self.settings.rejoin_interval)
    }

    /// Completes the probe that an acknowledgement belongs to.
    pub(super) fn on_ack(&mut self, seq: Seq, from: NodeId) {
        if let Some(relay) = self.probes.remove_relay(seq, from) {
            let (seq, target) = (relay.seq, relay.target);
            self.send(relay.requester, Datagram::AckFor { seq, target });
        }
        if self.probes.remove(seq, from).is_some() {
            self.health_penalty = self.health_penalty.saturating_sub(1);
        }
    }

    /// Completes the probe that another node carried out.
    pub(super) fn on_ack_for(&mut self, seq: Seq, target: NodeId) {
        self.probes.remove(seq, target);
    }

    fn probe(&mut self, now: Instant, target: NodeId) {
        let kind = match self.list.get(target) {
            Some(member) if self.in_own_domain(member) => ProbeKind::SameDomain,
            Some(_) => ProbeKind::CrossDomain,
            None => ProbeKind::BestEffort,
        };
        self.probe_as(now, target, kind);
    }

    pub(super) fn probe_as(&mut self, now: Instant, target: NodeId, kind: ProbeKind) {
        let slack = self.settings.ack_timeout * self.health_penalty / MAX_HEALTH_PENALTY;
        let seq = self.probes.add(Probe {
            target,
            kind,
            sent: now,
            deadline: now + self.settings.ack_timeout + slack,
            indirect_sent: false,
        });
        self.counts.probes += 1;
        let first = match kind {
            ProbeKind::BestEffort => vec![MemberUpdate::Entry(self.me.clone())],
            ProbeKind::SameDomain | ProbeKind::CrossDomain => Vec::new(),
        };
        let beat = self.beat(target, first);
        self.send(target, Datagram::Probe { seq, beat });
    }

    /// Returns the next target in the own failure domain.
    ///
    /// Targets alternate between the successor on the ring, which bounds the detection time, and a
    /// shuffled round over all nodes.
    fn next_same_domain(&mut self) -> Option<NodeId> {
        match self.probe_slot.is_multiple_of(2) {
            true => self.next_in_round(),
            false => self.successor(),
        }
    }

    /// Returns the next node on the ring that is alive and has no pending probe.
    fn successor(&self) -> Option<NodeId> {
        let ring = self.list.ring(&self.me.domain);
        let key = (ring_key(self.me.id), self.me.id);
        let at = ring.partition_point(|k| *k <= key);
        let (before, after) = ring.split_at_checked(at)?;
        let mut ids = after.iter().chain(before).map(|(_, id)| *id);
        ids.find(|id| *id != self.me.id && self.is_alive(*id) && !self.probes.is_pending(*id))
    }

    fn next_in_round(&mut self) -> Option<NodeId> {
        if self.probe_round.is_empty() {
            let mut ids: Vec<NodeId> = self.own_peers().collect();
            ids.shuffle(&mut self.rng);
            self.probe_round = VecDeque::from(ids);
        }
        while let Some(id) = self.probe_round.pop_front() {
            let live = self.list.get(id).is_some_and(|m| m.liveness.is_live());
            if live && !self.probes.is_pending(id) {
                return Some(id);
            }
        }
        None
    }

    /// Returns a random node of the next failure domain in turn.
    ///
    /// The round robin bounds the time in which an unreachable failure domain is detected.
    fn next_cross_domain(&mut self) -> Option<NodeId> {
        let others: Vec<&FailureDomain> = self
            .list
            .domains()
            .filter(|d| **d != self.me.domain)
            .collect();
        let turn = self.probe_slot / self.settings.cross_interval.max(1);
        let at = (turn as usize).checked_rem(others.len())?;
        let domain = others.get(at).copied()?;
        self.list
            .ring(domain)
            .choose(&mut self.rng)
            .map(|(_, id)| *id)
    }

    /// Probes a random node in each failure domain with a missed probe.
    fn probe_suspected_domains(&mut self, now: Instant) {
        let suspected: Vec<FailureDomain> =
            self.reachability.suspected_domains().cloned().collect();
        for domain in suspected {
            let target = self.list.ring(&domain).choose(&mut self.rng);
            if let Some(id) = target.map(|(_, id)| *id) {
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

    fn is_alive(&self, id: NodeId) -> bool {
        let entry = self.list.get(id);
        entry.is_some_and(|m| m.liveness == Liveness::Alive)
    }
}

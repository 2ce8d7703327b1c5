//! Failure detection: suspicion, declaration of death, and detection of own faults.

use rand::seq::IteratorRandom;

use super::{Action, Membership, Probe, ProbeKind};
use crate::{Datagram, Instant, Liveness, MemberUpdate, NodeId, Seq, Status};

/// Maximum health penalty of a node, at which its timeouts double.
pub(super) const MAX_HEALTH_PENALTY: u32 = 4;

/// Number of additional probes of a suspected node before it is declared dead.
///
/// The acknowledgement of such a probe repeats a refutation that was lost on its way to this node.
const CONFIRMATION_PROBES: u32 = 2;

/// Maximum number of suspected nodes that receive an additional probe in one tick.
const MAX_CONFIRMATIONS_PER_TICK: usize = 8;

/// Schedule of the additional probes and of the deadline of a suspected node.
#[derive(Debug, Clone, Copy)]
pub(super) struct Suspicion {
    deadline: Instant,
    next_probe_at: Instant,
    probes_sent: u32,
}

impl Membership {
    /// Resets pending probes and timers if the process was paused since the last tick.
    ///
    /// The own entry is announced again, and a grace period begins.
    pub(super) fn detect_pause(&mut self, now: Instant) {
        if now.since(self.last_tick) <= self.settings.pause_threshold {
            return;
        }
        self.last_tick = now;
        self.last_heard = now;
        self.counts.pauses += 1;
        self.grace_until = now + self.settings.pause_grace;
        self.probes.clear();
        self.reachability.clear_missed();
        self.next_probe = now;
        let deadline = self.grace_until + self.settings.suspicion_timeout;
        for suspicion in self.suspects.values_mut() {
            suspicion.deadline = deadline;
        }
        if self.me.liveness.is_live() {
            self.raise_incarnation(now, self.me.incarnation);
        }
    }

    /// Handles expired probes; a target in the own failure domain is first probed indirectly.
    pub(super) fn expire_probes(&mut self, now: Instant) {
        for (seq, probe) in self.probes.take_expired(now) {
            match probe.kind {
                ProbeKind::SameDomain if !probe.indirect_sent => {
                    self.send_indirect_probes(now, seq, probe);
                }
                ProbeKind::SameDomain => self.on_same_domain_miss(now, probe.target),
                ProbeKind::CrossDomain => self.on_cross_domain_miss(now, &probe),
                ProbeKind::BestEffort => {}
            }
        }
    }

    /// Probes suspected nodes again and declares those dead that did not refute in time.
    pub(super) fn expire_suspects(&mut self, now: Instant) {
        let due =
            |s: &&mut Suspicion| s.probes_sent < CONFIRMATION_PROBES && now >= s.next_probe_at;
        let mut targets = Vec::new();
        for (id, suspicion) in self
            .suspects
            .iter_mut()
            .filter(|(_, s)| due(s))
            .take(MAX_CONFIRMATIONS_PER_TICK)
        {
            suspicion.probes_sent += 1;
            suspicion.next_probe_at = now + self.settings.ack_timeout * 2;
            targets.push(*id);
        }
        for id in targets {
            self.probe_as(now, id, ProbeKind::BestEffort);
        }
        let expired = self.suspects.iter().filter(|(_, s)| s.deadline <= now);
        let expired: Vec<NodeId> = expired.map(|(id, _)| *id).collect();
        let extended = now + self.settings.suspicion_timeout;
        for id in expired {
            match (self.may_declare_failure(now), self.suspects.get_mut(&id)) {
                (true, _) => self.declare_liveness(now, id, Liveness::Dead),
                (false, Some(suspicion)) => suspicion.deadline = extended,
                (false, None) => {}
            }
        }
    }

    /// Reports failure domains that have become unreachable.
    pub(super) fn expire_domains(&mut self, now: Instant) {
        for domain in self
            .reachability
            .take_unreachable(now, self.settings.unreachable_after)
        {
            self.actions.push(Action::Unreachable(domain));
        }
    }

    /// Starts or ends the suspicion of a node whose entry has changed.
    pub(super) fn track_suspicion(&mut self, now: Instant, id: NodeId) {
        let entry = self.list.get(id);
        let suspected =
            entry.is_some_and(|m| self.in_own_domain(m) && m.liveness == Liveness::Suspect);
        match suspected {
            true => {
                let slack =
                    self.settings.suspicion_timeout * self.health_penalty / MAX_HEALTH_PENALTY;
                let deadline = now.max(self.grace_until) + self.settings.suspicion_timeout + slack;
                let lead = self.settings.ack_timeout * 2 * CONFIRMATION_PROBES;
                self.suspects.entry(id).or_insert(Suspicion {
                    deadline,
                    next_probe_at: now + deadline.since(now + lead),
                    probes_sent: 0,
                });
            }
            false => {
                self.suspects.remove(&id);
            }
        }
    }

    fn send_indirect_probes(&mut self, now: Instant, seq: Seq, probe: Probe) {
        let target = probe.target;
        let others: Vec<NodeId> = self.own_peers().filter(|id| *id != target).collect();
        let helpers = others
            .into_iter()
            .choose_multiple(&mut self.rng, self.settings.indirect);
        let slack = self.settings.ack_timeout * self.health_penalty / MAX_HEALTH_PENALTY;
        let probe = Probe {
            indirect_sent: true,
            deadline: now + self.settings.ack_timeout * 2 + slack,
            ..probe
        };
        self.probes.reopen(seq, probe);
        for id in helpers {
            self.send(id, Datagram::ProbeFor { seq, target });
        }
    }

    /// Suspects a node of the own failure domain, unless this node itself may be at fault.
    fn on_same_domain_miss(&mut self, now: Instant, target: NodeId) {
        self.counts.missed_probes += 1;
        self.health_penalty = (self.health_penalty + 1).min(MAX_HEALTH_PENALTY);
        match self.list.get(target).map(|m| m.liveness) {
            Some(Liveness::Alive) if self.may_declare_failure(now) => {
                self.declare_liveness(now, target, Liveness::Suspect);
                self.next_probe = now;
            }
            Some(Liveness::Alive) => self.counts.withheld_suspicions += 1,
            _ => {}
        }
    }

    fn on_cross_domain_miss(&mut self, now: Instant, probe: &Probe) {
        self.counts.missed_probes += 1;
        let domain = self.list.get(probe.target).map(|m| m.domain.clone());
        if let Some(domain) = domain.filter(|_| now >= self.grace_until) {
            self.reachability.record_miss(&domain, probe.sent, now);
        }
    }

    fn declare_liveness(&mut self, now: Instant, id: NodeId, liveness: Liveness) {
        let Some(member) = self.list.get(id) else {
            self.suspects.remove(&id);
            return;
        };
        match liveness {
            Liveness::Suspect => self.counts.suspected += 1,
            _ => self.counts.declared_dead += 1,
        }
        let update = MemberUpdate::Status(Status {
            id,
            incarnation: member.incarnation,
            liveness,
        });
        self.apply_and_queue(now, update.clone());
        if liveness == Liveness::Suspect {
            let news = vec![update];
            self.send(id, Datagram::Gossip { news });
        }
    }

    /// Returns `true` if this node is neither in a grace period nor isolated.
    fn may_declare_failure(&self, now: Instant) -> bool {
        let isolated = now.since(self.last_heard) > self.settings.suspicion_timeout;
        now >= self.grace_until && !isolated
    }
}

//! What a node concludes from silence, and when it trusts its own conclusions.

use rand::seq::IteratorRandom;

use super::{Action, Kind, Membership, Probe};
use crate::{Datagram, Instant, Liveness, MemberUpdate, NodeId, Seq, Status};

/// The worst value of a node's health; timeouts double there.
pub(super) const WORST_HEALTH: u32 = 4;

/// How often a suspected node is asked once more before it is declared dead.
///
/// A refutation that got lost on its way to this node alone comes back with the answer.
const LAST_ASKS: u32 = 2;

/// The most suspected nodes that are asked in one tick.
const ASKS_A_TICK: usize = 8;

/// Holds when a suspected node of the own failure domain is asked and given up.
#[derive(Debug, Clone, Copy)]
pub(super) struct Watch {
    deadline: Instant,
    next_ask: Instant,
    asks: u32,
}

impl Membership {
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
        for watch in self.suspects.values_mut() {
            watch.deadline = deadline;
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

    /// Declares those dead who did not refute in time; asks each of them before that.
    pub(super) fn expire_suspects(&mut self, now: Instant) {
        let due = |w: &&mut Watch| w.asks < LAST_ASKS && now >= w.next_ask;
        let mut asked = Vec::new();
        for (id, watch) in self
            .suspects
            .iter_mut()
            .filter(|(_, w)| due(w))
            .take(ASKS_A_TICK)
        {
            watch.asks += 1;
            watch.next_ask = now + self.settings.ack_timeout * 2;
            asked.push(*id);
        }
        for id in asked {
            self.probe_as(now, id, Kind::Stray);
        }
        let over = self.suspects.iter().filter(|(_, w)| w.deadline <= now);
        let over: Vec<NodeId> = over.map(|(id, _)| *id).collect();
        let later = now + self.settings.suspicion;
        for id in over {
            match (self.may_accuse(now), self.suspects.get_mut(&id)) {
                (true, _) => self.declare(now, id, Liveness::Dead),
                (false, Some(watch)) => watch.deadline = later,
                (false, None) => {}
            }
        }
    }

    /// Gives up failure domains that have been silent for too long.
    pub(super) fn expire_domains(&mut self, now: Instant) {
        for domain in self.reach.cut(now, self.settings.cut_after) {
            self.out.push(Action::Unreachable(domain));
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
                let ahead = self.settings.ack_timeout * 2 * LAST_ASKS;
                self.suspects.entry(id).or_insert(Watch {
                    deadline,
                    next_ask: now + deadline.since(now + ahead),
                    asks: 0,
                });
            }
            false => {
                self.suspects.remove(&id);
            }
        }
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
        let news = MemberUpdate::Status(Status {
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
        let deaf = now.since(self.last_heard) > self.settings.suspicion;
        now >= self.grace_until && !deaf
    }
}

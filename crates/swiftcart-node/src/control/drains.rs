//! Gossips drained failure domains and applies drains to the local backend server.

use std::time::Duration;

use slog::info;
use swiftcart_core::{
    Datagram, DrainMessage, DrainUpdate, Drains, Instant, Member, NodeId, Readiness,
};

use super::control_loop::Control;
use crate::logging::Event;

/// Interval between gossip rounds. Each change is forwarded in [`GOSSIP_ROUNDS`] of them.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(100);

/// Number of rounds in which a node forwards a change.
const GOSSIP_ROUNDS: u32 = 3;

/// Interval between digest comparisons with another node, while there are drains to compare.
const COMPARE_INTERVAL: Duration = Duration::from_secs(1);

/// Known drained failure domains and their gossip schedule.
#[derive(Debug, Default)]
pub(super) struct DrainGossip {
    drains: Drains,
    rounds: u32,
    next_round: Instant,
    next_compare: Instant,
    requested: bool,
}

impl Control {
    /// Applies drain orders that were read from the platform.
    pub(super) fn apply_drains(&mut self, now: Instant, updates: &[DrainUpdate]) {
        let drains = &mut self.drain_gossip.drains;
        let mut changed = false;
        for update in updates {
            changed |= match update {
                DrainUpdate::Order(order) => drains.take(order),
                DrainUpdate::List(list) => drains.take_list(list),
            };
        }
        if changed {
            self.on_drains_changed(now);
        }
    }

    /// Forwards new drains and periodically compares digests with another node.
    pub(super) fn gossip_drains(&mut self, now: Instant) {
        if !self.drain_gossip.requested && self.members_known(now) {
            self.drain_gossip.requested = true;
            let question = DrainMessage {
                asks: true,
                ..self.drain_gossip.drains.message()
            };
            self.send_drains(true, &question);
        }
        if self.drain_gossip.drains.is_empty() {
            return;
        }
        if self.drain_gossip.rounds > 0 && now >= self.drain_gossip.next_round {
            self.drain_gossip.rounds -= 1;
            self.drain_gossip.next_round = now + GOSSIP_INTERVAL;
            let message = self.drain_gossip.drains.message();
            self.send_drains(true, &message);
        }
        if now >= self.drain_gossip.next_compare {
            self.drain_gossip.next_compare = now + COMPARE_INTERVAL;
            let digest = self.drain_gossip.drains.digest();
            let message = DrainMessage {
                digest,
                ..DrainMessage::default()
            };
            for id in self.membership.broadcast_targets(false).into_iter().take(1) {
                self.net.send(id, &Datagram::Drains(message.clone()));
            }
        }
    }

    /// Merges the drains of another node. Replies if it requests them or its digest differs.
    pub(super) fn on_drains(&mut self, now: Instant, from: NodeId, message: &DrainMessage) {
        let drains = &mut self.drain_gossip.drains;
        let changed = drains.merge(message);
        let differs = drains.digest() != message.digest;
        if (message.asks && !drains.is_empty()) || (message.orders.is_empty() && differs) {
            let answer = DrainMessage {
                // The requesting node has already sent everything that it knows.
                asks: !message.asks,
                ..drains.message()
            };
            self.net.send(from, &Datagram::Drains(answer));
        }
        if changed {
            self.on_drains_changed(now);
        }
    }

    /// Returns the members with those in drained failure domains marked as draining, or `None` if
    /// no failure domain is drained. Draining members take no requests.
    pub(super) fn mark_drained<'a>(
        &self,
        members: impl Iterator<Item = &'a Member>,
    ) -> Option<Vec<Member>> {
        let drains = &self.drain_gossip.drains;
        if !drains.any_drained() {
            return None;
        }
        let members = members.cloned().map(|mut member| {
            if let Some(backend) = &mut member.backend
                && drains.is_drained(&member.domain)
            {
                backend.readiness = Readiness::Draining;
            }
            member
        });
        Some(members.collect())
    }

    fn on_drains_changed(&mut self, now: Instant) {
        self.drain_gossip.rounds = GOSSIP_ROUNDS;
        self.drain_gossip.next_round = now;
        let domain = &self.shared.settings.domain;
        let drained = self.drain_gossip.drains.is_drained(domain);
        let before = self.shared.drained.send_replace(drained);
        if before && !drained {
            self.shared.warmup.with(|warmup| warmup.assume_cold(now));
        }
        for order in &self.drain_gossip.drains.message().orders {
            info!(self.shared.logger, ""; "event" => Event::Drain, "domain" => %order.domain,
                "place" => order.place.0, "drained" => order.drained);
        }
        self.readvertise_backend(now);
        self.stale = true;
    }

    fn send_drains(&mut self, own: bool, message: &DrainMessage) {
        for id in self.membership.broadcast_targets(own) {
            self.net.send(id, &Datagram::Drains(message.clone()));
        }
    }
}

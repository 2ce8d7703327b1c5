//! Confirms this node's version for all nodes, and forwards the confirmations of other nodes.

use std::time::Duration;

use slog::info;
use swiftcart_core::{Confirmation, Datagram, Instant, NodeId, relay_children, relay_roots};

use super::control_loop::Control;
use super::reader::FinishedRead;
use crate::logging::{Event, ms};

impl Control {
    /// Updates the age of the last confirmation.
    pub(super) fn tick_freshness(&mut self, now: Instant) {
        self.freshness.on_tick(now);
        let counters = &self.shared.counters;
        let gauge = counters.gauge("swiftcart_confirmed_age_seconds");
        gauge.set(self.freshness.age(now).as_secs_f64());
    }

    /// Records that a read of this node found nothing newer than its version, and notifies all nodes
    /// if it was a confirming read.
    pub(super) fn confirm(&mut self, now: Instant, read: FinishedRead) {
        let FinishedRead { kind, began, as_of } = read;
        if !kind.confirms() {
            self.freshness.on_read(as_of);
            return;
        }
        let (confirmed, age) = (self.freshness.confirms(), self.freshness.age(now));
        if !self.freshness.on_confirmed(began, as_of) {
            return;
        }
        if !confirmed {
            info!(self.shared.logger, ""; "event" => Event::Takeover,
                "version" => self.stream.source.version().0, "age_ms" => ms(age));
        }
        let version = self.stream.source.version();
        self.announce(Confirmation {
            round: rand::random(),
            head: self.stream.source.head(),
            age_ms: u32::try_from(now.since(as_of).as_millis()).unwrap_or(u32::MAX),
            place: self.reader.snapshots().and_then(|s| s.place(version)),
        });
    }

    /// Sends a confirmation of this node to all failure domains.
    fn announce(&mut self, confirmation: Confirmation) {
        self.forwarded_round = Some(confirmation.round);
        let fanout = self.fanout();
        let rotated = |ids: &Vec<NodeId>| relay_roots(ids, confirmation.round, fanout);
        let near = rotated(&self.roster.near);
        let far = self.roster.elsewhere.iter().flat_map(rotated);
        let roots: Vec<_> = near.into_iter().chain(far).collect();
        self.send_confirmation(roots, confirmation);
        self.relay(confirmation);
    }

    /// Handles the confirmation of another node, which may have a newer version.
    pub(super) fn on_confirmation(
        &mut self,
        now: Instant,
        from: NodeId,
        confirmation: Confirmation,
    ) {
        let Confirmation { round, head, .. } = confirmation;
        if self.forwarded_round.replace(round) == Some(round) {
            return;
        }
        self.relay(confirmation);
        let source = &mut self.stream.source;
        let actions = match self.roster.near.binary_search(&from) {
            Ok(_) => source.on_head(now, from, head),
            // The version is pulled once and then pushed to the local failure domain.
            Err(_) => source.on_offer(now, from, self.shared.id, head),
        };
        self.apply_feed_actions(actions);
        let age = Duration::from_millis(confirmation.age_ms.into());
        self.freshness.on_peer(now, age, head.position);
        if self.stream.source.head() == head
            && let Some(place) = confirmation.place
            && let Some(snapshots) = self.reader.snapshots()
        {
            snapshots.resume(place);
        }
    }

    fn relay(&self, confirmation: Confirmation) {
        let (near, me) = (&self.roster.near, self.shared.id);
        let children = relay_children(near, confirmation.round, me, self.fanout());
        self.send_confirmation(children, confirmation);
    }

    fn send_confirmation(&self, to: Vec<NodeId>, confirmation: Confirmation) {
        for id in to.into_iter().filter(|id| *id != self.shared.id) {
            self.net.send(id, &Datagram::Confirmation(confirmation));
        }
    }
}

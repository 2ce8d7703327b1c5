//! Applies membership actions and advertises the local backend server.

use std::sync::atomic::Ordering;

use slog::{info, warn};
use swiftcart_core::{
    Action, Backend, Instant, NodeId, Pace, PaceAnnouncer, Readiness, SyncRequest,
};

use super::control_loop::Control;
use crate::edge::DirectoryListing;
use crate::logging::Event;

/// Divisor of the slots that a cold backend server advertises, since its requests take longer.
const COLD_SLOT_DIVISOR: u32 = 2;

impl Control {
    pub(super) fn on_backend(&mut self) {
        let backend = self.backend.borrow_and_update().clone();
        let now = self.now();
        self.update_clearance();
        let backend = self.advertised(now, backend);
        let identity = self.shared.registration().identity().cloned();
        let actions = match self.identity == identity {
            true => self.membership.update_backend(now, backend),
            false => self.membership.replace_backend(now, backend),
        };
        self.identity = identity;
        // The known pace may belong to the previous backend server.
        self.pace_announcer = PaceAnnouncer::default();
        self.shared.pace.store(0, Ordering::Relaxed);
        self.apply_member_actions(actions);
        self.stale = true;
    }

    /// Returns the backend server as advertised to other nodes.
    pub(super) fn advertised(&self, now: Instant, backend: Option<Backend>) -> Option<Backend> {
        let clearance = self.shared.clearing.shown(now);
        let drained = *self.shared.drained.borrow();
        let cold = self.shared.warmup.is_cold(now);
        backend.map(|backend| Backend {
            readiness: match drained {
                true => Readiness::Draining,
                false => clearance.readiness(backend.readiness),
            },
            slots: match cold {
                true => (backend.slots / COLD_SLOT_DIVISOR).max(1),
                false => backend.slots,
            },
            ..backend
        })
    }

    /// Advertises the local backend server again when it has become cold or warm.
    pub(super) fn advertise_warmup(&mut self, now: Instant) {
        let cold = self.shared.warmup.is_cold(now);
        if self.advertised_cold != cold {
            self.advertised_cold = cold;
            self.readvertise_backend(now);
        }
    }

    /// Advertises the local backend server again if its advertised state changed.
    pub(super) fn readvertise_backend(&mut self, now: Instant) {
        let backend = self.backend.borrow().clone();
        let shown = self.advertised(now, backend);
        if !self.has_left && self.membership.me().backend != shown {
            let actions = self.membership.update_backend(now, shown);
            self.apply_member_actions(actions);
            self.stale = true;
        }
    }

    /// Announces the pace of the local backend server to all nodes after a large change.
    pub(super) fn announce_pace(&mut self) {
        let now = self.now();
        let pace = match self.shared.pace.load(Ordering::Relaxed) {
            0 => None,
            pace => Some(Pace(pace)),
        };
        if let Some(pace) = self.pace_announcer.due(now, pace) {
            let actions = self.membership.announce_pace(now, pace);
            self.apply_member_actions(actions);
        }
    }

    /// Reports to the membership the nodes to which requests could not connect.
    pub(super) fn apply_unreached(&mut self) {
        let now = self.now();
        for (node, tried) in self.shared.unreached.take() {
            self.membership.unreached(now, tried, node);
        }
    }

    /// Applies the contents of the directory: other nodes and quarantined requests.
    pub(super) fn on_discovered(&mut self, discovered: &DirectoryListing) {
        self.discovered = true;
        self.listed_nodes = discovered.nodes.len();
        let now = self.now();
        self.restore_quarantine(now, &discovered.memos);
        let actions = self.membership.add_seeds(now, discovered.nodes.clone());
        self.apply_member_actions(actions);
        self.on_listed_departures(&discovered.departures);
    }

    pub(super) fn on_stopping(&mut self) {
        self.has_left = true;
        let now = self.now();
        let actions = self.membership.leave(now);
        self.apply_member_actions(actions);
    }

    /// Applies the actions of the membership.
    pub(super) fn apply_member_actions(&mut self, actions: Vec<Action>) {
        let mut changed = false;
        for action in actions {
            match action {
                Action::Send(to, datagram) => self.net.send(to, &datagram),
                Action::Changed(id) => {
                    changed = true;
                    self.log_member(id);
                }
                Action::Pull(peer) => self.pull_members(peer),
                Action::Unreachable(domain) => {
                    changed = true;
                    warn!(self.shared.logger, ""; "event" => Event::DomainCut, "domain" => %domain);
                }
                Action::Reachable(domain) => {
                    changed = true;
                    info!(self.shared.logger, ""; "event" => Event::DomainBack, "domain" => %domain);
                }
            }
        }
        self.members_changed |= changed;
    }

    fn log_member(&self, id: NodeId) {
        if let Some(member) = self.membership.member(id) {
            info!(self.shared.logger, ""; "event" => Event::Member, "id" => %id,
                "liveness" => ?member.liveness, "incarnation" => member.incarnation.0,
                "pace" => member.pace.map(|pace| pace.0));
        }
    }

    fn pull_members(&mut self, peer: NodeId) {
        let buckets = self.membership.buckets().to_vec();
        self.pull(peer, &SyncRequest::Members { buckets });
    }

    pub(super) fn pull(&mut self, peer: NodeId, request: &SyncRequest) -> bool {
        match self.membership.member(peer).map(|m| m.sync) {
            Some(addr) => self.pulls.start(peer, addr, request),
            None => false,
        }
    }
}

//! Carries out what the membership asks for.

use std::sync::atomic::Ordering;

use slog::{info, warn};
use swiftcart_core::{
    Action, Backend, Instant, NodeId, Pace, PaceAnnouncer, Readiness, SyncRequest,
};

use super::control_loop::Control;
use crate::edge::DirectoryListing;
use crate::logging::Event;

/// Of the slots of a cold backend server, whose work takes longer, others are shown one in so many.
const COLD_SLOTS: u32 = 2;

impl Control {
    pub(super) fn on_backend(&mut self) {
        let backend = self.backend.borrow_and_update().clone();
        let now = self.now();
        self.clear_backend();
        let backend = self.shown(now, backend);
        let identity = self.shared.registration().identity().cloned();
        let actions = match self.identity == identity {
            true => self.membership.update_backend(now, backend),
            false => self.membership.replace_backend(now, backend),
        };
        self.identity = identity;
        // What is known of the pace may be another backend server's.
        self.telling = PaceAnnouncer::default();
        self.shared.pace.store(0, Ordering::Relaxed);
        self.act(actions);
        self.stale = true;
    }

    /// Returns the backend server as it is shown to other nodes.
    pub(super) fn shown(&self, now: Instant, backend: Option<Backend>) -> Option<Backend> {
        let clearance = self.shared.clearing.shown(now);
        let drained = *self.shared.drained.borrow();
        let cold = self.shared.warmup.is_cold(now);
        backend.map(|backend| Backend {
            readiness: match drained {
                true => Readiness::Draining,
                false => clearance.readiness(backend.readiness),
            },
            slots: match cold {
                true => (backend.slots / COLD_SLOTS).max(1),
                false => backend.slots,
            },
            ..backend
        })
    }

    /// Shows other nodes when the own backend server has become cold, or warm.
    pub(super) fn show_warmup(&mut self, now: Instant) {
        let cold = self.shared.warmup.is_cold(now);
        if self.shown_cold != cold {
            self.shown_cold = cold;
            self.show_anew(now);
        }
    }

    /// Shows the backend server anew to other nodes.
    pub(super) fn show_anew(&mut self, now: Instant) {
        let backend = self.backend.borrow().clone();
        let shown = self.shown(now, backend);
        if !self.left && self.membership.me().backend != shown {
            let actions = self.membership.update_backend(now, shown);
            self.act(actions);
            self.stale = true;
        }
    }

    /// Tells all nodes when the own backend server has become much faster or slower.
    pub(super) fn announce_pace(&mut self) {
        let now = self.now();
        let pace = match self.shared.pace.load(Ordering::Relaxed) {
            0 => None,
            pace => Some(Pace(pace)),
        };
        if let Some(pace) = self.telling.due(now, pace) {
            let actions = self.membership.announce_pace(now, pace);
            self.act(actions);
        }
    }

    /// Tells the membership of the nodes to which requests found no connection.
    pub(super) fn take_misses(&mut self) {
        let now = self.now();
        for (node, tried) in self.shared.unreached.take() {
            self.membership.unreached(now, tried, node);
        }
    }

    /// Takes what the directory holds: the other nodes, and which requests to hold.
    pub(super) fn on_found(&mut self, found: &DirectoryListing) {
        self.found = true;
        self.listed = found.nodes.len();
        let now = self.now();
        self.recall(now, &found.memos);
        let actions = self.membership.add_seeds(now, found.nodes.clone());
        self.act(actions);
    }

    pub(super) fn on_stopping(&mut self) {
        self.left = true;
        let now = self.now();
        let actions = self.membership.leave(now);
        self.act(actions);
    }

    /// Carries out what the membership asks for.
    pub(super) fn act(&mut self, actions: Vec<Action>) {
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
        self.moved |= changed;
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

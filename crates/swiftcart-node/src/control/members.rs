//! Carries out what the membership asks for.

use slog::{info, warn};
use swiftcart_core::{Action, NodeId, SyncRequest};

use super::control_loop::Control;
use super::roster::Roster;
use crate::logging::Event;

impl Control {
    pub(super) fn on_backend(&mut self) {
        let backend = self.backend.borrow_and_update().clone();
        let now = self.now();
        let actions = self.membership.update_me(now, backend);
        self.act(actions);
        self.stale = true;
    }

    /// Takes the nodes that the directory names.
    pub(super) fn on_found(&mut self, found: Vec<NodeId>) {
        self.found = true;
        let now = self.now();
        let actions = self.membership.add_seeds(now, found);
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
        if changed {
            self.stale = true;
            self.roster = Roster::new(&self.membership);
        }
    }

    fn log_member(&self, id: NodeId) {
        if let Some(member) = self.membership.member(id) {
            info!(self.shared.logger, ""; "event" => Event::Member, "id" => %id,
                "liveness" => ?member.liveness, "incarnation" => member.incarnation.0);
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

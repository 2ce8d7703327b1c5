//! Carries out roll-outs: what the own backend server is given, what others are told, and what a
//! node does that watches the roll-out of a service.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::Rng;
use slog::{info, warn};
use swiftcart_core::{
    Backend, Cause, Datagram, Exposure, Instant, NodeId, OrderId, Release, RolloutBatch,
    RolloutMessage, RolloutOrder, RolloutStage, RolloutStatuses, Rollouts, ServiceName,
    TRIAL_INTERVAL, rank,
};

use super::board::Settled;
use super::control_loop::Control;
use super::trials::Watched;
use crate::clearing::{RoleClearance, RolloutRole};
use crate::edge::RolloutState;
use crate::logging::{Event, unix_ms};

/// The time between two rounds of news. Everyone knows after some five rounds, before backend
/// servers that are started for an order are ready.
const ROUND: Duration = Duration::from_millis(100);

/// The time between two comparisons with another node, while there is anything to compare.
const COMPARE: Duration = Duration::from_secs(1);

/// What a node knows of roll-outs, and those that it watches.
#[derive(Debug, Default)]
pub(super) struct Watching {
    pub(super) rollouts: Rollouts,
    pub(super) watched: BTreeMap<ServiceName, Watched>,
    next_round: Instant,
    next_compare: Instant,
    next_trial: Instant,
    /// Rounds of evidence so far.
    pub(super) rounds: u32,
    asked: bool,
}

impl Control {
    /// Takes orders that were read from the platform.
    pub(super) fn take_orders(&mut self, now: Instant, orders: &[RolloutOrder]) {
        for order in orders {
            if self.watching.rollouts.order(now, order) {
                let ms = u64::try_from(order.duration.as_millis()).unwrap_or(u64::MAX);
                info!(self.shared.logger, ""; "event" => Event::Rollout,
                    "service" => %order.service, "order" => order.id.0,
                    "target" => %order.target, "stage" => "ordered", "duration_ms" => ms);
                self.clear_backend();
            }
        }
    }

    /// Moves roll-outs on, and tells others what there is to tell.
    pub(super) fn watch_rollouts(&mut self, now: Instant) {
        if !self.watching.asked && self.met(now) {
            self.watching.asked = true;
            self.ask_rollouts();
        }
        if self.watching.rollouts.is_empty() {
            return;
        }
        if now >= self.watching.next_round {
            self.watching.next_round = now + ROUND;
            self.pass_rollouts(now);
        }
        if now >= self.watching.next_compare {
            self.watching.next_compare = now + COMPARE;
            let digest_message = self.watching.rollouts.digest_message();
            for id in self.membership.broadcast_targets(false).into_iter().take(1) {
                self.tell_words(id, digest_message.clone());
            }
        }
        if now >= self.watching.next_trial {
            self.watching.next_trial = now + TRIAL_INTERVAL;
            self.tell_evidence(now);
            self.run_trials(now);
            self.show_backend(now);
        }
    }

    /// Takes what another node tells of roll-outs.
    pub(super) fn on_rollouts(&mut self, now: Instant, from: NodeId, message: &RolloutMessage) {
        match message {
            RolloutMessage::Statuses(words) => self.on_words(now, from, words),
            RolloutMessage::Evidence(evidence) => self.on_evidence(now, from, evidence.clone()),
            RolloutMessage::Grant(grant) => {
                if self.shared.clearing.grant(now, grant) {
                    self.show_backend(now);
                }
            }
        }
    }

    /// Takes what the platform knows of a roll-out.
    pub(super) fn on_settled(&mut self, settled: &Settled) {
        let now = self.now();
        let Settled {
            service,
            order,
            state,
            due_ms,
        } = settled;
        let left = Duration::from_millis(due_ms.saturating_sub(unix_ms()));
        if let Some(watched) = self.watching.watched.get_mut(service)
            && watched.trial.order() == *order
        {
            watched.known = true;
        }
        match state {
            RolloutState::Running => self.watching.rollouts.set_due(service, *order, now + left),
            RolloutState::Completed => self.advance(service, *order, RolloutStage::Completed, None),
            RolloutState::RolledBack => {
                self.advance(service, *order, RolloutStage::RolledBack, None);
            }
        }
    }

    /// Gives the own backend server the part that it has by what is known now.
    pub(super) fn clear_backend(&mut self) {
        let backend = self.backend.borrow().clone();
        let release = self
            .shared
            .registration()
            .identity()
            .map(|own| own.release.clone());
        let cleared = match &backend {
            Some(backend) => self.cleared(backend, release.as_ref()),
            None => RoleClearance::default(),
        };
        let epoch = rand::rng().random();
        if self.shared.clearing.adopt(cleared.clone(), epoch)
            && let Some(rollout_role) = cleared.rollout_role
        {
            info!(self.shared.logger, ""; "event" => Event::Rollout, "service" => %rollout_role.service,
                "order" => rollout_role.order.0, "side" => ?rollout_role.side, "clearance" => ?cleared.clearance,
                "release" => release.as_ref().map(Release::as_str));
        }
        self.show_backend(self.now());
    }

    fn cleared(&self, backend: &Backend, release: Option<&Release>) -> RoleClearance {
        let rollouts = &self.watching.rollouts;
        let Some((rollout, side)) = rollouts.side(&backend.service, release) else {
            return RoleClearance::default();
        };
        let rollout_role = RolloutRole {
            service: backend.service.clone(),
            order: rollout.order,
            side,
        };
        let rollout_batch = match rollout.stage {
            RolloutStage::Moving(_) => self.shared.clearing.rollout_batch(self.draw_turn(backend)),
            _ => RolloutBatch::FIRST,
        };
        RoleClearance {
            rollout_role: Some(rollout_role),
            clearance: rollout.stage.clearance(side, rollout_batch),
        }
    }

    /// Draws the turn of the own backend server: its place among those that are shown as it is,
    /// which are those of its side before the first one has moved.
    fn draw_turn(&self, backend: &Backend) -> RolloutBatch {
        let shown = self.shown(self.now(), Some(backend.clone()));
        let alike = |other: &Backend| {
            let readiness = shown.as_ref().map(|shown| shown.readiness);
            other.service == backend.service && Some(other.readiness) == readiness
        };
        let live = self
            .membership
            .members()
            .filter(|member| member.liveness.is_live());
        let side = live.filter(|member| member.backend.as_ref().is_some_and(alike));
        let ids: Vec<NodeId> = side.map(|member| member.id).collect();
        let ranked = rank(&ids, backend.service.as_str());
        let place = ranked.iter().position(|id| *id == self.shared.id);
        RolloutBatch::new(place.unwrap_or(0), ranked.len())
    }

    /// Shows the backend server anew to other nodes where that has changed.
    fn show_backend(&mut self, now: Instant) {
        if self.shared.clearing.is_used() {
            self.show_anew(now);
        }
    }

    /// Asks some nodes what they know: a process that has started remembers nothing.
    fn ask_rollouts(&mut self) {
        let sync_request = self.watching.rollouts.request_all();
        for id in self.membership.broadcast_targets(true) {
            self.tell_words(id, sync_request.clone());
        }
    }

    fn on_words(&mut self, now: Instant, from: NodeId, words: &RolloutStatuses) {
        if self.watching.rollouts.merge(now, &words.list) {
            self.clear_backend();
        }
        if words.asks {
            let rollouts = &self.watching.rollouts;
            for words in RolloutStatuses::pack(rollouts.digest(), rollouts.all(now)) {
                self.tell_words(from, words);
            }
        }
        if let Some(sync_request) = self.watching.rollouts.sync_request(words) {
            self.tell_words(from, sync_request);
        }
    }

    fn pass_rollouts(&mut self, now: Instant) {
        let due = self.watching.rollouts.gossip_round(now);
        if due.is_empty() {
            return;
        }
        let digest = self.watching.rollouts.digest();
        let told = self.membership.broadcast_targets(true);
        for words in RolloutStatuses::pack(digest, due) {
            for id in &told {
                self.tell_words(*id, words.clone());
            }
        }
    }

    fn tell_words(&self, to: NodeId, words: RolloutStatuses) {
        let message = RolloutMessage::Statuses(words);
        self.net.send(to, &Datagram::Rollouts(message));
    }

    /// Goes on to `stage` where that is a step forward.
    pub(super) fn advance(
        &mut self,
        service: &ServiceName,
        order: OrderId,
        stage: RolloutStage,
        cause: Option<Cause>,
    ) {
        if self.watching.rollouts.advance(service, order, stage) {
            self.log_stage(service, order, stage, cause);
            self.clear_backend();
        }
    }

    /// Logs and counts a stage, with what decided.
    pub(super) fn log_stage(
        &self,
        service: &ServiceName,
        order: OrderId,
        stage: RolloutStage,
        cause: Option<Cause>,
    ) {
        let counters = &self.shared.counters;
        counters.count("swiftcart_rollout_stages_total", "stage", stage.as_str());
        let watched = self.watching.watched.get(service);
        let so_far = watched.map_or_else(Exposure::default, |watched| watched.trial.exposure());
        let logger = &self.shared.logger;
        let why = cause.map_or("told", Cause::as_str);
        match cause.and_then(Cause::finding) {
            Some(found) => warn!(logger, ""; "event" => Event::Rollout, "service" => %service,
                "order" => order.0, "stage" => stage.as_str(), "cause" => why,
                "requests" => so_far.all, "at_new" => so_far.new, "route" => found.route.0,
                "measure" => found.metric.as_str(), "old_runs" => found.old.all,
                "old_bad" => found.old.bad, "new_runs" => found.new.all, "new_bad" => found.new.bad,
                "weight" => format!("{:.1}", found.log_ratio), "affected" => found.affected.bad,
                "of_new" => found.affected.all, "alike" => found.old_affected.bad, "of_old" => found.old_affected.all),
            None => info!(logger, ""; "event" => Event::Rollout, "service" => %service,
                "order" => order.0, "stage" => stage.as_str(), "cause" => why,
                "requests" => so_far.all, "at_new" => so_far.new),
        }
    }
}

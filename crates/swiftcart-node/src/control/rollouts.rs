//! Applies roll-outs: the clearance of the local backend server, gossip of roll-out statuses, and
//! the duties of a node that watches the roll-out of a service.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::Rng;
use slog::{info, warn};
use swiftcart_core::{
    Backend, Cause, Datagram, Exposure, Instant, NodeId, OrderId, Release, RolloutBatch,
    RolloutMessage, RolloutOrder, RolloutStage, RolloutStatuses, Rollouts, ServiceName,
    TRIAL_INTERVAL, rank,
};

use super::board::RecordedRollout;
use super::control_loop::Control;
use super::trials::WatchedRollout;
use crate::clearing::{RoleClearance, RolloutRole};
use crate::edge::RolloutState;
use crate::logging::{Event, unix_ms};

/// Interval between gossip rounds. A status reaches all nodes after about five rounds, before
/// backend servers that are started for an order are ready.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(100);

/// Interval between digest comparisons with another node, while there are roll-outs to compare.
const COMPARE_INTERVAL: Duration = Duration::from_secs(1);

/// Known roll-outs, those that this node watches, and their gossip schedule.
#[derive(Debug, Default)]
pub(super) struct RolloutWatch {
    pub(super) rollouts: Rollouts,
    pub(super) watched: BTreeMap<ServiceName, WatchedRollout>,
    next_round: Instant,
    next_compare: Instant,
    next_trial: Instant,
    /// Number of evidence rounds so far.
    pub(super) evidence_rounds: u32,
    requested: bool,
}

impl Control {
    /// Applies roll-out orders that were read from the platform.
    pub(super) fn apply_orders(&mut self, now: Instant, orders: &[RolloutOrder]) {
        for order in orders {
            if self.watch.rollouts.order(now, order) {
                let ms = u64::try_from(order.duration.as_millis()).unwrap_or(u64::MAX);
                info!(self.shared.logger, ""; "event" => Event::Rollout,
                    "service" => %order.service, "order" => order.id.0,
                    "target" => %order.target, "stage" => "ordered", "duration_ms" => ms);
                self.update_clearance();
            }
        }
    }

    /// Advances roll-outs, gossips statuses and sends evidence.
    pub(super) fn watch_rollouts(&mut self, now: Instant) {
        if !self.watch.requested && self.members_known(now) {
            self.watch.requested = true;
            self.request_rollouts();
        }
        if self.watch.rollouts.is_empty() {
            return;
        }
        if now >= self.watch.next_round {
            self.watch.next_round = now + GOSSIP_INTERVAL;
            self.gossip_new_statuses(now);
        }
        if now >= self.watch.next_compare {
            self.watch.next_compare = now + COMPARE_INTERVAL;
            let digest_message = self.watch.rollouts.digest_message();
            for id in self.membership.broadcast_targets(false).into_iter().take(1) {
                self.send_statuses(id, digest_message.clone());
            }
        }
        if now >= self.watch.next_trial {
            self.watch.next_trial = now + TRIAL_INTERVAL;
            self.send_evidence(now);
            self.run_trials(now);
            self.advertise_backend(now);
        }
    }

    /// Handles a roll-out message of another node.
    pub(super) fn on_rollouts(&mut self, now: Instant, from: NodeId, message: &RolloutMessage) {
        match message {
            RolloutMessage::Statuses(statuses) => self.on_statuses(now, from, statuses),
            RolloutMessage::Evidence(evidence) => self.on_evidence(now, from, evidence.clone()),
            RolloutMessage::Grant(grant) => {
                if self.shared.clearing.grant(now, grant) {
                    self.advertise_backend(now);
                }
            }
        }
    }

    /// Applies the state of a roll-out as recorded at the platform.
    pub(super) fn on_recorded(&mut self, recorded: &RecordedRollout) {
        let now = self.now();
        let RecordedRollout {
            service,
            order,
            state,
            due_ms,
        } = recorded;
        let left = Duration::from_millis(due_ms.saturating_sub(unix_ms()));
        if let Some(watched) = self.watch.watched.get_mut(service)
            && watched.trial.order() == *order
        {
            watched.recorded = true;
        }
        match state {
            RolloutState::Running => self.watch.rollouts.set_due(service, *order, now + left),
            RolloutState::Completed => self.advance(service, *order, RolloutStage::Completed, None),
            RolloutState::RolledBack => {
                self.advance(service, *order, RolloutStage::RolledBack, None);
            }
        }
    }

    /// Updates the role and clearance of the local backend server from the known roll-outs.
    pub(super) fn update_clearance(&mut self) {
        let backend = self.backend.borrow().clone();
        let release = self
            .shared
            .registration()
            .identity()
            .map(|own| own.release.clone());
        let cleared = match &backend {
            Some(backend) => self.clearance_of(backend, release.as_ref()),
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
        self.advertise_backend(self.now());
    }

    fn clearance_of(&self, backend: &Backend, release: Option<&Release>) -> RoleClearance {
        let rollouts = &self.watch.rollouts;
        let Some((rollout, side)) = rollouts.side(&backend.service, release) else {
            return RoleClearance::default();
        };
        let rollout_role = RolloutRole {
            service: backend.service.clone(),
            order: rollout.order,
            side,
        };
        let batch = match rollout.stage {
            RolloutStage::Moving(_) => self.shared.clearing.rollout_batch(self.batch_of(backend)),
            _ => RolloutBatch::FIRST,
        };
        RoleClearance {
            rollout_role: Some(rollout_role),
            clearance: rollout.stage.clearance(side, batch),
        }
    }

    /// Returns the batch of the local backend server. The batch follows from the rank among the
    /// backend servers of the service that advertise the same readiness. Until the first of them
    /// has moved, these are all backend servers of its side.
    fn batch_of(&self, backend: &Backend) -> RolloutBatch {
        let advertised = self.advertised(self.now(), Some(backend.clone()));
        let has_same_readiness = |other: &Backend| {
            let readiness = advertised.as_ref().map(|backend| backend.readiness);
            other.service == backend.service && Some(other.readiness) == readiness
        };
        let live = self
            .membership
            .members()
            .filter(|member| member.liveness.is_live());
        let side = live.filter(|member| member.backend.as_ref().is_some_and(has_same_readiness));
        let ids: Vec<NodeId> = side.map(|member| member.id).collect();
        let ranked = rank(&ids, backend.service.as_str());
        let place = ranked.iter().position(|id| *id == self.shared.id);
        RolloutBatch::new(place.unwrap_or(0), ranked.len())
    }

    /// Advertises the backend server again if its clearance is in use and its state changed.
    fn advertise_backend(&mut self, now: Instant) {
        if self.shared.clearing.is_used() {
            self.readvertise_backend(now);
        }
    }

    /// Requests the statuses of some nodes, since a process that has just started has none.
    fn request_rollouts(&mut self) {
        let sync_request = self.watch.rollouts.request_all();
        for id in self.membership.broadcast_targets(true) {
            self.send_statuses(id, sync_request.clone());
        }
    }

    fn on_statuses(&mut self, now: Instant, from: NodeId, statuses: &RolloutStatuses) {
        if self.watch.rollouts.merge(now, &statuses.list) {
            self.update_clearance();
        }
        if statuses.asks {
            let rollouts = &self.watch.rollouts;
            for statuses in RolloutStatuses::pack(rollouts.digest(), rollouts.all(now)) {
                self.send_statuses(from, statuses);
            }
        }
        if let Some(sync_request) = self.watch.rollouts.sync_request(statuses) {
            self.send_statuses(from, sync_request);
        }
    }

    fn gossip_new_statuses(&mut self, now: Instant) {
        let due = self.watch.rollouts.gossip_round(now);
        if due.is_empty() {
            return;
        }
        let digest = self.watch.rollouts.digest();
        let peers = self.membership.broadcast_targets(true);
        for statuses in RolloutStatuses::pack(digest, due) {
            for id in &peers {
                self.send_statuses(*id, statuses.clone());
            }
        }
    }

    fn send_statuses(&self, to: NodeId, statuses: RolloutStatuses) {
        let message = RolloutMessage::Statuses(statuses);
        self.net.send(to, &Datagram::Rollouts(message));
    }

    /// Advances a roll-out to `stage` if that is a step forward.
    pub(super) fn advance(
        &mut self,
        service: &ServiceName,
        order: OrderId,
        stage: RolloutStage,
        cause: Option<Cause>,
    ) {
        if self.watch.rollouts.advance(service, order, stage) {
            self.log_stage(service, order, stage, cause);
            self.update_clearance();
        }
    }

    /// Logs and counts a stage, with the cause of the decision.
    pub(super) fn log_stage(
        &self,
        service: &ServiceName,
        order: OrderId,
        stage: RolloutStage,
        cause: Option<Cause>,
    ) {
        let counters = &self.shared.counters;
        counters.count("swiftcart_rollout_stages_total", "stage", stage.as_str());
        let watched = self.watch.watched.get(service);
        let exposure = watched.map_or_else(Exposure::default, |watched| watched.trial.exposure());
        let logger = &self.shared.logger;
        let cause_name = cause.map_or("told", Cause::as_str);
        match cause.and_then(Cause::finding) {
            Some(found) => warn!(logger, ""; "event" => Event::Rollout, "service" => %service,
                "order" => order.0, "stage" => stage.as_str(), "cause" => cause_name,
                "requests" => exposure.all, "at_new" => exposure.new, "route" => found.route.0,
                "measure" => found.metric.as_str(), "old_runs" => found.old.all,
                "old_bad" => found.old.bad, "new_runs" => found.new.all, "new_bad" => found.new.bad,
                "weight" => format!("{:.1}", found.log_ratio), "affected" => found.affected.bad,
                "of_new" => found.affected.all, "alike" => found.old_affected.bad, "of_old" => found.old_affected.all),
            None => info!(logger, ""; "event" => Event::Rollout, "service" => %service,
                "order" => order.0, "stage" => stage.as_str(), "cause" => cause_name,
                "requests" => exposure.all, "at_new" => exposure.new),
        }
    }
}

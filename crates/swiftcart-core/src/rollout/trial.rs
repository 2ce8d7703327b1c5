//! Evaluation of a service's roll-out.

mod action;
mod credit;
mod observations;

use std::time::Duration;

use super::{
    Evidence, Grant, OrderId, Rollout, RolloutFinding, RolloutStage, RouteComparison, Schedule,
    Side, Step,
};
use crate::{Instant, NodeId, ServiceName};
pub use action::*;
use credit::CreditBudget;
use observations::{Comparisons, Observations, ServerRecord, Window, findings};

/// Interval between two evaluations of a trial. A bad release is stopped within about five
/// intervals. Credit that is not renewed expires after two.
pub const TRIAL_INTERVAL: Duration = Duration::from_millis(250);

/// Number of new backend servers in a trial, as a share of the number of old ones. At full load,
/// they get about the share of requests that a trial may use.
const TRIAL_SERVER_SHARE: f64 = 0.08;

/// Minimum number of backend servers in a trial, so that a single faulty backend server can be told
/// from a bad release.
const MIN_TRIAL_SERVERS: usize = 2;

/// Minimum share of the old release's requests that must be on separately compared routes before
/// the service is moved. All other routes are compared together.
const MIN_COMPARED_SHARE: f64 = 0.5;

/// Time after which a release is considered to be in use if the service has no backend server of
/// another release.
const SOLE_RELEASE_WAIT: Duration = Duration::from_secs(3);

/// Time for which the old release is observed before the trial starts. Without this time, a node
/// that starts together with the whole mesh would attribute failures of the first second to the new
/// release.
const BASELINE_TIME: Duration = Duration::from_millis(2_500);

/// First stage of moving a service.
const FIRST_MOVE: RolloutStage = RolloutStage::Moving(Step::FIRST);

/// Upper bound on the requests given to a bad release.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TrialSettings {
    /// Share of the service's requests.
    pub share: f64,
    /// Number of requests in addition to the share.
    pub extra: f64,
}

/// Requests of a service since the order.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Exposure {
    /// All requests.
    pub all: u64,
    /// Requests given to the new release.
    pub new: u64,
}

/// Evaluation state of one service's roll-out.
#[derive(Debug, Clone, PartialEq)]
pub struct Trial {
    order: OrderId,
    schedule: Schedule,
    observations: Observations,
    credit: CreditBudget,
    started: Instant,
    stage: RolloutStage,
    entered: Instant,
}

impl Trial {
    /// Starts the evaluation of `rollout`.
    #[must_use]
    pub fn new(now: Instant, rollout: &Rollout<'_>, settings: TrialSettings) -> Self {
        Self {
            order: rollout.order,
            schedule: Schedule::new(rollout.duration),
            observations: Observations::default(),
            credit: CreditBudget::new(settings),
            started: now,
            stage: rollout.stage,
            entered: now,
        }
    }

    /// Returns the order under evaluation.
    #[must_use]
    pub const fn order(&self) -> OrderId {
        self.order
    }

    /// Records the evidence that the node `from` reports about its backend server.
    pub fn observe(&mut self, now: Instant, from: NodeId, evidence: Evidence) {
        let under_way = self.stage != RolloutStage::Ordered;
        if evidence.order == self.order {
            self.observations.record(now, from, evidence, under_way);
        }
    }

    /// Returns the actions to take now. `known_servers` is the number of nodes known to have a
    /// backend server of the service, including unreachable ones.
    ///
    /// A node without recent evidence from at least half of these nodes may be on the smaller side
    /// of a network partition. Such a node may only report a bad release; all other decisions are
    /// left to the nodes on the larger side.
    pub fn evaluate(
        &mut self,
        now: Instant,
        rollout: &Rollout<'_>,
        known_servers: usize,
    ) -> Vec<TrialAction> {
        self.enter(now, rollout.stage);
        self.credit.update_rate(now, self.exposure().all);
        self.observations.rotate_recent(now);
        let remaining = rollout.remaining(now);
        let advance = match rollout.stage {
            RolloutStage::Ordered => self.check_ordered(now, remaining, known_servers),
            RolloutStage::Trial => self.check_trial(remaining),
            RolloutStage::Moving(step) => self.check_moving(now, step),
            RolloutStage::Closing => self.check_closing(remaining, known_servers),
            RolloutStage::Stopped | RolloutStage::RolledBack | RolloutStage::Completed => None,
        };
        let has_quorum = self.observations.fresh_count(now) * 2 >= known_servers;
        let advance =
            advance.filter(|advance| has_quorum || matches!(advance.cause, Cause::Bad(_)));
        match advance {
            Some(advance) => {
                self.enter(now, advance.stage);
                vec![TrialAction::Advance(advance)]
            }
            None if rollout.stage == RolloutStage::Trial => self.grants(now, rollout.service),
            None => Vec::new(),
        }
    }

    /// Returns the number of requests since the order, in total and at the new release.
    #[must_use]
    pub fn exposure(&self) -> Exposure {
        self.observations.exposure()
    }

    fn enter(&mut self, now: Instant, stage: RolloutStage) {
        if self.stage == stage {
            return;
        }
        self.stage = stage;
        self.entered = now;
        if stage == RolloutStage::Trial {
            self.observations.reset_baseline(now);
        }
    }

    fn check_ordered(
        &self,
        now: Instant,
        remaining: Duration,
        known_servers: usize,
    ) -> Option<Advance> {
        let ready = self
            .observations
            .servers(Side::New)
            .any(|(_, record)| record.is_ready(now));
        let sole = self.observations.servers(Side::New).count() >= known_servers;
        match (ready, sole) {
            (true, true) if now.since(self.started) >= SOLE_RELEASE_WAIT => {
                Some(Advance::new(RolloutStage::Completed, Cause::NoOldServers))
            }
            (true, false) => Some(Advance::new(RolloutStage::Trial, Cause::Ready)),
            _ if remaining.is_zero() => {
                Some(Advance::new(RolloutStage::Stopped, Cause::Unproven(None)))
            }
            _ => None,
        }
    }

    fn check_trial(&self, remaining: Duration) -> Option<Advance> {
        if let Some(finding) = self.observations.regression(false) {
            return Some(Advance::new(RolloutStage::Stopped, Cause::Bad(finding)));
        }
        if !self.schedule.is_move_due(remaining) {
            return None;
        }
        let late = self.schedule.is_too_late(remaining);
        let Comparisons { routes, rest } = self
            .observations
            .comparisons(Window::Whole, &self.observations.outliers());
        let requests = |comparisons: &[RouteComparison]| -> u32 {
            comparisons.iter().map(RouteComparison::old_requests).sum()
        };
        let enough_compared = f64::from(requests(&routes))
            >= MIN_COMPARED_SHARE * f64::from(requests(&routes) + rest.old_requests());
        let (routes, rest) = (findings(&routes), rest.findings());
        let rest_suspect = rest.iter().find(|finding| finding.is_suspect());
        let inconclusive = routes
            .iter()
            .find(|finding| !finding.is_acceptable())
            .or(rest_suspect);
        let equivalent = routes.iter().all(RolloutFinding::is_equivalent);
        match inconclusive {
            None if enough_compared && !routes.is_empty() && equivalent => {
                Some(Advance::new(FIRST_MOVE, Cause::Approved))
            }
            None if enough_compared && !routes.is_empty() && late => {
                Some(Advance::new(FIRST_MOVE, Cause::Passed))
            }
            inconclusive if late => Some(Advance::new(
                RolloutStage::Stopped,
                Cause::Unproven(inconclusive.copied()),
            )),
            _ => None,
        }
    }

    fn check_moving(&self, now: Instant, step: Step) -> Option<Advance> {
        match self.observations.regression(true) {
            Some(finding) => Some(Advance::new(RolloutStage::Stopped, Cause::Bad(finding))),
            None if now.since(self.entered) >= self.schedule.step_duration() => {
                Some(Advance::new(step.next(), Cause::NextStep))
            }
            None => None,
        }
    }

    fn check_closing(&self, remaining: Duration, known_servers: usize) -> Option<Advance> {
        let is_drained =
            |record: &ServerRecord| !record.evidence.open && record.evidence.running == 0;
        let mut old = self.observations.servers(Side::Old);
        let all_known = self.observations.len() >= known_servers;
        match self.observations.regression(true) {
            Some(finding) => Some(Advance::new(RolloutStage::Stopped, Cause::Bad(finding))),
            None if all_known && old.all(|(_, record)| is_drained(record)) => {
                Some(Advance::new(RolloutStage::Completed, Cause::OldDrained))
            }
            None if self.schedule.is_past_cutoff(remaining) => Some(Advance::new(
                RolloutStage::Completed,
                Cause::DeadlineReached,
            )),
            None => None,
        }
    }

    /// Returns grants that divide the available credit among the backend servers in the trial.
    fn grants(&mut self, now: Instant, service: &ServiceName) -> Vec<TrialAction> {
        let servers = self.trial_servers(now);
        let old = self.observations.servers(Side::Old).count();
        let per_server = self
            .credit
            .per_server(servers.len(), old, self.observations.exposure());
        let has_baseline = now.since(self.started) >= BASELINE_TIME;
        if per_server == 0 || !has_baseline || self.observations.is_baseline_failing() {
            return Vec::new();
        }
        let grant = |id: NodeId| {
            let evidence = self.observations.evidence(id)?;
            let grant = Grant {
                service: service.clone(),
                order: self.order,
                epoch: evidence.epoch,
                upto: evidence.arrived + per_server,
            };
            Some(TrialAction::Grant(id, grant))
        };
        servers.into_iter().filter_map(grant).collect()
    }

    /// Returns the nodes whose backend servers take part in the trial: the first ready ones in
    /// order of node ID, without outliers.
    fn trial_servers(&self, now: Instant) -> Vec<NodeId> {
        let old = self.observations.servers(Side::Old).count();
        let count = (old as f64 * TRIAL_SERVER_SHARE).ceil() as usize;
        let outliers = self.observations.outliers();
        let ready = self
            .observations
            .servers(Side::New)
            .filter(|(_, record)| record.is_ready(now));
        let healthy = ready.map(|(id, _)| id).filter(|id| !outliers.contains(id));
        healthy.take(count.max(MIN_TRIAL_SERVERS)).collect()
    }
}

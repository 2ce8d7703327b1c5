//! What a node decides that watches the roll-out of one service.

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
use credit::Spending;
use observations::{Cases, Observed, Seen, Span, findings};

/// The time between two rounds. A bad release is stopped within some five of them, and credit
/// that is not renewed ends with the second one.
pub const TRIAL_INTERVAL: Duration = Duration::from_millis(250);

/// The part of a service's backend servers whose number is tried of the new release. With full load
/// on each, about the part of the requests that may be spent.
const TRIED_SHARE: f64 = 0.08;

/// The least number that is tried, so that one that is bad by itself is told from its release.
const TRIED_LEAST: usize = 2;

/// The part of a service's requests that routes have which are judged by themselves, before the
/// service moves. The others are judged together.
const SEEN_SHARE: f64 = 0.5;

/// How long a service without any backend server of another release is left as it is before the
/// new one is taken for the one in use.
const ALONE_FOR: Duration = Duration::from_secs(3);

/// For how long the old release is watched before anything is tried. Who begins to watch as the whole
/// mesh starts again would else lay the failures of the first second to whoever was tried in it.
const WATCHED_FOR: Duration = Duration::from_millis(2_500);

/// The stage in which a service begins to move.
const MOVE: RolloutStage = RolloutStage::Moving(Step::FIRST);

/// Bounds of what a bad release may get.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TrialSettings {
    /// The part of a service's requests.
    pub share: f64,
    /// Requests on top of that.
    pub extra: f64,
}

/// The requests of a service since the order.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Exposure {
    /// All of them.
    pub all: u64,
    /// Those at the new release.
    pub new: u64,
}

/// Watches the roll-out of one service.
#[derive(Debug, Clone, PartialEq)]
pub struct Trial {
    order: OrderId,
    schedule: Schedule,
    observed: Observed,
    spending: Spending,
    since: Instant,
    stage: RolloutStage,
    entered: Instant,
}

impl Trial {
    /// Starts to watch `rollout`.
    #[must_use]
    pub fn new(now: Instant, rollout: &Rollout<'_>, settings: TrialSettings) -> Self {
        Self {
            order: rollout.order,
            schedule: Schedule::new(rollout.duration),
            observed: Observed::default(),
            spending: Spending::new(settings),
            since: now,
            stage: rollout.stage,
            entered: now,
        }
    }

    /// Returns the order.
    #[must_use]
    pub const fn order(&self) -> OrderId {
        self.order
    }

    /// Takes what the node `from` has seen of its backend server.
    pub fn observe(&mut self, now: Instant, from: NodeId, evidence: Evidence) {
        let under_way = self.stage != RolloutStage::Ordered;
        if evidence.order == self.order {
            self.observed.record(now, from, evidence, under_way);
        }
    }

    /// Decides what is to be done now, where `known` nodes have a backend server of the service, reached or
    /// not.
    ///
    /// Who hears from less than half of them is cut off: it may find that the release is bad, and leaves
    /// all else to those on the other side.
    pub fn evaluate(
        &mut self,
        now: Instant,
        rollout: &Rollout<'_>,
        known: usize,
    ) -> Vec<TrialAction> {
        self.enter(now, rollout.stage);
        self.spending.measure(now, self.exposure().all);
        self.observed.mark(now);
        let left = rollout.remaining(now);
        let step = match rollout.stage {
            RolloutStage::Ordered => self.begin(now, left, known),
            RolloutStage::Trial => self.try_on(left),
            RolloutStage::Moving(step) => self.go_on(now, step),
            RolloutStage::Closing => self.close(left, known),
            RolloutStage::Stopped | RolloutStage::RolledBack | RolloutStage::Completed => None,
        };
        let most = self.observed.heard(now) * 2 >= known;
        let step = step.filter(|step| most || matches!(step.cause, Cause::Bad(_)));
        match step {
            Some(step) => {
                self.enter(now, step.stage);
                vec![TrialAction::Advance(step)]
            }
            None if rollout.stage == RolloutStage::Trial => self.grants(now, rollout.service),
            None => Vec::new(),
        }
    }

    /// Returns the requests that the service had since the order, and those at the new release.
    #[must_use]
    pub fn exposure(&self) -> Exposure {
        self.observed.exposure()
    }

    fn enter(&mut self, now: Instant, stage: RolloutStage) {
        if self.stage == stage {
            return;
        }
        self.stage = stage;
        self.entered = now;
        if stage == RolloutStage::Trial {
            self.observed.begin(now);
        }
    }

    fn begin(&self, now: Instant, left: Duration, known: usize) -> Option<Advance> {
        let heard = self
            .observed
            .on(Side::New)
            .any(|(_, seen)| seen.is_ready(now));
        let alone = self.observed.on(Side::New).count() >= known;
        match (heard, alone) {
            (true, true) if now.since(self.since) >= ALONE_FOR => {
                Some(Advance::new(RolloutStage::Completed, Cause::NobodyElse))
            }
            (true, false) => Some(Advance::new(RolloutStage::Trial, Cause::Ready)),
            _ if left.is_zero() => Some(Advance::new(RolloutStage::Stopped, Cause::Unproven(None))),
            _ => None,
        }
    }

    fn try_on(&self, left: Duration) -> Option<Advance> {
        if let Some(bad) = self.observed.blamed(false) {
            return Some(Advance::new(RolloutStage::Stopped, Cause::Bad(bad)));
        }
        if !self.schedule.moves(left) {
            return None;
        }
        let late = self.schedule.is_late(left);
        let Cases { seen, rest } = self.observed.cases(Span::Whole, &self.observed.bad_ones());
        let runs = |cases: &[RouteComparison]| -> u32 {
            cases.iter().map(RouteComparison::old_runs).sum()
        };
        let known = f64::from(runs(&seen)) >= SEEN_SHARE * f64::from(runs(&seen) + rest.old_runs());
        let (seen, rest) = (findings(&seen), rest.findings());
        let rest_doubtful = rest.iter().find(|finding| finding.warns());
        let doubtful = seen
            .iter()
            .find(|finding| !finding.passes())
            .or(rest_doubtful);
        let clear = seen.iter().all(RolloutFinding::clears);
        match doubtful {
            None if known && !seen.is_empty() && clear => Some(Advance::new(MOVE, Cause::Approved)),
            None if known && !seen.is_empty() && late => Some(Advance::new(MOVE, Cause::Passed)),
            doubtful if late => Some(Advance::new(
                RolloutStage::Stopped,
                Cause::Unproven(doubtful.copied()),
            )),
            _ => None,
        }
    }

    fn go_on(&self, now: Instant, step: Step) -> Option<Advance> {
        match self.observed.blamed(true) {
            Some(bad) => Some(Advance::new(RolloutStage::Stopped, Cause::Bad(bad))),
            None if now.since(self.entered) >= self.schedule.step() => {
                Some(Advance::new(step.next(), Cause::NextStep))
            }
            None => None,
        }
    }

    fn close(&self, left: Duration, known: usize) -> Option<Advance> {
        let empty = |seen: &Seen| !seen.evidence.open && seen.evidence.running == 0;
        let mut old = self.observed.on(Side::Old);
        let all = self.observed.len() >= known;
        match self.observed.blamed(true) {
            Some(bad) => Some(Advance::new(RolloutStage::Stopped, Cause::Bad(bad))),
            None if all && old.all(|(_, seen)| empty(seen)) => {
                Some(Advance::new(RolloutStage::Completed, Cause::Emptied))
            }
            None if self.schedule.ends(left) => {
                Some(Advance::new(RolloutStage::Completed, Cause::TimeOver))
            }
            None => None,
        }
    }

    /// Gives those that are tried what may be spent.
    fn grants(&mut self, now: Instant, service: &ServiceName) -> Vec<TrialAction> {
        let tried = self.tried(now);
        let old = self.observed.on(Side::Old).count();
        let each = self
            .spending
            .each(tried.len(), old, self.observed.exposure());
        let watched = now.since(self.since) >= WATCHED_FOR;
        if each == 0 || !watched || self.observed.is_troubled() {
            return Vec::new();
        }
        let grant = |id: NodeId| {
            let evidence = self.observed.evidence(id)?;
            let grant = Grant {
                service: service.clone(),
                order: self.order,
                epoch: evidence.epoch,
                upto: evidence.arrived + each,
            };
            Some(TrialAction::Grant(id, grant))
        };
        tried.into_iter().filter_map(grant).collect()
    }

    /// Returns the nodes whose backend servers are tried: the first ones by name that are ready,
    /// without those that are bad by themselves.
    fn tried(&self, now: Instant) -> Vec<NodeId> {
        let old = self.observed.on(Side::Old).count();
        let number = (old as f64 * TRIED_SHARE).ceil() as usize;
        let bad = self.observed.bad_ones();
        let ready = self
            .observed
            .on(Side::New)
            .filter(|(_, seen)| seen.is_ready(now));
        let sound = ready.map(|(id, _)| id).filter(|id| !bad.contains(id));
        sound.take(number.max(TRIED_LEAST)).collect()
    }
}

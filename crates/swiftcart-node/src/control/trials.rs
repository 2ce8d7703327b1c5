//! Trials of new releases: evidence from guards, and the evaluation by the nodes that watch the
//! roll-out of a service.

use std::time::Duration;

use swiftcart_core::{
    Datagram, Evidence, Instant, Membership, NodeId, Readiness, RolloutMessage, RolloutStage,
    ServiceName, Side, Trial, TrialAction, rank,
};

use super::control_loop::Control;
use crate::clearing::Activity;
use crate::edge::{RolloutRecord, RolloutState};
use crate::logging::unix_ms;

/// Number of nodes that watch the roll-out of one service. The first one decides. The second one
/// takes over if the first one has not recorded the end at the platform.
const WATCHER_COUNT: usize = 2;

/// Time that the second watcher waits for the first one to record a state.
const STANDBY_WRITE_DELAY: Duration = Duration::from_millis(700);

/// Interval, in rounds, at which a backend server of the old release sends evidence until the
/// service moves. A lower rate suffices: the comparison covers seconds of its work, and each
/// watcher receives evidence from all of them.
const OLD_EVIDENCE_ROUNDS: u32 = 2;

/// Roll-out that this node watches.
#[derive(Debug)]
pub(super) struct WatchedRollout {
    pub(super) trial: Trial,
    /// State that was last queued for writing.
    written: Option<RolloutState>,
    /// Set once the platform has answered for this order. Only then is the trial evaluated, since
    /// the platform may already have recorded an end.
    pub(super) recorded: bool,
    /// Time since which a state waits to be written.
    write_due: Option<Instant>,
}

impl Control {
    /// Sends the observations of the local backend server to the watchers.
    pub(super) fn send_evidence(&mut self, now: Instant) {
        if !self.shared.clearing.is_used() {
            return;
        }
        let backend = self.backend.borrow().clone();
        let own = backend.as_ref().map(|backend| backend.readiness);
        let warm = self.shared.registration().is_warm(now);
        let activity = Activity {
            ready: own == Some(Readiness::Ready) && warm,
            running: self.shared.running(),
        };
        let Some(evidence) = self.shared.clearing.evidence(activity) else {
            return;
        };
        let rollout = self.watch.rollouts.get(&evidence.service);
        let Some(stage) = rollout.map(|rollout| rollout.stage) else {
            return;
        };
        self.watch.evidence_rounds = self.watch.evidence_rounds.wrapping_add(1);
        let skips = evidence.side != Side::New && stage <= RolloutStage::Trial;
        if stage.is_over()
            || (skips
                && !self
                    .watch
                    .evidence_rounds
                    .is_multiple_of(OLD_EVIDENCE_ROUNDS))
        {
            return;
        }
        for id in self.watchers(&evidence.service) {
            match id == self.shared.id {
                true => self.on_evidence(now, id, evidence.clone()),
                false => {
                    let message = RolloutMessage::Evidence(evidence.clone());
                    self.net.send(id, &Datagram::Rollouts(message));
                }
            }
        }
    }

    pub(super) fn on_evidence(&mut self, now: Instant, from: NodeId, evidence: Evidence) {
        let Some(rollout) = self.watch.rollouts.get(&evidence.service) else {
            return;
        };
        if rollout.order != evidence.order || rollout.stage.is_over() {
            return;
        }
        let trial = || Trial::new(now, &rollout, self.shared.settings.rollouts.trial());
        let service = evidence.service.clone();
        let watched = self.watch.watched.entry(service);
        let watched = watched.or_insert_with(|| WatchedRollout::new(trial()));
        if watched.trial.order() != rollout.order {
            *watched = WatchedRollout::new(trial());
        }
        watched.trial.observe(now, from, evidence);
    }

    /// Returns the nodes that watch the roll-out of a service.
    fn watchers(&self, service: &ServiceName) -> Vec<NodeId> {
        let membership = &self.membership;
        let live = membership
            .members()
            .filter(|member| member.liveness.is_live());
        let reachable = live.filter(|member| membership.routable(member.id));
        let ids: Vec<NodeId> = reachable.map(|member| member.id).collect();
        let mut ranked = rank(&ids, service.as_str());
        ranked.truncate(WATCHER_COUNT);
        ranked
    }

    pub(super) fn run_trials(&mut self, now: Instant) {
        let running = self.watch.rollouts.running();
        let services: Vec<ServiceName> = running.map(|rollout| rollout.service.clone()).collect();
        self.watch
            .watched
            .retain(|service, _| services.contains(service));
        for service in services {
            let ranked = self.watchers(&service);
            let watcher_rank = ranked.iter().position(|id| *id == self.shared.id);
            if let Some(watcher_rank) = watcher_rank {
                self.run_trial(now, &service, watcher_rank);
            }
        }
    }

    /// Runs one round of a trial in which this node is the watcher with rank `watcher_rank`.
    fn run_trial(&mut self, now: Instant, service: &ServiceName, watcher_rank: usize) {
        let Some(rollout) = self.watch.rollouts.get(service) else {
            return;
        };
        let Some(watched) = self.watch.watched.get_mut(service) else {
            return;
        };
        let (order, stage) = (rollout.order, rollout.stage);
        let backends = backend_count(&self.membership, service);
        let steps = match watched.recorded {
            true => watched.trial.evaluate(now, &rollout, backends),
            false => Vec::new(),
        };
        if !watched.recorded {
            self.write_state(now, service, RolloutState::Running, watcher_rank);
        }
        if stage == RolloutStage::Stopped {
            self.write_state(now, service, RolloutState::RolledBack, watcher_rank);
        }
        for step in steps {
            match step {
                TrialAction::Grant(id, grant) if id == self.shared.id => {
                    self.shared.clearing.grant(now, &grant);
                }
                TrialAction::Grant(id, grant) => {
                    let message = RolloutMessage::Grant(grant);
                    self.net.send(id, &Datagram::Rollouts(message));
                }
                TrialAction::Advance(step) if step.stage == RolloutStage::Completed => {
                    if self.write_state(now, service, RolloutState::Completed, watcher_rank) {
                        self.log_stage(service, order, step.stage, Some(step.cause));
                    }
                }
                TrialAction::Advance(step) => {
                    self.advance(service, order, step.stage, Some(step.cause));
                }
            }
        }
    }

    /// Queues a state for writing once; watchers other than the first one wait for
    /// [`STANDBY_WRITE_DELAY`]. Returns `true` if the state was queued by this call.
    fn write_state(
        &mut self,
        now: Instant,
        service: &ServiceName,
        state: RolloutState,
        watcher_rank: usize,
    ) -> bool {
        let Some(rollout) = self.watch.rollouts.get(service) else {
            return false;
        };
        let record = RolloutRecord {
            service: service.clone(),
            order: rollout.order,
            target: rollout.target.clone(),
            state,
            due_ms: unix_ms() + u64::try_from(rollout.remaining(now).as_millis()).unwrap_or(0),
        };
        let Some(watched) = self.watch.watched.get_mut(service) else {
            return false;
        };
        let Some(board) = self
            .board
            .as_ref()
            .filter(|_| watched.written != Some(state))
        else {
            return false;
        };
        let write_due = *watched.write_due.get_or_insert(now);
        let waits = watcher_rank > 0 && now.since(write_due) < STANDBY_WRITE_DELAY;
        let written = !waits && board.write(record);
        if written {
            watched.written = Some(state);
            watched.write_due = None;
        }
        written
    }
}

/// Returns the number of live nodes known to have a backend server of a service, including nodes
/// that are currently unreachable.
fn backend_count(membership: &Membership, service: &ServiceName) -> usize {
    let live = membership
        .members()
        .filter(|member| member.liveness.is_live());
    let backends = live.filter_map(|member| member.backend.as_ref());
    backends
        .filter(|backend| backend.service == *service)
        .count()
}

impl WatchedRollout {
    const fn new(trial: Trial) -> Self {
        Self {
            trial,
            written: None,
            recorded: false,
            write_due: None,
        }
    }
}

//! What a node does that watches the roll-out of a service, and what others tell it.

use std::time::Duration;

use swiftcart_core::{
    Datagram, Evidence, Instant, Membership, NodeId, Readiness, RolloutMessage, RolloutStage,
    ServiceName, Side, Trial, TrialAction, rank,
};

use super::control_loop::Control;
use crate::clearing::Activity;
use crate::edge::{RolloutRecord, RolloutState};
use crate::logging::unix_ms;

/// The nodes that watch the roll-out of one service: one that decides, and one that does when the
/// platform has not heard of the end from it.
const WATCHER_COUNT: usize = 2;

/// How long the second one waits for the first one to write an end.
const STANDBY_WRITE_DELAY: Duration = Duration::from_millis(700);

/// Of so many rounds one tells what an old backend server does, until the service moves: what is
/// compared are seconds of it, and each watcher hears from all of them.
const OLD_EVIDENCE_ROUNDS: u32 = 2;

/// A roll-out that this node watches.
#[derive(Debug)]
pub(super) struct WatchedRollout {
    pub(super) trial: Trial,
    /// The state that was handed to be written last.
    written: Option<RolloutState>,
    /// Whether the platform has answered for this order; a trial may have ended before.
    pub(super) recorded: bool,
    /// Since when an end waits to be written.
    end_due: Option<Instant>,
}

impl Control {
    /// Tells those who watch what the own backend server was seen to do.
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
        let rollout = self.rollout_watch.rollouts.get(&evidence.service);
        let Some(stage) = rollout.map(|rollout| rollout.stage) else {
            return;
        };
        self.rollout_watch.evidence_rounds = self.rollout_watch.evidence_rounds.wrapping_add(1);
        let skips = evidence.side != Side::New && stage <= RolloutStage::Trial;
        if stage.is_over()
            || (skips
                && !self
                    .rollout_watch
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
        let Some(rollout) = self.rollout_watch.rollouts.get(&evidence.service) else {
            return;
        };
        if rollout.order != evidence.order || rollout.stage.is_over() {
            return;
        }
        let trial = || Trial::new(now, &rollout, self.shared.settings.rollouts.trial());
        let service = evidence.service.clone();
        let watched = self.rollout_watch.watched.entry(service);
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
        let running = self.rollout_watch.rollouts.running();
        let services: Vec<ServiceName> = running.map(|rollout| rollout.service.clone()).collect();
        self.rollout_watch
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

    /// Runs one round of a trial that this node watches as the one at `watcher_rank`.
    fn run_trial(&mut self, now: Instant, service: &ServiceName, watcher_rank: usize) {
        let Some(rollout) = self.rollout_watch.rollouts.get(service) else {
            return;
        };
        let Some(watched) = self.rollout_watch.watched.get_mut(service) else {
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

    /// Has a state written once; who is not the first one waits for a while. Returns whether it
    /// was handed on now.
    fn write_state(
        &mut self,
        now: Instant,
        service: &ServiceName,
        state: RolloutState,
        watcher_rank: usize,
    ) -> bool {
        let Some(rollout) = self.rollout_watch.rollouts.get(service) else {
            return false;
        };
        let record = RolloutRecord {
            service: service.clone(),
            order: rollout.order,
            target: rollout.target.clone(),
            state,
            due_ms: unix_ms() + u64::try_from(rollout.remaining(now).as_millis()).unwrap_or(0),
        };
        let Some(watched) = self.rollout_watch.watched.get_mut(service) else {
            return false;
        };
        let Some(board) = self
            .board
            .as_ref()
            .filter(|_| watched.written != Some(state))
        else {
            return false;
        };
        let end_due = *watched.end_due.get_or_insert(now);
        let waits = watcher_rank > 0 && now.since(end_due) < STANDBY_WRITE_DELAY;
        let written = !waits && board.write(record);
        if written {
            watched.written = Some(state);
            watched.end_due = None;
        }
        written
    }
}

/// Returns how many nodes are known to have a backend server of a service, also where they cannot be
/// reached at the moment.
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
            end_due: None,
        }
    }
}

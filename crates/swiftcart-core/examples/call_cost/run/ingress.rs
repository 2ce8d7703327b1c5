//! The part of a run at the ingress nodes: choice, retries, answers.

use std::time::Duration;

use rand::Rng;
use swiftcart_core::*;

use super::{Answer, Call, Event, Load3, Try, World};
use crate::fleet::{Fault, PER_DOMAIN, index, one_way};
use crate::policy::Retries;

/// The time that a caller gives its call.
const PATIENCE: Duration = Duration::from_secs(1);

/// The time of one try where retries are unbounded.
const TRY_PATIENCE: Duration = Duration::from_millis(300);

/// The time after which a connection to a dead instance is given up.
const CONNECT: Duration = Duration::from_millis(200);

impl World<'_> {
    /// A caller's request reaches one of the live nodes.
    pub(super) fn arrive(&mut self) {
        let ingress = self.rng.random_range(0..2 * PER_DOMAIN);
        self.calls.push(Call {
            arrived: self.now,
            due: Deadline::new(self.now, PATIENCE),
            ingress,
            tries: RetryState::new(Attempt::FIRST),
            tried: Vec::new(),
            round: 0,
            sent: self.now,
            open: true,
        });
        let call = self.calls.len() - 1;
        self.report.offered += u64::from(self.counts(&self.calls[call]));
        self.ingresses[ingress].budget.first();
        if !self.send(call) {
            self.refuse(call, Reason::NoBackend);
        }
    }

    /// Sends a try of `call`; returns whether there was a backend server for it.
    fn send(&mut self, call: usize) -> bool {
        let Some(target) = self.choose(call) else {
            return false;
        };
        let now = self.now;
        let state = &mut self.calls[call];
        state.round += 1;
        state.sent = now;
        state.tried.push(target);
        let round = state.round;
        let (ingress, due) = (state.ingress, state.due);
        let one = Try { call, round };
        self.ingresses[ingress].balancer.started(target);
        let limit = match self.policy.retries {
            Retries::Unbounded => due.within(now, TRY_PATIENCE),
            Retries::Never | Retries::Budget => due,
        };
        self.at(limit.at(), Event::TimedOut(one));
        let guard = index(target);
        match Fault::of(guard) {
            Fault::Dead => {
                let answer = Answer::Failed(Reason::PeerUnreachable);
                self.at(now + CONNECT, Event::Answer(one, answer, None));
            }
            _ => self.at(now + one_way(ingress, guard), Event::AtGuard(one, guard)),
        }
        true
    }

    fn choose(&mut self, call: usize) -> Option<NodeId> {
        let Call { ingress, tried, .. } = &self.calls[call];
        let node = &mut self.ingresses[*ingress];
        let entry = node.view.service("a")?;
        if self.policy.balance.is_none() {
            node.turn += 1;
            let all = entry.candidates();
            return Some(all[node.turn % all.len()].id);
        }
        let pick = node.balancer.pick(self.now, entry, tried, &mut self.rng);
        pick.map(|p| p.id)
    }

    pub(super) fn answered(&mut self, one: Try, answer: Answer, load: Option<Load3>) {
        if !self.is_current(one) {
            return;
        }
        let result = match answer {
            Answer::Whole => CallResult::Success,
            Answer::Failed(_) => CallResult::Failure,
            Answer::Refused(_) => CallResult::Refused,
        };
        self.learn(one.call, result, load);
        match answer {
            Answer::Whole => self.complete(one.call),
            Answer::Failed(reason) | Answer::Refused(reason) => self.retry(one.call, reason),
        }
    }

    pub(super) fn timed_out(&mut self, one: Try) {
        if !self.is_current(one) {
            return;
        }
        self.learn(one.call, CallResult::Failure, None);
        self.retry(one.call, Reason::Timeout);
    }

    fn is_current(&self, one: Try) -> bool {
        let call = &self.calls[one.call];
        call.open && call.round == one.round
    }

    fn learn(&mut self, call: usize, result: CallResult, load: Option<Load3>) {
        let call = &self.calls[call];
        let mut sample = Sample::new(self.now.since(call.sent), result);
        sample.load = load.map(|(running, queued, limit)| Load {
            running,
            queued,
            limit,
        });
        if let Some(id) = call.tried.last() {
            let balancer = &mut self.ingresses[call.ingress].balancer;
            balancer.finished(*id, self.now, &sample);
        }
    }

    fn retry(&mut self, call: usize, reason: Reason) {
        let state = &mut self.calls[call];
        let failure = Failure {
            reason,
            retried: false,
        };
        let allowed = match self.policy.retries {
            Retries::Never => Err(reason),
            Retries::Budget => {
                let budget = &mut self.ingresses[state.ingress].budget;
                state
                    .tries
                    .retry(self.now, failure, true, state.due, budget)
            }
            Retries::Unbounded if state.round < u32::from(MAX_ATTEMPTS) => Ok(Attempt(1)),
            Retries::Unbounded => Err(reason),
        };
        let late = state.due.misses(self.now, Duration::ZERO);
        if allowed.is_ok() && !late && self.send(call) {
            self.report.retries += u64::from(self.counts(&self.calls[call]));
        } else {
            self.refuse(call, reason);
        }
    }

    fn complete(&mut self, call: usize) {
        let state = &mut self.calls[call];
        state.open = false;
        let latency = self.now.since(state.arrived);
        if self.counts(&self.calls[call]) {
            self.report.latencies.push(latency);
        }
    }

    fn refuse(&mut self, call: usize, reason: Reason) {
        let state = &mut self.calls[call];
        state.open = false;
        let took = self.now.since(state.arrived);
        if !self.counts(&self.calls[call]) {
            return;
        }
        if reason == Reason::Timeout {
            self.report.timeouts += 1;
            return;
        }
        *self.report.refused.entry(reason).or_default() += 1;
        self.report.slowest_refusal = self.report.slowest_refusal.max(took);
    }
}

//! Simulation of ingress nodes: balancing, retries and responses.

use std::time::Duration;

use rand::Rng;
use swiftcart_core::*;

use super::{AttemptId, Call, Event, LoadTuple, Reply, Simulation};
use crate::fleet::{Fault, NODES_PER_DOMAIN, index, one_way_delay};
use crate::policy::RetryMode;

/// Time until the deadline of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Timeout of one attempt with unbounded retries.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(300);

/// Timeout of a connection to a dead instance.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

impl Simulation<'_> {
    /// Handles a new call at a random live node.
    pub(super) fn on_arrival(&mut self) {
        let ingress = self.rng.random_range(0..2 * NODES_PER_DOMAIN);
        self.calls.push(Call {
            arrived: self.now,
            due: Deadline::new(self.now, CALL_TIMEOUT),
            ingress,
            retry_state: RetryState::new(Attempt::FIRST),
            tried: Vec::new(),
            number: 0,
            sent_at: self.now,
            is_open: true,
        });
        let call = self.calls.len() - 1;
        self.report.offered += u64::from(self.is_measured(&self.calls[call]));
        self.ingresses[ingress].budget.first();
        if !self.send(call) {
            self.refuse(call, Reason::NoBackend);
        }
    }

    /// Sends an attempt of `call`, and returns `true` if a backend server was available.
    fn send(&mut self, call: usize) -> bool {
        let Some(target) = self.choose(call) else {
            return false;
        };
        let now = self.now;
        let state = &mut self.calls[call];
        state.number += 1;
        state.sent_at = now;
        state.tried.push(target);
        let number = state.number;
        let (ingress, due) = (state.ingress, state.due);
        let attempt = AttemptId { call, number };
        self.ingresses[ingress].balancer.started(target);
        let limit = match self.policy.retries {
            RetryMode::Unbounded => due.within(now, ATTEMPT_TIMEOUT),
            RetryMode::Never | RetryMode::Budget => due,
        };
        self.schedule(limit.at(), Event::TimedOut(attempt));
        let guard = index(target);
        match Fault::of(guard) {
            Fault::Dead => {
                let reply = Reply::Failed(Reason::PeerUnreachable);
                self.schedule(now + CONNECT_TIMEOUT, Event::Response(attempt, reply, None));
            }
            _ => self.schedule(
                now + one_way_delay(ingress, guard),
                Event::AtGuard(attempt, guard),
            ),
        }
        true
    }

    fn choose(&mut self, call: usize) -> Option<NodeId> {
        let Call { ingress, tried, .. } = &self.calls[call];
        let node = &mut self.ingresses[*ingress];
        let entry = node.view.service("a")?;
        if self.policy.balance.is_none() {
            node.position += 1;
            let all = entry.candidates();
            return Some(all[node.position % all.len()].id);
        }
        let pick = node.balancer.pick(self.now, entry, tried, &mut self.rng);
        pick.map(|p| p.id)
    }

    pub(super) fn on_response(
        &mut self,
        attempt: AttemptId,
        reply: Reply,
        load: Option<LoadTuple>,
    ) {
        if !self.is_current(attempt) {
            return;
        }
        let call_result = match reply {
            Reply::Complete => CallResult::Success,
            Reply::Failed(_) => CallResult::Failure,
            Reply::Refused(_) => CallResult::Refused,
        };
        self.record_sample(attempt.call, call_result, load);
        match reply {
            Reply::Complete => self.complete(attempt.call),
            Reply::Failed(reason) | Reply::Refused(reason) => self.retry(attempt.call, reason),
        }
    }

    pub(super) fn on_timeout(&mut self, attempt: AttemptId) {
        if !self.is_current(attempt) {
            return;
        }
        self.record_sample(attempt.call, CallResult::Failure, None);
        self.retry(attempt.call, Reason::Timeout);
    }

    fn is_current(&self, attempt: AttemptId) -> bool {
        let call = &self.calls[attempt.call];
        call.is_open && call.number == attempt.number
    }

    fn record_sample(&mut self, call: usize, result: CallResult, load: Option<LoadTuple>) {
        let call = &self.calls[call];
        let mut sample = Sample::new(self.now.since(call.sent_at), result);
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
            RetryMode::Never => Err(reason),
            RetryMode::Budget => {
                let budget = &mut self.ingresses[state.ingress].budget;
                state
                    .retry_state
                    .retry(self.now, failure, true, state.due, budget)
            }
            RetryMode::Unbounded if state.number < u32::from(MAX_ATTEMPTS) => Ok(Attempt(1)),
            RetryMode::Unbounded => Err(reason),
        };
        let late = state.due.misses(self.now, Duration::ZERO);
        if allowed.is_ok() && !late && self.send(call) {
            self.report.retries += u64::from(self.is_measured(&self.calls[call]));
        } else {
            self.refuse(call, reason);
        }
    }

    fn complete(&mut self, call: usize) {
        let state = &mut self.calls[call];
        state.is_open = false;
        let latency = self.now.since(state.arrived);
        if self.is_measured(&self.calls[call]) {
            self.report.latencies.push(latency);
        }
    }

    fn refuse(&mut self, call: usize, reason: Reason) {
        let state = &mut self.calls[call];
        state.is_open = false;
        let took = self.now.since(state.arrived);
        if !self.is_measured(&self.calls[call]) {
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

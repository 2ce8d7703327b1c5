//! Simulation of guards and backend servers.

use std::time::Duration;

use swiftcart_core::*;

use super::{AttemptId, Event, Guard, Job, LoadTuple, Reply, Simulation};
use crate::fleet::one_way_delay;

/// Time until a refused connection is detected.
const CONNECTION_REFUSED_DELAY: Duration = Duration::from_millis(1);

impl Simulation<'_> {
    pub(super) fn on_guard_arrival(&mut self, attempt: AttemptId, guard: usize) {
        let deadline = self.calls[attempt.call].due.minus(HOP_ALLOWANCE);
        let state = &mut self.guards[guard];
        let Some(admission) = &mut state.admission else {
            return self.pass_to_backend(attempt, None, guard);
        };
        match admission.offer(self.now, deadline, &mut self.rng) {
            Admit::Run(ticket) => self.pass_to_backend(attempt, Some(ticket), guard),
            Admit::Queue(ticket) => {
                state.queued.insert(ticket, attempt);
                self.schedule_check(guard);
            }
            Admit::Refuse(refusal) => self.reply(attempt, guard, Reply::Refused(refusal.reason)),
        }
    }

    /// Refuses the requests that have exceeded their time in the queue.
    pub(super) fn expire(&mut self, guard: usize) {
        let state = &mut self.guards[guard];
        state.next_check = None;
        let Some(admission) = &mut state.admission else {
            return;
        };
        let refused = admission.expire(self.now, &mut self.rng);
        for expired in refused {
            if let Some(attempt) = self.guards[guard].queued.remove(&expired.ticket) {
                self.reply(attempt, guard, Reply::Refused(expired.refusal.reason));
            }
        }
        self.schedule_check(guard);
    }

    fn schedule_check(&mut self, guard: usize) {
        let state = &mut self.guards[guard];
        let next = state.admission.as_ref().and_then(Admission::next_expiry_at);
        match (next, state.next_check) {
            (Some(at), next_check) if next_check.is_none_or(|check| at < check) => {
                state.next_check = Some(at);
                self.schedule(at, Event::CheckExpiry(guard));
            }
            _ => {}
        }
    }

    fn pass_to_backend(&mut self, attempt: AttemptId, ticket: Option<Ticket>, guard: usize) {
        let now = self.now;
        let state = &mut self.guards[guard];
        let refused = !state.server.is_up(now);
        let job = Job {
            ticket,
            started_at: now,
            refused,
        };
        state.running.insert(attempt, job);
        if refused {
            self.schedule(
                now + CONNECTION_REFUSED_DELAY,
                Event::Served(attempt, guard),
            );
        } else if state.server.active < state.server.concurrency() {
            self.serve(attempt, guard);
        } else {
            state.server.queue.push_back(attempt);
        }
    }

    fn serve(&mut self, attempt: AttemptId, guard: usize) {
        let server = &mut self.guards[guard].server;
        server.active += 1;
        let time = server.service_time(&mut self.rng);
        self.schedule(self.now + time, Event::Served(attempt, guard));
    }

    /// Handles a call that completed, or a connection that the backend server refused.
    pub(super) fn on_served(&mut self, attempt: AttemptId, guard: usize) {
        let state = &mut self.guards[guard];
        let Some(job) = state.running.remove(&attempt) else {
            return;
        };
        let took = self.now.since(job.started_at);
        let reply = match job.refused {
            true => Reply::Failed(Reason::ConnectFailed),
            false => Reply::Complete,
        };
        if !job.refused {
            state.server.active -= 1;
            if let Some(next) = state.server.queue.pop_front() {
                self.serve(next, guard);
            }
        }
        let started = self.guards[guard].done(job, self.now, took, reply);
        self.reply(attempt, guard, reply);
        for ticket in started {
            if let Some(next) = self.guards[guard].queued.remove(&ticket) {
                self.pass_to_backend(next, Some(ticket), guard);
            }
        }
    }

    fn reply(&mut self, attempt: AttemptId, guard: usize, reply: Reply) {
        let ingress = self.calls[attempt.call].ingress;
        let load = self.guards[guard].load();
        let at = self.now + one_way_delay(guard, ingress);
        self.schedule(at, Event::Response(attempt, reply, load));
    }
}

impl Guard {
    fn done(&mut self, job: Job, now: Instant, took: Duration, reply: Reply) -> Vec<Ticket> {
        let call_result = match reply {
            Reply::Complete => CallResult::Success,
            Reply::Failed(_) | Reply::Refused(_) => CallResult::Failure,
        };
        match (&mut self.admission, job.ticket) {
            (Some(admission), Some(ticket)) => {
                admission.done(ticket, now, &Sample::new(took, call_result))
            }
            _ => Vec::new(),
        }
    }

    fn load(&self) -> Option<LoadTuple> {
        let load = self.admission.as_ref()?.load();
        Some((load.running, load.queued, load.limit))
    }
}

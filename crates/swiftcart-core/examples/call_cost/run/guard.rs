//! The part of a run at the guards and backend servers.

use std::time::Duration;

use swiftcart_core::*;

use super::{Answer, Event, Guard, Job, Load3, Try, World};
use crate::fleet::one_way;

/// The time after which a refused connection is known.
const REFUSED: Duration = Duration::from_millis(1);

impl World<'_> {
    pub(super) fn at_guard(&mut self, one: Try, guard: usize) {
        let due = self.calls[one.call].due.minus(HOP_ALLOWANCE);
        let state = &mut self.guards[guard];
        let Some(admission) = &mut state.admission else {
            return self.hand_over(one, None, guard);
        };
        match admission.offer(self.now, due, &mut self.rng) {
            Admit::Run(ticket) => self.hand_over(one, Some(ticket), guard),
            Admit::Queue(ticket) => {
                state.waiting.insert(ticket, one);
                self.set_alarm(guard);
            }
            Admit::Refuse(refusal) => self.reply(one, guard, Answer::Refused(refusal.reason)),
        }
    }

    /// Refuses what has waited too long.
    pub(super) fn wake(&mut self, guard: usize) {
        let state = &mut self.guards[guard];
        state.alarm = None;
        let Some(admission) = &mut state.admission else {
            return;
        };
        let refused = admission.expire(self.now, &mut self.rng);
        for one in refused {
            if let Some(waiting) = self.guards[guard].waiting.remove(&one.ticket) {
                self.reply(waiting, guard, Answer::Refused(one.refusal.reason));
            }
        }
        self.set_alarm(guard);
    }

    fn set_alarm(&mut self, guard: usize) {
        let state = &mut self.guards[guard];
        let next = state.admission.as_ref().and_then(Admission::wake_at);
        match (next, state.alarm) {
            (Some(at), alarm) if alarm.is_none_or(|alarm| at < alarm) => {
                state.alarm = Some(at);
                self.at(at, Event::Wake(guard));
            }
            _ => {}
        }
    }

    fn hand_over(&mut self, one: Try, ticket: Option<Ticket>, guard: usize) {
        let now = self.now;
        let state = &mut self.guards[guard];
        let refused = !state.server.is_up(now);
        let job = Job {
            ticket,
            begun: now,
            refused,
        };
        state.running.insert(one, job);
        if refused {
            self.at(now + REFUSED, Event::Served(one, guard));
        } else if state.server.active < state.server.parallel() {
            self.serve(one, guard);
        } else {
            state.server.inside.push_back(one);
        }
    }

    fn serve(&mut self, one: Try, guard: usize) {
        let server = &mut self.guards[guard].server;
        server.active += 1;
        let time = server.service_time(&mut self.rng);
        self.at(self.now + time, Event::Served(one, guard));
    }

    /// A backend server has finished a call, or did not take its connection.
    pub(super) fn served(&mut self, one: Try, guard: usize) {
        let state = &mut self.guards[guard];
        let Some(job) = state.running.remove(&one) else {
            return;
        };
        let took = self.now.since(job.begun);
        let answer = match job.refused {
            true => Answer::Failed(Reason::ConnectFailed),
            false => Answer::Whole,
        };
        if !job.refused {
            state.server.active -= 1;
            if let Some(next) = state.server.inside.pop_front() {
                self.serve(next, guard);
            }
        }
        let started = self.guards[guard].done(job, self.now, took, answer);
        self.reply(one, guard, answer);
        for ticket in started {
            if let Some(next) = self.guards[guard].waiting.remove(&ticket) {
                self.hand_over(next, Some(ticket), guard);
            }
        }
    }

    fn reply(&mut self, one: Try, guard: usize, answer: Answer) {
        let ingress = self.calls[one.call].ingress;
        let load = self.guards[guard].load();
        let at = self.now + one_way(guard, ingress);
        self.at(at, Event::Answer(one, answer, load));
    }
}

impl Guard {
    fn done(&mut self, job: Job, now: Instant, took: Duration, answer: Answer) -> Vec<Ticket> {
        let result = match answer {
            Answer::Whole => CallResult::Success,
            Answer::Failed(_) | Answer::Refused(_) => CallResult::Failure,
        };
        match (&mut self.admission, job.ticket) {
            (Some(admission), Some(ticket)) => {
                admission.done(ticket, now, &Sample::new(took, result))
            }
            _ => Vec::new(),
        }
    }

    fn load(&self) -> Option<Load3> {
        let load = self.admission.as_ref()?.load();
        Some((load.running, load.queued, load.limit))
    }
}

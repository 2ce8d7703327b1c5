//! Accounting of one attempt of a call at the ingress.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use slog::info;
use swiftcart_core::{Balancer, CallResult, Deadline, Instant, NodeId, Outcome, Reason, Sample};

use super::answer::AnswerEnd;
use super::guard::Report;
use super::request::{Call, RequestId};
use crate::logging::{Event, ms};
use crate::shared::Shared;

/// Attempt that runs at one node. Its result is reported to the balancer, also on drop.
#[derive(Debug)]
pub struct InFlight {
    shared: Arc<Shared>,
    balancer: Arc<Mutex<Balancer>>,
    id: NodeId,
    /// Request of the attempt, with its deadline.
    request: RequestId,
    due: Deadline,
    start: Instant,
    report: Option<Report>,
    /// Delay until the guard accepts the next request.
    retry_after: Option<Duration>,
    open: bool,
}

impl InFlight {
    /// Registers an attempt of `call` that starts now at node `id`.
    #[must_use]
    pub fn new(
        shared: &Arc<Shared>,
        balancer: &Arc<Mutex<Balancer>>,
        id: NodeId,
        call: &Call,
    ) -> Self {
        balancer
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .started(id);
        Self {
            shared: Arc::clone(shared),
            balancer: Arc::clone(balancer),
            id,
            request: call.id.clone(),
            due: call.due,
            start: shared.clock.now(),
            report: None,
            retry_after: None,
            open: true,
        }
    }

    /// Returns the start time of the attempt.
    #[must_use]
    pub const fn start(&self) -> Instant {
        self.start
    }

    /// Sets the load and the pace that the guard reported.
    pub const fn set_load(&mut self, report: Option<Report>) {
        self.report = report;
    }

    /// Sets the delay until the guard accepts the next request, if a rate limit applies.
    pub const fn set_retry_after(&mut self, retry_after: Option<Duration>) {
        self.retry_after = retry_after;
    }

    /// Records the end of the response that the caller received.
    pub fn close(mut self, end: AnswerEnd) {
        self.shared.counters.call(end.outcome());
        if end != AnswerEnd::Whole {
            self.log_cut(end);
        }
        self.record(end.result());
    }

    /// Records an attempt without a response for the caller.
    pub fn fail(mut self, result: CallResult) {
        self.record(result);
    }

    /// Counts and logs a response that ended before it was passed on as a whole.
    fn log_cut(&self, end: AnswerEnd) {
        let counters = &self.shared.counters;
        counters.count("swiftcart_answers_cut_total", "end", end.as_str());
        let now = self.shared.clock.now();
        if let Some(log) = self.shared.call_log.failed(now) {
            info!(log, ""; "event" => Event::Cut, "id" => %self.request, "guard" => %self.id,
                "end" => end.as_str(), "ms" => ms(now.since(self.start)),
                "left_ms" => ms(self.due.left(now)), "late_ms" => ms(now.since(self.due.at())));
        }
    }

    fn record(&mut self, result: CallResult) {
        self.open = false;
        let now = self.shared.clock.now();
        let mut sample =
            Sample::new(now.since(self.start), result).with_retry_after(self.retry_after);
        sample.load = self.report.map(|report| report.load);
        sample.pace = self.report.and_then(|report| report.pace);
        sample.slowdown = self.report.and_then(|report| report.slowdown);
        let mut balancer = self.balancer.lock().unwrap_or_else(PoisonError::into_inner);
        let ejected = balancer.finished(self.id, now, &sample);
        drop(balancer);
        if ejected {
            let counters = &self.shared.counters;
            counters.count("swiftcart_ejections_total", "reason", "failures");
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        if self.open {
            // The caller disconnected before there was a response.
            let counters = &self.shared.counters;
            counters.call(Outcome::Unknown);
            counters.refuse(Reason::CallerGone.as_str());
            self.record(CallResult::Cancelled);
        }
    }
}

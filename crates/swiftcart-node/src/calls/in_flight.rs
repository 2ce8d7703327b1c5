//! One try of a call, as the ingress accounts for it.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use swiftcart_core::{Balancer, CallResult, Instant, NodeId, Outcome, Reason, Sample};

use super::answer::AnswerEnd;
use super::guard::Report;
use crate::shared::Shared;

/// A try that runs at one node; the balancer learns how it ended, also when it is dropped.
#[derive(Debug)]
pub struct InFlight {
    shared: Arc<Shared>,
    balancer: Arc<Mutex<Balancer>>,
    id: NodeId,
    start: Instant,
    report: Option<Report>,
    /// When the guard takes the next request.
    again: Option<Duration>,
    open: bool,
}

impl InFlight {
    /// Counts a try that starts at `id` now.
    #[must_use]
    pub fn new(shared: &Arc<Shared>, balancer: &Arc<Mutex<Balancer>>, id: NodeId) -> Self {
        balancer
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .started(id);
        Self {
            shared: Arc::clone(shared),
            balancer: Arc::clone(balancer),
            id,
            start: shared.clock.now(),
            report: None,
            again: None,
            open: true,
        }
    }

    /// Returns when the try started.
    #[must_use]
    pub const fn start(&self) -> Instant {
        self.start
    }

    /// Adds what the guard told.
    pub const fn set_load(&mut self, report: Option<Report>) {
        self.report = report;
    }

    /// Adds when the guard takes the next request, where a rate bounds what it takes.
    pub const fn set_again(&mut self, again: Option<Duration>) {
        self.again = again;
    }

    /// Accounts for the end of the answer that the caller got.
    pub fn close(mut self, end: AnswerEnd) {
        self.shared.counters.call(end.outcome());
        self.learn(end.result());
    }

    /// Accounts for a try without an answer.
    pub fn fail(mut self, result: CallResult) {
        self.learn(result);
    }

    fn learn(&mut self, result: CallResult) {
        self.open = false;
        let now = self.shared.clock.now();
        let mut sample = Sample::new(now.since(self.start), result).with_retry_after(self.again);
        sample.load = self.report.map(|report| report.load);
        sample.pace = self.report.and_then(|report| report.pace);
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
            // The caller went away before there was an answer.
            let counters = &self.shared.counters;
            counters.call(Outcome::Unknown);
            counters.refuse(Reason::CallerGone.as_str());
            self.learn(CallResult::Cancelled);
        }
    }
}

//! One attempt of a request at one guard.

use std::time::Duration;

use http::{HeaderValue, Response};
use swiftcart_core::{CallResult, HOP_ALLOWANCE, Pick, Reason, Refusal, ServiceEntry};

use super::failed::{FailedAttempt, call_result, is_retryable_failure};
use super::forward::take_load_report;
use super::original::OriginalRequest;
use super::{CallState, Ingress, lock};
use crate::calls::answer::Answer;
use crate::calls::headers::RETRIED;
use crate::calls::in_flight::InFlight;
use crate::calls::request::Call;

/// Time before the deadline at the ingress from which a guard may end a response.
const GUARD_LEAD: Duration = HOP_ALLOWANCE.saturating_mul(2);

impl Ingress {
    /// Sends the request to the guard of `pick` and reports the result to the balancer.
    ///
    /// # Errors
    ///
    /// Returns the failed attempt, with the response of the backend server if it is an error that
    /// may be retried.
    pub(super) async fn attempt(
        &self,
        call: &Call,
        pick: &Pick,
        entry: &ServiceEntry,
        original: &OriginalRequest,
        state: &CallState,
    ) -> Result<Response<Answer>, FailedAttempt> {
        let call = &call.for_attempt(
            state.policy_retries.is_retry(),
            state.slot_search.queue_wait(),
        );
        let retry_state = state.retry_state;
        if let Some(cause) = pick.cause {
            let counters = &self.shared.counters;
            counters.count("swiftcart_spills_total", "cause", cause.as_str());
        }
        let mut in_flight = InFlight::new(&self.shared, &self.balancer, pick.id, call);
        let service = entry.name().as_str();
        let result = match pick.id == self.shared.id {
            true => {
                // The guard drops its notice when an announcement expires; restore the notice.
                let notice = lock(&self.notices).of(pick.id);
                notice
                    .into_iter()
                    .for_each(|notice| self.guard.relay(notice));
                let result = self.run_here(call, service, original).await;
                if let Some(notice) = self.guard.told() {
                    lock(&self.notices).note(pick.id, notice);
                }
                let result = self
                    .buffer_start(call, result.map_err(FailedAttempt::from))
                    .await;
                in_flight.set_load(self.guard.report());
                result
            }
            false => {
                let result = self
                    .forward(call, pick, service, original, retry_state)
                    .await;
                self.buffer_start(call, result).await
            }
        };
        match result {
            Ok(mut response) => {
                if let Some(report) = take_load_report(&mut response) {
                    in_flight.set_load(Some(report));
                }
                if is_retryable_failure(call, &response) {
                    in_flight.fail(CallResult::ErrorResponse);
                    return Err(FailedAttempt::with_answer(response));
                }
                if retry_state.retried() {
                    let headers = response.headers_mut();
                    headers.insert(RETRIED, HeaderValue::from_static("1"));
                }
                Ok(response.map(|answer| answer.with_in_flight(in_flight)))
            }
            Err(failed) => {
                if failed.load.is_some() {
                    in_flight.set_load(failed.load);
                }
                if failed.refusal.reason == Reason::PeerUnreachable {
                    self.shared.unreached.note(pick.id, in_flight.start());
                }
                in_flight.set_retry_after(failed.throttle_wait());
                in_flight.fail(call_result(failed.refusal.reason));
                Err(failed)
            }
        }
    }

    /// Runs the request on the local backend server. An upload's body is read before the upload
    /// takes a slot.
    async fn run_here(
        &self,
        call: &Call,
        service: &str,
        original: &OriginalRequest,
    ) -> Result<Response<Answer>, Refusal> {
        if call.is_upload() {
            let bytes = self.shared.settings.limits.replay_bytes as usize;
            let start = self.shared.clock.now();
            let filled = original.fill(bytes).await;
            self.log_body(call, original, start);
            filled.map_err(|err| err.reason())?;
        }
        self.guard.run(call, service, original.request(None)).await
    }

    /// Buffers the start of a response before its head is passed on.
    ///
    /// If a short response breaks off, nothing of it has reached the caller yet.
    async fn buffer_start(
        &self,
        call: &Call,
        result: Result<Response<Answer>, FailedAttempt>,
    ) -> Result<Response<Answer>, FailedAttempt> {
        let bytes = self.shared.settings.limits.held_bytes as usize;
        let mut response = result?;
        let held = match bytes {
            0 => Ok(()),
            bytes => response.body_mut().hold(bytes).await,
        };
        // A guard ends its response a little before the deadline, and its connection with it.
        let is_late = call.due.misses(self.shared.clock.now(), GUARD_LEAD);
        match held {
            Err(Reason::AnswerBroken) if is_late => Err(Reason::Timeout.into()),
            Err(reason) => Err(reason.into()),
            Ok(()) => Ok(response),
        }
    }
}

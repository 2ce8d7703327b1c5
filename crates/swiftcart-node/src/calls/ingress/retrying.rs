//! Retry decisions: eligibility, budget and target.

use swiftcart_core::{
    Failure, NodeId, Outcome, Pick, Reason, RetryCause, RetryPolicy, RetryTarget, ServiceEntry,
};

use super::original::OriginalRequest;
use super::{CallState, FailedAttempt, Ingress, lock};
use crate::calls::request::Call;

impl Ingress {
    /// Returns the target of a retry, if one is allowed, and counts the decision.
    ///
    /// # Errors
    ///
    /// Returns the reason why the request is not retried.
    pub(super) fn decide_retry(
        &self,
        call: &Call,
        entry: &ServiceEntry,
        original: &OriginalRequest,
        state: &mut CallState,
        pick: &Pick,
        failed: &FailedAttempt,
    ) -> Result<RetryTarget, &'static str> {
        let counters = &self.shared.counters;
        let result = match (original.is_whole(), call.terms) {
            (false, _) => Err("body-sent"),
            _ if self.is_crash_risk(call, original, failed.refusal.reason) => {
                Err(Reason::Quarantined.as_str())
            }
            (true, Some(terms)) => self
                .retry_by_policy(call, terms.attempts, entry, state, pick, failed)
                .map_err(Reason::as_str),
            (true, None) => self
                .retry(call, state, failed)
                .map(|()| RetryTarget::Other)
                .map_err(Reason::as_str),
        };
        match result {
            Ok(_) => counters.retry(failed.refusal.reason.as_str()),
            Err(why) => counters.count("swiftcart_retry_refusals_total", "reason", why),
        }
        result
    }

    fn retry(
        &self,
        call: &Call,
        state: &mut CallState,
        failed: &FailedAttempt,
    ) -> Result<(), Reason> {
        let failure = Failure {
            reason: failed.refusal.reason,
            retried: failed.retried && !state.retry_state.retried(),
        };
        let now = self.shared.clock.now();
        let budget = &mut lock(&self.budget);
        // An idempotency key makes a retry safe only after its claim is decided. The guards'
        // responses report that, so the key is not considered here.
        let retry_state = &mut state.retry_state;
        retry_state
            .retry(now, failure, call.idempotent, call.due, budget)
            .map(drop)
    }

    fn retry_by_policy(
        &self,
        call: &Call,
        attempts: u8,
        entry: &ServiceEntry,
        state: &mut CallState,
        pick: &Pick,
        failed: &FailedAttempt,
    ) -> Result<RetryTarget, Reason> {
        let now = self.shared.clock.now();
        let terms = RetryPolicy {
            idempotent: call.idempotent,
            attempts,
        };
        let reason = failed.refusal.reason;
        // Under overload, server errors follow from refusals, and retries would cause more of them.
        if reason == Reason::ServerError && !self.has_free_slot(call, entry, state, pick) {
            return Err(reason);
        }
        let cause = match reason.outcome() {
            Outcome::NotRun if call.idempotent => RetryCause::Refused,
            Outcome::NotRun => RetryCause::RefusedNonIdempotent,
            Outcome::Unknown | Outcome::Done => RetryCause::Failed,
        };
        let nodes = self.shared.members.load().len();
        let budget = || match &self.mesh_budget {
            Some(mesh_budget) if call.overload_decided => {
                let class = call.class(self.balancer().mean_pace());
                lock(mesh_budget).take_for(now, entry.name(), nodes, cause, class)
            }
            Some(mesh_budget) => lock(mesh_budget).take(now, entry.name(), nodes, cause),
            None => lock(&self.budget).take(now),
        };
        let retry_state = &mut state.policy_retries;
        retry_state.retry(now, pick.id, reason, terms, call.due, budget)
    }

    /// Returns `true` if a backend server that was not tried is expected to have a free slot.
    fn has_free_slot(
        &self,
        call: &Call,
        entry: &ServiceEntry,
        state: &CallState,
        pick: &Pick,
    ) -> bool {
        let tried = state.slot_search.excluded().iter().copied();
        let tried: Vec<NodeId> = tried.chain([pick.id]).collect();
        self.pick(call, entry, state, &tried)
            .is_some_and(|pick| pick.free)
    }
}

//! Whether a request is tried again, and where.

use swiftcart_core::{
    Failure, NodeId, Outcome, Pick, Reason, RetryCause, RetryPolicy, RetryTarget, ServiceEntry,
};

use super::original::Original;
use super::{CallState, Failed, Ingress, lock};
use crate::calls::request::Call;

impl Ingress {
    /// Tells whether another try is allowed and where it may go, and counts it.
    pub(super) fn may_retry(
        &self,
        call: &Call,
        entry: &ServiceEntry,
        original: &Original,
        state: &mut CallState,
        pick: &Pick,
        failed: &Failed,
    ) -> Result<RetryTarget, &'static str> {
        let counters = &self.shared.counters;
        let result = match (original.is_whole(), call.terms) {
            (false, _) => Err("body-sent"),
            _ if self.is_dangerous(call, original, failed.refusal.reason) => {
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

    fn retry(&self, call: &Call, state: &mut CallState, failed: &Failed) -> Result<(), Reason> {
        let failure = Failure {
            reason: failed.refusal.reason,
            retried: failed.retried && !state.tries.retried(),
        };
        let now = self.shared.clock.now();
        let budget = &mut lock(&self.budget);
        // A key makes a repeat harmless only once its claim decides; the guards' answers say so.
        let tries = &mut state.tries;
        tries
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
        failed: &Failed,
    ) -> Result<RetryTarget, Reason> {
        let now = self.shared.clock.now();
        let terms = RetryPolicy {
            idempotent: call.idempotent,
            attempts,
        };
        let reason = failed.refusal.reason;
        // Under overload failures follow from refusals, and repeats would make more of them.
        if reason == Reason::ServerError && !self.has_place(call, entry, state, pick) {
            return Err(reason);
        }
        let cause = match reason.outcome() {
            Outcome::NotRun if call.idempotent => RetryCause::Refused,
            Outcome::NotRun => RetryCause::RefusedNonIdempotent,
            Outcome::Unknown | Outcome::Done => RetryCause::Failed,
        };
        let nodes = self.shared.members.load().len();
        let budget = || match &self.mesh_budget {
            Some(mesh_budget) => lock(mesh_budget).take(now, entry.name(), nodes, cause),
            None => lock(&self.budget).take(now),
        };
        let tries = &mut state.under_policy;
        tries.retry(now, pick.id, reason, terms, call.due, budget)
    }

    /// Tells whether another backend server than those tried is believed to have a place.
    fn has_place(&self, call: &Call, entry: &ServiceEntry, state: &CallState, pick: &Pick) -> bool {
        let tried = state.slot_search.excluded().iter().copied();
        let tried: Vec<NodeId> = tried.chain([pick.id]).collect();
        self.pick(call, entry, &tried).is_some_and(|pick| pick.free)
    }
}

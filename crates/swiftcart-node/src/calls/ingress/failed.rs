//! Failed attempts and their classification for retries and balancing.

use std::time::Duration;

use http::{Response, StatusCode};
use swiftcart_core::{CallResult, Outcome, Reason, Refusal};

use crate::calls::answer::Answer;
use crate::calls::conn::ExchangeId;
use crate::calls::exchange::Unanswered;
use crate::calls::guard::Report;
use crate::calls::request::Call;

/// Attempt that failed: a refusal, or a server error that may be retried.
#[derive(Debug)]
pub(super) struct FailedAttempt {
    pub(super) refusal: Refusal,
    pub(super) retried: bool,
    pub(super) load: Option<Report>,
    /// Last exchange with the guard, if there was one.
    pub(super) exchange: Option<ExchangeId>,
    /// Error response of the backend server, passed on if no other attempt succeeds.
    pub(super) answer: Option<Box<Response<Answer>>>,
}

impl FailedAttempt {
    pub(super) fn with_answer(response: Response<Answer>) -> Self {
        Self {
            answer: Some(Box::new(response)),
            ..Reason::ServerError.into()
        }
    }

    /// Sets the last exchange with the guard.
    #[must_use]
    pub(super) const fn with_exchange(mut self, exchange: ExchangeId) -> Self {
        self.exchange = Some(exchange);
        self
    }

    /// Combines two failed attempts into the failure that the caller sees.
    ///
    /// If the earlier attempt may have run, a later refusal does not turn the outcome into
    /// "not run". A response of the backend server takes precedence over a refusal made by a node.
    /// Otherwise the later failure is returned. If it states no retry delay, it gets that of the
    /// earlier one.
    pub(super) fn merge(before: Option<Self>, mut now: Self) -> Self {
        match before {
            Some(before) if now.answer.is_none() && before.is_outcome_unknown() => before,
            Some(before) => {
                let after = now.refusal.retry_after.or(before.refusal.retry_after);
                now.refusal.retry_after = after;
                now
            }
            None => now,
        }
    }

    pub(super) fn into_result(self) -> Result<Response<Answer>, Self> {
        match self.answer {
            Some(answer) => Ok(*answer),
            None => Err(self),
        }
    }

    /// Returns the delay until the guard accepts this node's next request, if the guard's rate
    /// limit refused this one.
    pub(super) fn throttle_wait(&self) -> Option<Duration> {
        let throttled = self.refusal.reason == Reason::Throttled;
        self.refusal.retry_after.filter(|_| throttled)
    }

    pub(super) fn is_outcome_unknown(&self) -> bool {
        self.refusal.reason.outcome() == Outcome::Unknown
    }
}

impl From<Reason> for FailedAttempt {
    fn from(reason: Reason) -> Self {
        Refusal::from(reason).into()
    }
}

impl From<Refusal> for FailedAttempt {
    fn from(refusal: Refusal) -> Self {
        Self {
            refusal,
            retried: false,
            load: None,
            exchange: None,
            answer: None,
        }
    }
}

impl From<Unanswered> for FailedAttempt {
    fn from(unanswered: Unanswered) -> Self {
        Self {
            exchange: unanswered.exchange,
            ..unanswered.reason.into()
        }
    }
}

/// Returns `true` if a response is a server error and another backend server may run the request.
///
/// A `504 Gateway Timeout` is excluded: at the deadline no time is left for another attempt.
pub(super) fn is_retryable_failure(call: &Call, response: &Response<Answer>) -> bool {
    let status = response.status();
    let failed = status.is_server_error() && status != StatusCode::GATEWAY_TIMEOUT;
    failed && call.idempotent && call.terms.is_some()
}

/// Returns the result of a failed attempt that the balancer records for the node.
pub(super) fn call_result(reason: Reason) -> CallResult {
    match (reason, reason.outcome()) {
        (Reason::CallerGone, _) => CallResult::Cancelled,
        (Reason::PeerUnreachable | Reason::ConnectFailed, _) => CallResult::Unreachable,
        (Reason::LinkBusy, _) => CallResult::LinkBusy,
        (_, Outcome::NotRun) => CallResult::Refused,
        (_, Outcome::Unknown | Outcome::Done) => CallResult::Failure,
    }
}

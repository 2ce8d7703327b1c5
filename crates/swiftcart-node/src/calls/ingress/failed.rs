//! Tries that brought no answer of a backend server, and what they tell.

use std::time::Duration;

use http::{Response, StatusCode};
use swiftcart_core::{CallResult, Outcome, Reason, Refusal};

use crate::calls::answer::Answer;
use crate::calls::guard::Report;
use crate::calls::request::Call;

/// A try that brought no answer of a backend server.
#[derive(Debug)]
pub(super) struct Failed {
    pub(super) refusal: Refusal,
    pub(super) retried: bool,
    pub(super) load: Option<Report>,
    /// The backend server's own answer, which is passed on when no other try goes better.
    pub(super) answer: Option<Box<Response<Answer>>>,
}

impl Failed {
    pub(super) fn with_answer(response: Response<Answer>) -> Self {
        Self {
            answer: Some(Box::new(response)),
            ..Reason::ServerError.into()
        }
    }

    /// Returns what the caller is told after two failed tries: what may have run once is not
    /// told to be not run because of a later refusal, and a backend server's own answer goes
    /// before what a node would say. The last guard that named a time to come back is heeded.
    pub(super) fn worse(before: Option<Self>, mut now: Self) -> Self {
        match before {
            Some(before) if now.answer.is_none() && before.is_unknown() => before,
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

    /// Returns when the guard takes the next request of this node, where a rate bounds what it takes.
    pub(super) fn again(&self) -> Option<Duration> {
        let throttled = self.refusal.reason == Reason::Throttled;
        self.refusal.retry_after.filter(|_| throttled)
    }

    pub(super) fn is_unknown(&self) -> bool {
        self.refusal.reason.outcome() == Outcome::Unknown
    }
}

impl From<Reason> for Failed {
    fn from(reason: Reason) -> Self {
        Refusal::from(reason).into()
    }
}

impl From<Refusal> for Failed {
    fn from(refusal: Refusal) -> Self {
        Self {
            refusal,
            retried: false,
            load: None,
            answer: None,
        }
    }
}

/// Tells whether an answer says that the backend server has failed at a request that another
/// one may run. What it says at the deadline leaves no time for another one.
pub(super) fn has_failed(call: &Call, response: &Response<Answer>) -> bool {
    let status = response.status();
    let failed = status.is_server_error() && status != StatusCode::GATEWAY_TIMEOUT;
    failed && call.idempotent && call.terms.is_some()
}

/// Returns what a failed try tells of the node and backend server that it went to.
pub(super) fn blame(reason: Reason) -> CallResult {
    match (reason, reason.outcome()) {
        (Reason::CallerGone, _) => CallResult::Cancelled,
        (Reason::PeerUnreachable | Reason::ConnectFailed, _) => CallResult::Unreachable,
        (Reason::LinkBusy, _) => CallResult::LinkBusy,
        (_, Outcome::NotRun) => CallResult::Refused,
        (_, Outcome::Unknown | Outcome::Done) => CallResult::Failure,
    }
}

//! Responses to requests that were refused or failed, with the delay after which callers may retry.

use std::time::Duration;

use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderValue, Response, StatusCode};
use swiftcart_core::{Outcome, Reason, Refusal};

use super::answer::Answer;
use super::headers::{OUTCOME, REASON, RETRIED};
use crate::settings::Answers;

/// Default `retry-after` of a refusal. Within this time a dead node is usually removed from
/// routing, and a restarted node is usually back.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(250);

/// `retry-after` of a request that backend servers refused although they had free slots. It is
/// short because the next backend server may accept the request. Including the round trip, the
/// caller retries after about 15 ms, a tenth of the shortest latency target of callers' requests.
const SHED_RETRY_AFTER: Duration = Duration::from_millis(10);

/// Creates the response to a request that was refused or failed.
#[must_use]
pub fn refuse(refusal: Refusal, retried: bool, answers: Answers) -> Response<Answer> {
    let reason = refusal.reason;
    let outcome = reason.outcome();
    let text = format!("{outcome}: {reason}\n");
    let mut response = Response::new(Answer::text(text));
    *response.status_mut() = status(reason, answers);
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    headers.insert(OUTCOME, HeaderValue::from_static(outcome.as_str()));
    headers.insert(REASON, HeaderValue::from_static(reason.as_str()));
    if retried {
        headers.insert(RETRIED, HeaderValue::from_static("1"));
    }
    if let Some(after) = retry_after_value(refusal, answers) {
        headers.insert(RETRY_AFTER, after);
    }
    response
}

/// Returns the retry delay that the caller of a refused request is told, if any.
#[must_use]
pub const fn told_retry_after(refusal: Refusal, answers: Answers) -> Option<Duration> {
    match (answers, refusal.retry_after) {
        (_, Some(after)) => Some(after),
        (Answers::Promise, None) if is_retryable(refusal.reason) => {
            Some(default_retry_after(refusal.reason))
        }
        (_, None) => None,
    }
}

/// Returns the value of the `retry-after` header in seconds.
fn retry_after_value(refusal: Refusal, answers: Answers) -> Option<HeaderValue> {
    let after = told_retry_after(refusal, answers)?;
    let text = match answers {
        // Whole seconds are rounded up, because an early retry would be refused again.
        Answers::ByReason => after.as_millis().div_ceil(1000).max(1).to_string(),
        Answers::Promise => format!("{:.3}", after.as_secs_f64()),
    };
    HeaderValue::try_from(text).ok()
}

/// Returns the retry delay of a refusal that states none.
const fn default_retry_after(reason: Reason) -> Duration {
    match reason {
        Reason::Shed => SHED_RETRY_AFTER,
        _ => DEFAULT_RETRY_AFTER,
    }
}

fn status(reason: Reason, answers: Answers) -> StatusCode {
    let code = match (answers, reason.outcome()) {
        (Answers::Promise, Outcome::NotRun) if is_retryable(reason) => 503,
        (Answers::Promise, Outcome::Unknown) if reason == Reason::Timeout => 504,
        (Answers::Promise, Outcome::Unknown) => 502,
        _ => reason.status(),
    };
    StatusCode::from_u16(code).unwrap_or(StatusCode::BAD_GATEWAY)
}

/// Returns `true` if the same request may be accepted later.
const fn is_retryable(reason: Reason) -> bool {
    let outcome = reason.outcome();
    let caller_fault = matches!(
        reason,
        Reason::NoRoute
            | Reason::BadRequest
            | Reason::HeaderTooLarge
            | Reason::BodyTooLarge
            | Reason::KeyReused
            | Reason::Unauthenticated
            | Reason::OverQuota
    );
    matches!(outcome, Outcome::NotRun) && !caller_fault
}

//! Validation of the head of a backend server's response.

use http::{HeaderMap, HeaderName, Method, Response};
use swiftcart_core::Reason;

use super::answer::is_framed;
use super::request::Call;
use crate::settings::{Name, Settings};

/// Checks that a response belongs to `call`, is well framed and is not a refusal.
///
/// # Errors
///
/// Returns [`Reason::Shed`] when the backend server states that it did not run the request.
/// Returns [`Reason::AnswerBroken`] when the response cannot be passed on: it does not have the id
/// of the request, lacks the signature header of a successful response, or has no length although
/// one is required.
pub fn check_response<B>(
    settings: &Settings,
    call: &Call,
    method: &Method,
    answer: &Response<B>,
) -> Result<(), Reason> {
    let names = &settings.headers;
    let headers = answer.headers();
    let has = |name: &Name| headers.contains_key(&name.0);
    let id = names
        .own_ids
        .then(|| compare_ids(&names.request_id.0, headers, call));
    match (id, answer.status()) {
        (Some(IdMatch::Mismatch), _) => Err(Reason::AnswerBroken),
        _ if names.not_run.as_ref().is_some_and(has) => Err(Reason::Shed),
        (Some(IdMatch::Missing), _) => Err(Reason::AnswerBroken),
        (_, status) if status.is_success() && names.signature.as_ref().is_some_and(|n| !has(n)) => {
            Err(Reason::AnswerBroken)
        }
        (_, status) if settings.limits.unframed || is_framed(method, status, headers) => Ok(()),
        _ => Err(Reason::AnswerBroken),
    }
}

/// Result of the comparison of a response's id with the id of the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum IdMatch {
    Match,
    Missing,
    Mismatch,
}

fn compare_ids(name: &HeaderName, headers: &HeaderMap, call: &Call) -> IdMatch {
    let mut values = headers.get_all(name).iter();
    match (values.next(), values.next()) {
        (None, _) => IdMatch::Missing,
        (Some(id), None) if *id == call.id.0 => IdMatch::Match,
        _ => IdMatch::Mismatch,
    }
}

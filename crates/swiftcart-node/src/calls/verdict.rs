//! Validation of the head of a backend server's response that counts for a request.

use http::{Method, Response};
use swiftcart_core::Reason;

use super::answer::is_framed;
use crate::settings::{Name, Settings};

/// Checks that a response is well framed and is not a refusal.
///
/// # Errors
///
/// Returns [`Reason::Shed`] when the backend server states that it did not run the request.
/// Returns [`Reason::AnswerBroken`] when the response cannot be passed on: it is not final, has no
/// id, lacks the signature header of a successful response, or has no length although one is
/// required.
pub fn check_response<B>(
    settings: &Settings,
    method: &Method,
    answer: &Response<B>,
) -> Result<(), Reason> {
    let names = &settings.headers;
    let headers = answer.headers();
    let has = |name: &Name| headers.contains_key(&name.0);
    match answer.status() {
        _ if names.not_run.as_ref().is_some_and(has) => Err(Reason::Shed),
        // A node asks for no change of the protocol, and hyper passes on no other interim response.
        status if status.is_informational() => Err(Reason::AnswerBroken),
        _ if names.own_ids && !has(&names.request_id) => Err(Reason::AnswerBroken),
        status if status.is_success() && names.signature.as_ref().is_some_and(|n| !has(n)) => {
            Err(Reason::AnswerBroken)
        }
        status if settings.limits.unframed || is_framed(method, status, headers) => Ok(()),
        _ => Err(Reason::AnswerBroken),
    }
}

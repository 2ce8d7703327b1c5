//! What a guard concludes from the head of a backend server's answer.

use http::{HeaderMap, HeaderName, Method, Response};
use swiftcart_core::Reason;

use super::answer::is_framed;
use super::request::Call;
use crate::settings::{Name, Settings};

/// Checks that an answer belongs to `call`, is complete in form, and was not a refusal.
///
/// # Errors
///
/// [`Reason::Shed`] when the backend server says that it did not run the request, and
/// [`Reason::AnswerBroken`] when the answer cannot be passed on: it bears another
/// request's id, lacks the mark of a success, or has no length where one is needed.
pub fn judge<B>(
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
        .then(|| ids(&names.request_id.0, headers, call));
    match (id, answer.status()) {
        (Some(Id::Other), _) => Err(Reason::AnswerBroken),
        _ if names.not_run.as_ref().is_some_and(has) => Err(Reason::Shed),
        (Some(Id::Missing), _) => Err(Reason::AnswerBroken),
        (_, status) if status.is_success() && names.signature.as_ref().is_some_and(|n| !has(n)) => {
            Err(Reason::AnswerBroken)
        }
        (_, status) if settings.limits.unframed || is_framed(method, status, headers) => Ok(()),
        _ => Err(Reason::AnswerBroken),
    }
}

/// Tells whose id an answer bears.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Id {
    Own,
    Missing,
    Other,
}

fn ids(name: &HeaderName, headers: &HeaderMap, call: &Call) -> Id {
    let mut values = headers.get_all(name).iter();
    match (values.next(), values.next()) {
        (None, _) => Id::Missing,
        (Some(id), None) if *id == call.id.0 => Id::Own,
        _ => Id::Other,
    }
}

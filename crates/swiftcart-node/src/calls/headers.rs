//! HTTP headers exchanged between nodes, callers and backend servers.

use std::time::Duration;

use http::header::{
    AUTHORIZATION, CONNECTION, CONTENT_LENGTH, EXPECT, HOST, HeaderMap, HeaderName,
    PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use swiftcart_core::{ProcessNotice, Reason};

use crate::settings::Headers;

/// Number of this attempt across all levels that retry, starting at 1.
pub const ATTEMPT: HeaderName = HeaderName::from_static("swiftcart-attempt");
/// Idempotency key, under which a request runs at most once.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// Service that an ingress requests from a guard.
pub const SERVICE: HeaderName = HeaderName::from_static("swiftcart-service");
/// Deadline passed to a backend server, in Unix milliseconds.
pub const DEADLINE: HeaderName = HeaderName::from_static("swiftcart-deadline");
/// Terms of the route's policy for a request, sent between nodes.
pub const TERMS: HeaderName = HeaderName::from_static("swiftcart-terms");
/// Outcome of a request, in responses that a node generates.
pub const OUTCOME: HeaderName = HeaderName::from_static("swiftcart-outcome");
/// Reason for the outcome, in responses that a node generates.
pub const REASON: HeaderName = HeaderName::from_static("swiftcart-reason");
/// Load of the guard, in responses to other nodes.
pub const LOAD: HeaderName = HeaderName::from_static("swiftcart-load");

/// Process notice of the guard's backend server.
///
/// A guard sends the notice in responses to other nodes, and they return it in their requests.
pub const NOTICE: HeaderName = HeaderName::from_static("swiftcart-notice");

/// Marker of a response whose request was attempted more than once.
pub const RETRIED: HeaderName = HeaderName::from_static("swiftcart-retried");

/// Time for which an idle connection is kept open.
pub const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Hop-by-hop headers, which apply to a single connection.
const HOP_BY_HOP: [HeaderName; 9] = [
    CONNECTION,
    KEEP_ALIVE,
    HeaderName::from_static("proxy-connection"),
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    TE,
    TRAILER,
    UPGRADE,
    EXPECT,
];

/// Headers that only nodes may set. Values from callers and backend servers are dropped.
const INTERNAL: [HeaderName; 8] = [
    SERVICE, DEADLINE, TERMS, OUTCOME, REASON, LOAD, NOTICE, RETRIED,
];

/// Headers that are meant for all recipients, and stay although `Connection` names them.
const END_TO_END: [HeaderName; 4] = [HOST, AUTHORIZATION, CONTENT_LENGTH, TRANSFER_ENCODING];

/// Removes the hop-by-hop headers.
///
/// The framing stays unambiguous: `Content-Length` is removed along with `Transfer-Encoding`.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .filter(|name| !END_TO_END.contains(name))
        .collect();
    for name in named.iter().chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
    if headers.remove(TRANSFER_ENCODING).is_some() {
        headers.remove(CONTENT_LENGTH);
    }
}

/// Removes the headers that only nodes may set.
pub fn strip_internal(headers: &mut HeaderMap) {
    for name in &INTERNAL {
        headers.remove(name);
    }
}

/// Removes the headers that a caller may not pass to a backend server.
pub fn strip_caller(headers: &mut HeaderMap, names: &Headers) {
    strip_internal(headers);
    let set_by_nodes = [&names.target, &names.caller, &names.account];
    for name in set_by_nodes.into_iter().flatten() {
        headers.remove(&name.0);
    }
}

/// Returns the number in the header `name`, or `None` if the header is absent.
///
/// # Errors
///
/// Returns [`Reason::BadRequest`] if the header is repeated or is not a number.
pub fn parse_number(headers: &HeaderMap, name: &HeaderName) -> Result<Option<u64>, Reason> {
    let mut values = headers.get_all(name).iter();
    match (values.next(), values.next()) {
        (None, _) => Ok(None),
        (Some(_), Some(_)) => Err(Reason::BadRequest),
        (Some(value), None) => {
            let text = value.to_str().map_err(|_| Reason::BadRequest)?;
            text.parse().map(Some).map_err(|_| Reason::BadRequest)
        }
    }
}

/// Returns the refusal reason of a response that another node generated itself, or `None` for
/// other responses.
#[must_use]
pub fn refusal_reason(headers: &HeaderMap) -> Option<Reason> {
    headers.get(OUTCOME)?;
    let name = headers.get(REASON)?.to_str().ok()?;
    Reason::ALL.iter().copied().find(|r| r.as_str() == name)
}

/// Returns the delay in the `Retry-After` header of a response.
#[must_use]
pub fn retry_after(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get(http::header::RETRY_AFTER)?.to_str().ok()?;
    Duration::try_from_secs_f64(text.parse().ok()?).ok()
}

/// Returns the process notice in the headers, or `None` if it is absent or malformed.
#[must_use]
pub fn process_notice(headers: &HeaderMap) -> Option<ProcessNotice> {
    headers.get(NOTICE)?.to_str().ok()?.parse().ok()
}

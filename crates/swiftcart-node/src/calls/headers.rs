//! The headers that nodes, callers and backend servers use among themselves.

use std::time::Duration;

use http::header::{
    CONNECTION, CONTENT_LENGTH, EXPECT, HeaderMap, HeaderName, PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use swiftcart_core::{ProcessNotice, Reason};

use crate::settings::Headers;

/// The number of this try over all levels, from 1.
pub const ATTEMPT: HeaderName = HeaderName::from_static("swiftcart-attempt");
/// The key under which a request runs at most once.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// The service that an ingress asks a guard for.
pub const SERVICE: HeaderName = HeaderName::from_static("swiftcart-service");
/// The deadline that a backend server gets, in Unix milliseconds.
pub const DEADLINE: HeaderName = HeaderName::from_static("swiftcart-deadline");
/// How the route's policy treats a request, between nodes.
pub const TERMS: HeaderName = HeaderName::from_static("swiftcart-terms");
/// What became of a request, in answers that a node makes.
pub const OUTCOME: HeaderName = HeaderName::from_static("swiftcart-outcome");
/// Why, in answers that a node makes.
pub const REASON: HeaderName = HeaderName::from_static("swiftcart-reason");
/// The guard's load, in answers to other nodes.
pub const LOAD: HeaderName = HeaderName::from_static("swiftcart-load");

/// What the guard's backend server has said of itself: in answers to other nodes, and in their
/// requests, which bring it back.
pub const NOTICE: HeaderName = HeaderName::from_static("swiftcart-notice");

/// Marks an answer whose request was tried more than once.
pub const RETRIED: HeaderName = HeaderName::from_static("swiftcart-retried");

/// How long an unused connection is kept.
pub const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Headers that mean something to one connection only.
const HOP: [HeaderName; 9] = [
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

/// Headers that only nodes set; a caller's or backend server's are dropped.
const INTERNAL: [HeaderName; 8] = [
    SERVICE, DEADLINE, TERMS, OUTCOME, REASON, LOAD, NOTICE, RETRIED,
];

/// Removes the headers that belong to one connection; the framing stays unambiguous.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .filter(|name| *name != CONTENT_LENGTH && *name != TRANSFER_ENCODING)
        .collect();
    for name in named.iter().chain(&HOP) {
        headers.remove(name);
    }
    if headers.remove(TRANSFER_ENCODING).is_some() {
        headers.remove(CONTENT_LENGTH);
    }
}

/// Removes the headers that only nodes set.
pub fn strip_internal(headers: &mut HeaderMap) {
    for name in &INTERNAL {
        headers.remove(name);
    }
}

/// Removes what a caller may not say to a backend server.
pub fn strip_caller(headers: &mut HeaderMap, names: &Headers) {
    strip_internal(headers);
    let set_by_nodes = [&names.target, &names.caller, &names.account];
    for name in set_by_nodes.into_iter().flatten() {
        headers.remove(&name.0);
    }
}

/// Returns the number in the header `name`, or `None` when it is absent.
///
/// # Errors
///
/// [`Reason::BadRequest`] when the header is repeated or no number.
pub fn number(headers: &HeaderMap, name: &HeaderName) -> Result<Option<u64>, Reason> {
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

/// Returns what another node said that became of a request, when it made the answer itself.
#[must_use]
pub fn verdict(headers: &HeaderMap) -> Option<Reason> {
    headers.get(OUTCOME)?;
    let name = headers.get(REASON)?.to_str().ok()?;
    Reason::ALL.iter().copied().find(|r| r.as_str() == name)
}

/// Returns the time after which an answer asks to come back.
#[must_use]
pub fn retry_after(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get(http::header::RETRY_AFTER)?.to_str().ok()?;
    Duration::try_from_secs_f64(text.parse().ok()?).ok()
}

/// Returns what another node says that a backend server has said of itself; what cannot be read says nothing.
#[must_use]
pub fn told(headers: &HeaderMap) -> Option<ProcessNotice> {
    headers.get(NOTICE)?.to_str().ok()?.parse().ok()
}

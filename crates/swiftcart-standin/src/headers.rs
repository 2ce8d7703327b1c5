//! The headers that the stand-ins send and read.

use http::HeaderMap;

/// Attempt of a call, the same on all its levels.
pub(crate) const ATTEMPT: &str = "swiftcart-attempt";
/// Deadline in Unix milliseconds, from the node beside the backend server.
pub(crate) const DEADLINE: &str = "swiftcart-deadline";
/// Time left in milliseconds, from a caller.
pub(crate) const DEADLINE_LEFT: &str = "swiftcart-deadline-ms";
/// BLAKE3 digest of an answer's whole body, in hex.
pub(crate) const DIGEST: &str = "x-standin-digest";
/// Idempotency key of a request.
pub(crate) const KEY: &str = "idempotency-key";
/// Share of busy slots, 0 to 100.
pub(crate) const LOAD: &str = "swiftcart-load";
/// The rate that a backend server names, in its answers.
pub(crate) const RATE: &str = "swiftcart-rate";
/// Says `1` in the answers of a backend server that leaves.
pub(crate) const LEAVING: &str = "swiftcart-leaving";
/// What became of a request, in a node's own answer.
pub(crate) const OUTCOME: &str = "swiftcart-outcome";
/// Why, in a node's own answer.
pub(crate) const REASON: &str = "swiftcart-reason";
/// Why, in a backend server's own answer.
pub(crate) const STANDIN_REASON: &str = "x-standin-reason";
/// Id of a request, from the caller.
pub(crate) const CALLER_ID: &str = "x-request-id";
/// Id of a request, from the node beside the backend server.
pub(crate) const REQUEST_ID: &str = "swiftcart-request-id";

/// Returns a header's value when it is there and is text.
pub(crate) fn text(headers: &HeaderMap, name: &str) -> Option<String> {
    let value = headers.get(name)?.to_str().ok()?;
    Some(value.to_owned())
}

//! The names of the headers that callers and backend servers use.

use http::HeaderName;
use serde::Deserialize;

/// Names the headers of callers and backend servers; the defaults are swiftcart's own.
///
/// A mesh whose backend servers follow another convention names its headers here.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Headers {
    /// The time that is left, in milliseconds; default `swiftcart-deadline-ms`.
    pub deadline_ms: Name,
    /// The request's id; default `swiftcart-request-id`.
    pub request_id: Name,
    /// Whether callers choose the ids of requests and backend servers repeat them in
    /// their answers; default false: the first node draws one.
    pub own_ids: bool,
    /// Whether backend servers get the time that is left under `deadline_ms`; default
    /// false: they get `swiftcart-deadline` in Unix milliseconds.
    pub time_left: bool,
    /// Where a backend server finds the id of the instance that a request is meant for;
    /// default none.
    pub target: Option<Name>,
    /// Where a backend server finds the service that a request comes from; default none.
    pub caller: Option<Name>,
    /// Where a backend server finds the client account that a request comes from; default none.
    pub account: Option<Name>,
    /// The scheme of the `Authorization` header that carries the key of a client account;
    /// default `Bearer`.
    pub scheme: String,
    /// The header by which a backend server tells that it did not run a request;
    /// default none.
    pub not_run: Option<Name>,
    /// The header that every success of a backend server bears; default none.
    pub signature: Option<Name>,
    /// The headers in which a backend server names the requests a second that it takes from all
    /// nodes together, a decimal number; default `swiftcart-rate`.
    pub rate: Vec<Name>,
    /// The headers in which a backend server that leaves says `1`; default `swiftcart-leaving`.
    pub leaving: Vec<Name>,
}

/// A header's name.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(try_from = "String")]
pub struct Name(pub HeaderName);

impl TryFrom<String> for Name {
    type Error = http::header::InvalidHeaderName;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse().map(Self)
    }
}

impl Default for Headers {
    fn default() -> Self {
        Self {
            deadline_ms: Name(HeaderName::from_static("swiftcart-deadline-ms")),
            request_id: Name(HeaderName::from_static("swiftcart-request-id")),
            own_ids: false,
            time_left: false,
            target: None,
            caller: None,
            account: None,
            scheme: "Bearer".into(),
            not_run: None,
            signature: None,
            rate: vec![Name(HeaderName::from_static("swiftcart-rate"))],
            leaving: vec![Name(HeaderName::from_static("swiftcart-leaving"))],
        }
    }
}

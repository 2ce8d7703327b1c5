//! Names of the headers that callers and backend servers use.

use http::HeaderName;
use serde::Deserialize;

/// Header names of callers and backend servers. The defaults are the names of swiftcart.
///
/// These settings adapt a mesh to backend servers that follow another convention.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Headers {
    /// Header with the remaining time, in milliseconds; default `swiftcart-deadline-ms`.
    pub deadline_ms: Name,
    /// Header with the id of the request; default `swiftcart-request-id`.
    pub request_id: Name,
    /// Set if callers choose request ids and backend servers repeat them in their responses;
    /// default false: the first node generates the id.
    pub own_ids: bool,
    /// Set if backend servers get the remaining time in the header `deadline_ms`; default false:
    /// they get `swiftcart-deadline` in Unix milliseconds.
    pub time_left: bool,
    /// Header with the id of the instance for which a request is meant, for backend servers;
    /// default none.
    pub target: Option<Name>,
    /// Header with the service that sent a request, for backend servers; default none.
    pub caller: Option<Name>,
    /// Header with the client account that sent a request, for backend servers; default none.
    pub account: Option<Name>,
    /// Scheme of the `Authorization` header that carries the key of a client account; default
    /// `Bearer`.
    pub scheme: String,
    /// Header in which a backend server reports that it did not run a request; default none.
    pub not_run: Option<Name>,
    /// Header that every successful response of a backend server has; default none.
    pub signature: Option<Name>,
    /// Headers in which a backend server reports the requests per second that it accepts from all
    /// nodes together, as a decimal number; default `swiftcart-rate`.
    pub rate: Vec<Name>,
    /// Header in which a backend server states its load as decimal numbers separated by commas:
    /// running requests, queued requests, slots and, if it can, the current service time in percent
    /// of the usual one; default none.
    pub load: Option<Name>,
    /// Headers in which a leaving backend server sends `1`; default `swiftcart-leaving`.
    pub leaving: Vec<Name>,
}

/// Header name in the settings.
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
            load: None,
            leaving: vec![Name(HeaderName::from_static("swiftcart-leaving"))],
        }
    }
}

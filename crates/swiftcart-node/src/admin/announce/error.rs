//! Errors of announcements.

use std::net::SocketAddr;

use axum::Json;
use axum::extract::rejection::BytesRejection;
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use quick_error::quick_error;
use serde::Serialize;

quick_error! {
    /// Reason for which an announcement is refused.
    #[derive(Debug)]
    pub enum AnnounceError {
        /// The body could not be read or is too large.
        Body(err: BytesRejection) {
            from()
            source(err)
            display("{err}")
        }
        /// The body is not a valid announcement.
        Shape(err: serde_path_to_error::Error<serde_json::Error>) {
            from()
            source(err)
            display("{}: {}", err.path(), err.inner())
        }
        /// The body has data after the announcement.
        Trailing(err: serde_json::Error) {
            source(err)
            display("{err}: send one object")
        }
        /// The service name is empty, is too long or has a forbidden character.
        Service(name: String) {
            display("service: {name:?} is refused: use 1 to 63 of the characters a-z, 0-9 and -")
        }
        /// The service is not in the active configuration.
        UnknownService(name: String) {
            display("service: {name:?} is not in the configuration: publish it first")
        }
        /// The failure domain has no node.
        UnknownDomain(name: String) {
            display("domain: {name:?} has no node: use the failure domain of the instance")
        }
        /// The address is not the address of one reachable listener.
        Addr(addr: SocketAddr) {
            display("addr: {addr} is refused: use the IP address and port of the backend server")
        }
        /// The readiness is `on-trial`, which only nodes may set.
        Readiness {
            display("readiness: on-trial is refused: use warming, ready or draining")
        }
        /// The id cannot be sent as a header value.
        Id(id: String) {
            display("{id:?} is refused: use visible ASCII characters in a backend server's id")
        }
        /// A number is out of range.
        Range(key: &'static str, value: u64, min: u64, max: u64) {
            display("{key}: {value} is refused: use a whole number from {min} to {max}")
        }
        /// The start time is present under two field names.
        TwoStarts(name: String) {
            display("{name}: start_ms is present as well: send only one of the two")
        }
        /// The start time is not a whole number.
        Start(name: String, err: serde_json::Error) {
            source(err)
            display("{name}: {err}: send the start time in whole Unix milliseconds")
        }
        /// The start time lies in the future by the clock of the instance.
        FutureStart(start: u64, now: u64) {
            display("start_ms: {start} is later than the current time {now}: correct the clock of the backend server")
        }
        /// The node has just started and does not know yet which backend servers have left.
        Recalling {
            display("the node is starting: announce again in a moment")
        }
        /// The start time is missing, although other announcements of the backend server have it.
        MissingStart {
            display("start_ms: missing: send it in every announcement or in none")
        }
    }
}

#[derive(Debug, Serialize)]
struct ErrorBody {
    error: String,
}

impl AnnounceError {
    /// Returns the name of the reason in metrics.
    pub(super) const fn as_str(&self) -> &'static str {
        match self {
            Self::Body(_) => "body",
            Self::Shape(_) | Self::Trailing(_) => "shape",
            Self::Service(_) | Self::UnknownService(_) => "service",
            Self::UnknownDomain(_) => "domain",
            Self::Addr(_) => "addr",
            Self::Readiness => "readiness",
            Self::Id(_) => "id",
            Self::Recalling => "recalling",
            Self::Range(..) => "range",
            Self::TwoStarts(_) | Self::Start(..) | Self::FutureStart(..) | Self::MissingStart => {
                "start"
            }
        }
    }

    fn status(&self) -> StatusCode {
        match self {
            Self::Body(err) => err.status(),
            Self::Recalling => StatusCode::SERVICE_UNAVAILABLE,
            _ => StatusCode::BAD_REQUEST,
        }
    }
}

impl IntoResponse for AnnounceError {
    fn into_response(self) -> Response {
        let body = ErrorBody {
            error: self.to_string(),
        };
        (self.status(), Json(body)).into_response()
    }
}

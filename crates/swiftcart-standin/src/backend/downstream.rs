//! The calls that a backend server makes through its own node, level by level.

use axum::body::Body;
use http::header::CONTENT_LENGTH;
use http::{HeaderMap, Method, Request, Uri};
use http_body_util::BodyExt;
use quick_error::quick_error;
use tokio::time::Instant;

use super::execution::Execution;
use crate::client::{CallError, Client};
use crate::headers::{ATTEMPT, CALLER_ID, DEADLINE_LEFT, KEY, text};

quick_error! {
    /// Tells why a call on a deeper level failed.
    #[derive(Debug)]
    pub enum Error {
        /// The path makes no request.
        Request(err: http::Error) {
            display("{}", err)
            source(err)
            from()
        }
        /// No answer came.
        Call(err: CallError) {
            display("{}", err)
            source(err)
            from()
        }
        /// The answer's body broke off.
        Body(err: hyper::Error) {
            display("{}", err)
            source(err)
            from()
        }
        /// The answer was no success.
        Status(status: http::StatusCode) {
            display("status {}", status)
        }
    }
}

/// Calls every path in turn and reads the answers to their ends.
///
/// The attempt, the time left and a key of the path's own go with each call.
pub(super) async fn call_all(
    client: &Client,
    node: std::net::SocketAddr,
    paths: &[String],
    execution: &Execution,
    method: &Method,
    headers: &HeaderMap,
) -> Result<(), Error> {
    for path in paths {
        let uri = Uri::builder()
            .scheme("http")
            .authority(node.to_string())
            .path_and_query(path.as_str())
            .build()?;
        let mut request = Request::builder().method(method).uri(uri);
        if let Some(attempt) = text(headers, ATTEMPT) {
            request = request.header(ATTEMPT, attempt);
        }
        if let Some(deadline) = execution.deadline {
            let remaining = deadline.saturating_duration_since(Instant::now());
            request = request.header(DEADLINE_LEFT, remaining.as_millis().to_string());
        }
        if let Some(key) = execution.key() {
            request = request.header(KEY, format!("{key}{path}"));
        }
        if method != Method::GET {
            request = request.header(CONTENT_LENGTH, 0);
        }
        let request = request
            .header(CALLER_ID, execution.id())
            .body(Body::empty())?;
        let mut response = client.request(request).await?;
        while let Some(frame) = response.body_mut().frame().await {
            frame?;
        }
        if !response.status().is_success() {
            return Err(Error::Status(response.status()));
        }
    }
    Ok(())
}

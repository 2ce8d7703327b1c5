//! Downstream calls that a backend server makes through its own node.

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
    /// Error of a downstream call.
    #[derive(Debug)]
    pub enum Error {
        /// The path does not form a valid request.
        Request(err: http::Error) {
            display("{}", err)
            source(err)
            from()
        }
        /// The call received no response.
        Call(err: CallError) {
            display("{}", err)
            source(err)
            from()
        }
        /// The response body was truncated.
        Body(err: hyper::Error) {
            display("{}", err)
            source(err)
            from()
        }
        /// The response status was not a success.
        Status(status: http::StatusCode) {
            display("status {}", status)
        }
    }
}

/// Calls all paths one after the other and reads each response to its end.
///
/// Each call carries the attempt number, the time until the deadline and an idempotency key that is
/// unique to the path.
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

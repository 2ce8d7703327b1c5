//! HTTP client of the tests, and polling for conditions.

use std::net::SocketAddr;
use std::time::Duration;

use axum::body::Body;
use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::BodyExt;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use tokio::time::{sleep, timeout};

/// Timeout that turns a hang into a test failure; no passing test waits for it.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(2);

pub const ANY_PORT: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

#[derive(Debug)]
pub struct Answer {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
}

/// Sends a request on a new connection and returns the response, or `None` if no complete response
/// arrives.
pub async fn send(
    method: Method,
    addr: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: impl Into<Body>,
) -> Option<Answer> {
    let mut request = Request::builder()
        .method(method)
        .uri(format!("http://{addr}{path}"));
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request.body(body.into()).expect("build the request");
    let client = Client::builder(TokioExecutor::new()).build_http();
    let call = async {
        let (head, body) = client.request(request).await.ok()?.into_parts();
        Some(Answer {
            status: head.status,
            headers: head.headers,
            body: body.collect().await.ok()?.to_bytes(),
        })
    };
    timeout(TEST_TIMEOUT, call)
        .await
        .expect("the call ends within the test timeout")
}

pub async fn fetch(addr: SocketAddr, path: &str) -> Option<Answer> {
    send(Method::GET, addr, path, &[], Body::empty()).await
}

/// Polls until `condition` is true.
///
/// # Panics
///
/// Panics if `condition` is still false after the test timeout.
pub async fn wait_until(condition: impl Fn() -> bool) {
    let wait = async {
        while !condition() {
            sleep(POLL_INTERVAL).await;
        }
    };
    let held = timeout(TEST_TIMEOUT, wait).await;
    held.expect("the condition becomes true within the test timeout");
}

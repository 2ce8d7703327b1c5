//! A caller for the tests, and the waiting on conditions.

use std::net::SocketAddr;
use std::time::Duration;

use axum::body::Body;
use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::BodyExt;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use tokio::time::{sleep, timeout};

/// Bounds what would hang; no test waits for it to pass.
const PATIENCE: Duration = Duration::from_secs(20);
const GAP: Duration = Duration::from_millis(2);

pub const ANY: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

#[derive(Debug)]
pub struct Answer {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
}

/// Sends a request on a connection of its own; `None` when no whole answer comes back.
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
    let request = request.body(body.into()).expect("a request");
    let client = Client::builder(TokioExecutor::new()).build_http();
    let call = async {
        let (head, body) = client.request(request).await.ok()?.into_parts();
        Some(Answer {
            status: head.status,
            headers: head.headers,
            body: body.collect().await.ok()?.to_bytes(),
        })
    };
    timeout(PATIENCE, call)
        .await
        .expect("an end of the call in time")
}

pub async fn fetch(addr: SocketAddr, path: &str) -> Option<Answer> {
    send(Method::GET, addr, path, &[], Body::empty()).await
}

/// Waits until `condition` holds; one that never does fails its test.
pub async fn until(condition: impl Fn() -> bool) {
    let wait = async {
        while !condition() {
            sleep(GAP).await;
        }
    };
    let held = timeout(PATIENCE, wait).await;
    held.expect("the condition holds in time");
}

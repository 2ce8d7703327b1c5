//! Tests of requests with an idempotency key: a request runs once, and a retry gets the stored
//! response.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use bytes::Bytes;
use common::{Reply, SERVICE, backend_at, call, log_with, node, request, until, until_async};
use http::Request;
use http_body_util::Full;
use rstest::rstest;
use swiftcart_core::Limits;
use swiftcart_node::Node;
use swiftcart_standin::{
    BackendFaults, BackendServer, BackendSettings, ExecutionCounts, Log, LogFaults, Outage,
};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

const KEY: (&str, &str) = ("idempotency-key", "irrigate-7");

const ONCE: ExecutionCounts = ExecutionCounts {
    started: 1,
    finished: 1,
    cancelled: 0,
};

async fn start_mesh() -> (Log, Node, BackendServer) {
    let log = log_with(Limits::default()).await;
    let node = node(&log).await;
    let backend = backend_at(&node, BackendSettings::new(SERVICE)).await;
    (log, node, backend)
}

fn with_body(body: impl Into<Bytes>) -> Request<Full<Bytes>> {
    request("POST", "/book", &[KEY]).map(|_| Full::new(body.into()))
}

/// Sends the request until the reply is not `key-in-progress`.
async fn call_until_settled(node: &Node) -> Reply {
    loop {
        let got = call(node, with_body("pitch 7")).await;
        if got.summary() != (409, "unknown", "key-in-progress") {
            return got;
        }
    }
}

#[tokio::test]
async fn retry_gets_the_stored_response_and_a_different_body_is_refused() {
    let (_log, node, backend) = start_mesh().await;
    let first = call(&node, with_body("pitch 7")).await;
    let again = call_until_settled(&node).await;
    let other = call(&node, with_body("pitch 8")).await;
    assert_eq!(first.summary(), (200, "-", "-"));
    let replayed = again.headers.get("idempotent-replayed");
    assert_eq!(
        replayed.map(http::HeaderValue::as_bytes),
        Some(&b"true"[..])
    );
    assert_eq!((again.status, again.body), (first.status, first.body));
    assert_eq!(other.summary(), (422, "not-run", "key-reused"));
    assert_eq!(backend.runs_by_key(KEY.1), ONCE);
}

#[tokio::test]
async fn concurrent_attempts_through_two_guards_run_once() {
    let log = log_with(Limits::default()).await;
    let (a, b) = (node(&log).await, node(&log).await);
    let backends = [
        backend_at(&a, BackendSettings::new(SERVICE)).await,
        backend_at(&b, BackendSettings::new(SERVICE)).await,
    ];
    // The nodes do not know each other, so each one claims the request for its own backend server.
    let to = |node| call(node, with_body("pitch 7"));
    let (g1, g2, g3, g4) = tokio::join!(to(&a), to(&b), to(&a), to(&b));
    let got = [g1, g2, g3, g4];
    let runs: u64 = backends.iter().map(|b| b.runs_by_key(KEY.1).started).sum();
    let kinds: Vec<_> = got.iter().map(Reply::summary).collect();
    assert_eq!(runs, 1, "{kinds:?}");
    let allowed = [(200, "-", "-"), (409, "unknown", "key-in-progress")];
    assert!(
        kinds.iter().all(|summary| allowed.contains(summary)),
        "{kinds:?}"
    );
    assert!(kinds.contains(&allowed[0]), "{kinds:?}");
}

#[tokio::test]
async fn caller_that_disconnects_after_the_hand_over_gets_the_stored_response() {
    let (_log, node, backend) = start_mesh().await;
    backend.set_faults(BackendFaults::new().with_slow_ms(200));
    let mut socket = TcpStream::connect(node.shared().settings.listen.calls)
        .await
        .unwrap();
    let head = format!(
        "POST /book HTTP/1.1\r\nhost: mesh\r\n{}: {}\r\ncontent-length: 7\r\n\r\npitch 7",
        KEY.0, KEY.1
    );
    socket.write_all(head.as_bytes()).await.unwrap();
    until(|| backend.runs_by_key(KEY.1).started == 1).await;
    drop(socket);
    until(|| backend.runs_by_key(KEY.1).finished == 1).await;
    let again = call_until_settled(&node).await;
    assert_eq!(again.summary(), (200, "-", "-"));
    assert_eq!(backend.runs_by_key(KEY.1), ONCE);
}

#[rstest]
#[case::platform_unavailable("pitch 7".into(), true, (503, "not-run", "platform-down"))]
#[case::body_over_the_limit(vec![7; (1 << 20) + 1], false, (413, "not-run", "body-too-large"))]
#[tokio::test]
async fn request_that_cannot_be_claimed_is_not_run(
    #[case] body: Vec<u8>,
    #[case] outage: bool,
    #[case] summary: (u16, &str, &str),
) {
    let (log, node, backend) = start_mesh().await;
    assert_eq!(
        call(
            &node,
            request("POST", "/book", &[("idempotency-key", "other")])
        )
        .await
        .status,
        200
    );
    if outage {
        log.set_faults(LogFaults::new().with_outage(Outage::Unavailable));
    }
    let mut request = with_body(body);
    let deadline = "2000".parse().unwrap();
    request
        .headers_mut()
        .insert("swiftcart-deadline-ms", deadline);
    let got = call(&node, request).await;
    assert_eq!(got.summary(), summary);
    assert_eq!(backend.runs_by_key(KEY.1), ExecutionCounts::default());
}

#[tokio::test]
async fn request_with_unknown_outcome_is_never_run_again() {
    let (_log, node, backend) = start_mesh().await;
    backend.set_faults(BackendFaults::new().with_lose_answers(1));
    let first = call(&node, with_body("pitch 7")).await;
    assert_eq!(first.summary(), (502, "unknown", "answer-broken"));
    let again = call_until_settled(&node).await;
    assert_eq!(again.summary(), (502, "unknown", "answer-broken"));
    assert_eq!(backend.runs_by_key(KEY.1).started, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn partition_with_oversize_pages_is_read_in_smaller_pages() {
    let log = log_with(Limits::default()).await;
    // Each byte takes two bytes in JSON. The log does not count the escapes.
    let long = "\"".repeat(250 * 1024);
    for partition in 0..8 {
        for _ in 0..18 {
            let stream = format!("claims-{SERVICE}-{partition}");
            log.append(&stream, &long).unwrap();
        }
    }
    let node = node(&log).await;
    let backend = backend_at(&node, BackendSettings::new(SERVICE)).await;
    let summary = async || call(&node, with_body("pitch 7")).await.summary().0;
    until_async(async || summary().await == 200).await;
    assert_eq!(backend.runs_by_key(KEY.1), ONCE);
}

//! Tests of the backend server: concurrency limit, execution counts, faults and announcements.

mod http;

use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use self::http::{ANY_PORT, fetch, send, wait_until};
use ::http::{HeaderMap, Method, Request};
use axum::Router;
use axum::body::{Body, to_bytes};
use axum::response::{IntoResponse, Response};
use bytes::Bytes;
use rstest::rstest;
use serde_json::{Value, json};
use swiftcart_standin::{
    BackendFaults, BackendServer, BackendSettings, ExecutionCounts, Readiness, Restart, ServiceTime,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::timeout;

async fn start(settings: BackendSettings) -> BackendServer {
    BackendServer::start(ANY_PORT, settings)
        .await
        .expect("a local port is free")
}

const fn counts(started: u64, finished: u64, cancelled: u64) -> ExecutionCounts {
    ExecutionCounts {
        started,
        finished,
        cancelled,
    }
}

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    u64::try_from(since.expect("the clock is past 1970").as_millis())
        .expect("the time fits into 64 bits")
}

/// Requests received by a fake node: method, path, headers and body.
type RecordedRequests = Arc<Mutex<Vec<(Method, String, HeaderMap, Bytes)>>>;

async fn start_recording_node() -> (std::net::SocketAddr, RecordedRequests) {
    let recorded = RecordedRequests::default();
    let recorder = recorded.clone();
    let record = async move |request: Request<Body>| -> Response {
        let (head, body) = request.into_parts();
        let body = to_bytes(body, 1024)
            .await
            .expect("the body has at most 1024 bytes");
        let entry = (head.method, head.uri.path().to_owned(), head.headers, body);
        recorder
            .lock()
            .expect("the lock is not poisoned")
            .push(entry);
        ().into_response()
    };
    let listener = tokio::net::TcpListener::bind(ANY_PORT)
        .await
        .expect("a local port is free");
    let addr = listener.local_addr().expect("the listener has an address");
    let router = Router::new().fallback(record);
    tokio::spawn(async move { axum::serve(listener, router).await });
    (addr, recorded)
}

#[rstest]
#[case::without_queue_excess_is_rejected(0, 4)]
#[case::queue_holds_excess(3, 1)]
#[tokio::test]
async fn slots_limit_concurrent_executions(#[case] queue: u32, #[case] rejected: u64) {
    let settings = BackendSettings::new("booking")
        .with_slots(2)
        .with_queue(queue);
    let backend = start(settings).await;
    backend.set_faults(BackendFaults::new().with_hang(true));
    let mut calls = tokio::task::JoinSet::new();
    for _ in 0..6 {
        let addr = backend.addr();
        calls.spawn(async move { fetch(addr, "/").await });
    }
    for _ in 0..rejected {
        let response = calls.join_next().await.unwrap().unwrap().unwrap();
        assert_eq!(response.status.as_u16(), 503);
    }
    let stats = || backend.stats();
    wait_until(|| stats().active + stats().queued + rejected == 6).await;
    assert_eq!((stats().max_active, stats().runs), (2, counts(2, 0, 0)));
    assert_eq!(
        (stats().queued, stats().refused["slots"]),
        (u64::from(queue), rejected)
    );
    calls.shutdown().await;
    wait_until(|| stats().active == 0).await;
    assert_eq!(stats().max_active, 2);
}

#[rstest]
#[case::finished(BackendFaults::new(), Some(200), counts(1, 1, 0))]
#[case::error_status_after_execution(BackendFaults::new().with_fail_status(500), Some(500), counts(1, 1, 0))]
#[case::connection_closed_before_response(BackendFaults::new().with_lose_answers(1), None, counts(1, 1, 0))]
#[case::body_truncated_after_execution(BackendFaults::new().with_break_body(5), None, counts(1, 1, 0))]
#[tokio::test]
async fn execution_is_counted_by_request_id_and_idempotency_key(
    #[case] faults: BackendFaults,
    #[case] status: Option<u16>,
    #[case] counted: ExecutionCounts,
) {
    let backend = start(BackendSettings::default()).await;
    backend.set_faults(faults);
    let names = [
        ("swiftcart-request-id", "n1"),
        ("x-request-id", "c1"),
        ("idempotency-key", "k1"),
    ];
    let response = send(Method::POST, backend.addr(), "/booking", &names, "body").await;
    assert_eq!(response.map(|a| a.status.as_u16()), status);
    for path in ["?id=n1", "?id=c1", "?key=k1"] {
        let path = format!("/standin/executions{path}");
        let found = fetch(backend.addr(), &path).await.unwrap().body;
        assert_eq!(
            serde_json::from_slice::<ExecutionCounts>(&found).unwrap(),
            counted
        );
    }
    assert_eq!(
        (backend.stats().runs, backend.runs_by_key("k2")),
        (counted, ExecutionCounts::default())
    );
}

/// Sends the head and 4 of 9 body bytes of an upload on a new connection.
async fn start_partial_upload(backend: &BackendServer, header: &str) -> tokio::net::TcpStream {
    let mut stream = tokio::net::TcpStream::connect(backend.addr())
        .await
        .expect("the backend server accepts the connection");
    let head = format!("PUT / HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n{header}\r\npart");
    stream
        .write_all(head.as_bytes())
        .await
        .expect("the socket accepts the request");
    wait_until(|| backend.stats().bytes_in == 4).await;
    stream
}

#[tokio::test]
async fn truncated_upload_counts_as_cancelled() {
    let backend = start(BackendSettings::default()).await;
    drop(start_partial_upload(&backend, "").await);
    wait_until(|| backend.stats().runs == counts(1, 0, 1)).await;
}

#[tokio::test]
async fn upload_past_its_deadline_is_cancelled() {
    let backend = start(BackendSettings::default()).await;
    let deadline = format!("swiftcart-deadline: {}\r\n", unix_ms() + 1000);
    let mut stream = start_partial_upload(&backend, &deadline).await;
    let mut response = [0; 12];
    let read = stream.read_exact(&mut response);
    let read = timeout(Duration::from_secs(20), read).await;
    read.expect("a response within 20 s").unwrap();
    assert_eq!(
        (&response, backend.stats().runs),
        (b"HTTP/1.1 504", counts(1, 0, 1))
    );
}

#[rstest]
#[case::expired_deadline_is_rejected_without_execution(-1000, 503, counts(0, 0, 0))]
#[case::deadline_during_execution_cancels_it(500, 504, counts(1, 0, 1))]
#[case::distant_deadline_has_no_effect(60_000, 200, counts(1, 1, 0))]
#[tokio::test]
async fn deadline_is_enforced(
    #[case] left: i64,
    #[case] status: u16,
    #[case] counted: ExecutionCounts,
) {
    let time = ServiceTime::Fixed(if left == 500 { 10_000.0 } else { 0.0 });
    let backend = start(BackendSettings::default().with_service_time(time)).await;
    let deadline = unix_ms().saturating_add_signed(left).to_string();
    let header = [("swiftcart-deadline", deadline.as_str())];
    let response = send(Method::GET, backend.addr(), "/", &header, Body::empty())
        .await
        .unwrap();
    assert_eq!(
        (response.status.as_u16(), backend.stats().runs),
        (status, counted)
    );
}

#[tokio::test]
async fn disconnect_cancels_execution() {
    let backend = start(BackendSettings::default()).await;
    backend.set_faults(BackendFaults::new().with_hang(true));
    let addr = backend.addr();
    let call = tokio::spawn(async move { fetch(addr, "/").await });
    wait_until(|| backend.stats().active == 1).await;
    call.abort();
    wait_until(|| backend.stats().runs == counts(1, 0, 1)).await;
}

#[rstest]
#[case::short(1, 8)]
#[case::long(300_000, 300_000)]
#[tokio::test]
async fn response_is_complete_and_contains_the_request_id(#[case] asked: u64, #[case] len: usize) {
    let backend = start(BackendSettings::default()).await;
    let path = format!("/report?bytes={asked}");
    let id = [("x-request-id", "abcd")];
    let response = send(Method::GET, backend.addr(), &path, &id, Body::empty())
        .await
        .unwrap();
    let digest = blake3::hash(&response.body).to_hex().to_string();
    assert_eq!(
        (response.body.len(), &response.body[..8]),
        (len, &b"id=abcd\n"[..])
    );
    assert_eq!(response.headers["x-standin-digest"], digest.as_str());
}

#[tokio::test]
async fn truncated_response_body_fails_the_call() {
    let backend = start(BackendSettings::default()).await;
    backend.set_faults(BackendFaults::new().with_break_body(1000));
    assert!(fetch(backend.addr(), "/?bytes=100000").await.is_none());
    assert_eq!(backend.stats().runs, counts(1, 0, 1));
}

#[tokio::test]
async fn upload_is_counted_and_hashed() {
    let backend = start(BackendSettings::default()).await;
    let body = vec![7; 3_000_000];
    let digest = blake3::hash(&body).to_hex().to_string();
    let id = [("x-request-id", "u1")];
    let response = send(Method::PUT, backend.addr(), "/footage", &id, body)
        .await
        .unwrap();
    let receipt: Value = serde_json::from_slice(&response.body).unwrap();
    assert_eq!(
        receipt,
        json!({"id": "u1", "bytes": 3_000_000, "digest": digest})
    );
}

#[rstest]
#[case::without_lag(0, "25\n")]
#[case::with_lag(60_000, "0\n")]
#[tokio::test]
async fn load_is_the_percentage_of_busy_slots(#[case] lag: u64, #[case] load: &str) {
    let settings = BackendSettings::default().with_slots(4).with_lag_ms(lag);
    let backend = start(settings).await;
    let addr = backend.addr();
    assert_eq!(fetch(addr, "/load").await.unwrap().body, "0\n");
    backend.set_faults(BackendFaults::new().with_hang(true));
    let call = tokio::spawn(async move { fetch(addr, "/").await });
    wait_until(|| backend.stats().active == 1).await;
    assert_eq!(fetch(addr, "/load").await.unwrap().body, load);
    call.abort();
}

#[tokio::test]
async fn faults_override_reported_health_and_load() {
    let backend = start(BackendSettings::default()).await;
    let faults = BackendFaults::new().with_lie_load(3).with_lie_health(false);
    backend.set_faults(faults);
    let health = fetch(backend.addr(), "/health").await.unwrap();
    let load = fetch(backend.addr(), "/load").await.unwrap();
    let work = fetch(backend.addr(), "/").await.unwrap();
    let reported = (
        health.status.as_u16(),
        &load.body[..],
        work.headers["swiftcart-load"].as_bytes(),
    );
    assert_eq!(reported, (503, &b"3\n"[..], &b"3"[..]));
}

#[tokio::test]
async fn connections_beyond_the_limit_are_closed() {
    let backend = start(BackendSettings::default().with_connections(1)).await;
    let first = tokio::net::TcpStream::connect(backend.addr())
        .await
        .unwrap();
    wait_until(|| backend.stats().connections == 1).await;
    assert!(fetch(backend.addr(), "/").await.is_none());
    assert_eq!(
        (
            backend.stats().max_connections,
            backend.stats().refused_connections
        ),
        (1, 1)
    );
    drop(first);
}

#[tokio::test]
async fn announcements_report_warming_draining_and_withdrawal() {
    let (admin, recorded) = start_recording_node().await;
    let settings = BackendSettings::new("booking").with_warming(1500, 1.0);
    let backend = start(settings.with_admin(admin).with_ttl_ms(60_000)).await;
    let addr = backend.addr();
    let count = || recorded.lock().unwrap().len();
    wait_until(|| count() == 2).await;
    backend.set_faults(BackendFaults::new().with_readiness(Readiness::Warming));
    wait_until(|| count() == 3).await;
    backend.set_faults(BackendFaults::new());
    wait_until(|| count() == 4).await;
    backend.drain();
    wait_until(|| count() == 5).await;
    backend.stop(Duration::ZERO).await;
    let reported = |(method, path, _, body): &(Method, String, HeaderMap, Bytes)| {
        let body: Value = serde_json::from_slice(body).unwrap_or_default();
        (method.to_string(), path.clone(), body)
    };
    let reported: Vec<_> = recorded.lock().unwrap().iter().map(reported).collect();
    let put = |readiness: &str| {
        let body = json!({"service": "booking", "addr": addr, "slots": 10, "connections": 130,
            "readiness": readiness, "ttl_ms": 60_000});
        ("PUT".to_owned(), "/v1/backend".to_owned(), body)
    };
    let end = ("DELETE".to_owned(), "/v1/backend".to_owned(), Value::Null);
    let puts = ["warming", "ready", "warming", "ready", "draining"];
    let expected: Vec<_> = puts.into_iter().map(put).chain([end]).collect();
    assert_eq!(reported, expected);
}

#[tokio::test]
async fn stop_waits_for_in_flight_requests() {
    let time = ServiceTime::Fixed(100.0);
    let backend = start(BackendSettings::default().with_service_time(time)).await;
    let addr = backend.addr();
    let call = tokio::spawn(async move { fetch(addr, "/").await });
    wait_until(|| backend.stats().active == 1).await;
    backend.stop(Duration::ZERO).await;
    assert_eq!(call.await.unwrap().unwrap().status.as_u16(), 200);
}

#[tokio::test]
async fn downstream_call_carries_attempt_key_and_remaining_time() {
    let (ingress, recorded) = start_recording_node().await;
    let settings = BackendSettings::default()
        .with_downstream(ingress, "/b")
        .with_downstream(ingress, "/c");
    let backend = start(settings).await;
    let deadline = (unix_ms() + 60_000).to_string();
    let headers = [
        ("swiftcart-attempt", "2"),
        ("idempotency-key", "k"),
        ("x-request-id", "c1"),
        ("swiftcart-deadline", deadline.as_str()),
    ];
    let response = send(Method::POST, backend.addr(), "/a", &headers, "body")
        .await
        .unwrap();
    assert_eq!(response.status.as_u16(), 200);
    let text = |h: &HeaderMap, name: &str| h[name].to_str().unwrap().to_owned();
    let sent = |(method, path, h, _): &(Method, String, HeaderMap, Bytes)| {
        let left: u64 = text(h, "swiftcart-deadline-ms").parse().unwrap();
        assert!((1..=60_000).contains(&left));
        let names = ["swiftcart-attempt", "idempotency-key", "x-request-id"];
        (method.clone(), path.clone(), names.map(|n| text(h, n)))
    };
    let sent: Vec<_> = recorded.lock().unwrap().iter().map(sent).collect();
    let call = |path: &str| {
        let names = ["2".to_owned(), format!("k{path}"), "c1".to_owned()];
        (Method::POST, path.to_owned(), names)
    };
    assert_eq!(sent, [call("/b"), call("/c")]);
}

#[rstest]
#[case::later(Restart::Later, |start, before| start > before)]
#[case::clock_set_back(Restart::SetBack, |start, before| start < before)]
#[tokio::test]
async fn restart_cancels_requests_and_resets_announcement_sequence(
    #[case] restart: Restart,
    #[case] start_matches: fn(u64, u64) -> bool,
) {
    let (admin, recorded) = start_recording_node().await;
    let settings = BackendSettings::new("booking").with_id("s-1", "norte");
    let backend = start(settings.with_admin(admin).with_ttl_ms(60_000)).await;
    wait_until(|| recorded.lock().unwrap().len() == 1).await;
    backend.set_faults(BackendFaults::new().with_hang(true));
    let addr = backend.addr();
    let call = tokio::spawn(async move { fetch(addr, "/").await });
    wait_until(|| backend.stats().active == 1).await;
    wait_until(|| recorded.lock().unwrap().len() == 2).await;
    backend.set_faults(BackendFaults::new().with_restart(restart));
    assert!(
        call.await.unwrap().is_none(),
        "the restart closes the connection"
    );
    wait_until(|| recorded.lock().unwrap().len() == 3).await;
    assert_eq!(backend.stats().runs, counts(1, 0, 1));
    let announcements: Vec<Value> = recorded.lock().unwrap().iter().map(announcement).collect();
    let start = |i: usize| announcements[i]["start_ms"].as_u64().unwrap();
    let seqs: Vec<_> = announcements
        .iter()
        .map(|announcement| announcement["seq"].as_u64())
        .collect();
    assert_eq!(seqs, [Some(1), Some(2), Some(1)]);
    assert!(start_matches(start(2), start(1)) && start(0) == start(1));
}

/// Parses the body of an announcement under an id.
fn announcement((method, path, _, body): &(Method, String, HeaderMap, Bytes)) -> Value {
    assert_eq!((method, path.as_str()), (&Method::PUT, "/v1/backend/s-1"));
    serde_json::from_slice(body).expect("the announcement is valid JSON")
}

#[tokio::test]
async fn malformed_announcements_precede_valid_ones() {
    let (admin, recorded) = start_recording_node().await;
    let settings = BackendSettings::new("booking").with_id("s-1", "norte");
    let backend = start(settings.with_admin(admin).with_ttl_ms(60_000)).await;
    wait_until(|| recorded.lock().unwrap().len() == 1).await;
    backend.set_faults(BackendFaults::new().with_malformed(true));
    wait_until(|| recorded.lock().unwrap().len() == 3).await;
    let valid = |(_, _, _, body): &(Method, String, HeaderMap, Bytes)| {
        serde_json::from_slice::<Value>(body).is_ok_and(|body| body["seq"].is_u64())
    };
    let valid: Vec<_> = recorded.lock().unwrap().iter().map(valid).collect();
    assert_eq!(valid, [true, false, true]);
}

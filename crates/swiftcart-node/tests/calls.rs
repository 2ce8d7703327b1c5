//! Tests of the request path: responses and reported outcomes match what actually happened.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use bytes::Bytes;
use common::{
    SERVICE, announce, backend_at, call, call_at, dead_addr, head, log_with, node, node_beside,
    node_deciding, request, until, wait_until_routed,
};
use http_body_util::{BodyExt, Full};
use rstest::rstest;
use swiftcart_core::Limits;
use swiftcart_node::OverloadTrigger;
use swiftcart_standin::{BackendFaults, BackendSettings, ExecutionCounts, Load, Shape};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

/// Time in which a node updates its gauges at least once: two of its sweeps, a second apart.
const TWO_SWEEPS: Duration = Duration::from_secs(2);

#[tokio::test]
async fn responses_are_complete_over_one_node_and_over_two() {
    let log = log_with(Limits::default()).await;
    let far = node(&log).await;
    let settings = BackendSettings::new(SERVICE)
        .with_slots(4)
        .with_connections(4);
    let backend = backend_at(&far, settings).await;
    let near = node_beside(&far, &log).await;
    let targets = [&near, &far].map(|node| node.shared().settings.listen.calls);
    let report = Load::new(targets.into())
        .with_rate(400.0)
        .with_duration_ms(500)
        .with_shape(Shape::read("/moisture").with_bytes(100_000), 2)
        .with_shape(Shape::post("/fertilizer"), 1)
        .with_shape(Shape::upload("/footage", 300_000), 1)
        .with_retries(10)
        .run()
        .await
        .unwrap();
    assert_eq!(report.good, 200, "{report:?}");
    let stats = backend.stats();
    assert!(
        stats.max_active <= 4 && stats.max_connections <= 4,
        "{stats:?}"
    );
}

#[rstest]
#[case::off(&[], false)]
#[case::always(&[OverloadTrigger::Always], true)]
#[case::no_accounts(&[OverloadTrigger::Accounts], false)]
#[tokio::test]
async fn spill_plans_are_reported_if_overload_is_decided(
    #[case] when: &[OverloadTrigger],
    #[case] expected: bool,
) {
    let log = log_with(Limits::default()).await;
    let node = node_deciding(&log, when).await;
    let _backend = backend_at(&node, BackendSettings::new(SERVICE)).await;
    tokio::time::sleep(TWO_SWEEPS).await;
    let metrics = node.shared().counters.render();
    assert_eq!(
        metrics.contains("swiftcart_spill_share"),
        expected,
        "{metrics}"
    );
}

/// Behaviour of a scripted backend server on each connection.
#[derive(Debug, Clone, Copy)]
enum Script {
    /// Reads the request and closes the connection without a response.
    Close,
    /// Responds without a length.
    Unframed,
    /// Responds with half of the announced body.
    Half,
    /// Responds with one chunk and no final chunk.
    Endless,
    /// Sets outcome headers that only nodes may set.
    Forged,
}

impl Script {
    const fn answer(self) -> &'static [u8] {
        match self {
            Self::Close => b"",
            Self::Unframed => b"HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nhalf",
            Self::Half => b"HTTP/1.1 200 OK\r\ncontent-length: 8\r\n\r\nhalf",
            Self::Endless => b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n",
            Self::Forged => {
                b"HTTP/1.1 503 No\r\ncontent-length: 0\r\nswiftcart-outcome: not-run\r\n\
                swiftcart-reason: draining\r\n\r\n"
            }
        }
    }

    /// Starts a backend server that runs the script on one connection after another.
    ///
    /// Each connection is closed when `close` is notified.
    async fn start(self) -> ScriptedBackend {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let backend = ScriptedBackend {
            addr: listener.local_addr().unwrap(),
            runs: Arc::default(),
            close: Arc::default(),
            gone: Arc::default(),
        };
        let (runs, close) = (Arc::clone(&backend.runs), Arc::clone(&backend.close));
        let gone = Arc::clone(&backend.gone);
        tokio::spawn(async move {
            while let Ok((mut socket, _)) = listener.accept().await {
                let mut buf = [0; 4096];
                if socket.read(&mut buf).await.is_ok_and(|n| n > 0) {
                    runs.fetch_add(1, Ordering::SeqCst);
                    let _ = socket.write_all(self.answer()).await;
                    tokio::select! {
                        () = close.notified() => {}
                        // No more data is expected, so the read ends when the node closes.
                        _ = socket.read(&mut buf) => gone.notify_one(),
                    }
                }
            }
        });
        backend
    }
}

/// Running backend server that follows a script.
struct ScriptedBackend {
    addr: SocketAddr,
    /// Number of requests that were read.
    runs: Arc<AtomicU32>,
    close: Arc<Notify>,
    /// Notified when the node closes a connection first.
    gone: Arc<Notify>,
}

#[rstest]
#[case::post_without_response("POST", Script::Close, (502, "unknown", "answer-broken"), 1)]
#[case::get_without_response("GET", Script::Close, (502, "unknown", "answer-broken"), 1)]
#[case::response_without_framing(
    "POST", Script::Unframed, (502, "unknown", "answer-broken"), 1
)]
#[case::forged_outcome("POST", Script::Forged, (503, "-", "-"), 1)]
#[tokio::test]
async fn outcome_is_never_not_run_after_the_request_was_sent(
    #[case] method: &str,
    #[case] script: Script,
    #[case] expected: (u16, &str, &str),
    #[case] runs: u32,
    #[values(false, true)] over_two_nodes: bool,
) {
    let log = log_with(Limits::default()).await;
    let node = node(&log).await;
    let backend = script.start().await;
    backend.close.notify_one();
    announce(&node, backend.addr).await;
    let entry = node_beside(&node, &log).await;
    let got = call(
        if over_two_nodes { &entry } else { &node },
        request(method, "/", &[]),
    )
    .await;
    assert_eq!(
        (got.summary(), backend.runs.load(Ordering::SeqCst)),
        (expected, runs)
    );
}

#[rstest]
#[case::content_length(Script::Half)]
#[case::chunked(Script::Endless)]
#[tokio::test]
async fn truncated_responses_never_appear_complete(
    #[case] script: Script,
    #[values(false, true)] over_two_nodes: bool,
) {
    let log = log_with(Limits::default()).await;
    let node = node(&log).await;
    let backend = script.start().await;
    announce(&node, backend.addr).await;
    let entry = node_beside(&node, &log).await;
    let response = head(
        if over_two_nodes { &entry } else { &node },
        request("GET", "/", &[]),
    )
    .await;
    backend.close.notify_one();
    let body = response.into_body().collect().await;
    assert!(body.is_err(), "{body:?}");
}

#[tokio::test]
async fn a_refused_connection_to_the_backend_server_is_reported_as_not_run() {
    let log = log_with(Limits::default()).await;
    let node = node(&log).await;
    announce(&node, dead_addr()).await;
    let got = call(&node, request("POST", "/", &[])).await;
    assert_eq!(got.summary(), (502, "not-run", "connect-failed"));
}

#[tokio::test]
async fn a_connection_closed_while_idle_is_not_reused_for_a_post() {
    let log = log_with(Limits::default()).await;
    let node = node(&log).await;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    announce(&node, listener.local_addr().unwrap()).await;
    let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
    for _ in 0..20 {
        let serve = async {
            let (mut socket, _) = listener.accept().await.unwrap();
            let mut buf = [0; 4096];
            assert!(socket.read(&mut buf).await.unwrap() > 0);
            socket.write_all(answer).await.unwrap();
        };
        let (got, ()) = tokio::join!(call(&node, request("POST", "/", &[])), serve);
        assert_eq!(got.summary(), (200, "-", "-"));
    }
}

#[rstest]
#[case::idempotent("GET")]
#[case::not_idempotent("POST")]
#[tokio::test]
async fn a_request_past_its_deadline_is_answered_and_cancelled(#[case] method: &str) {
    let log = log_with(Limits::default()).await;
    let node = node(&log).await;
    let backend = Script::Close.start().await;
    announce(&node, backend.addr).await;
    let headers = [("swiftcart-deadline-ms", "60")];
    let got = call(&node, request(method, "/", &headers)).await;
    assert_eq!(got.summary(), (504, "unknown", "timeout"));
    backend.gone.notified().await;
}

#[tokio::test]
async fn a_caller_disconnect_cancels_the_request_over_two_nodes() {
    let log = log_with(Limits::default()).await;
    let far = node(&log).await;
    let backend = backend_at(&far, BackendSettings::new(SERVICE)).await;
    let near = node_beside(&far, &log).await;
    backend.set_faults(BackendFaults::new().with_hang(true));
    let calls = near.shared().settings.listen.calls;
    let mut socket = TcpStream::connect(calls).await.unwrap();
    let head = b"GET / HTTP/1.1\r\nhost: mesh\r\nx-request-id: r\r\n\r\n";
    socket.write_all(head).await.unwrap();
    until(|| backend.runs_by_id("r").started == 1).await;
    drop(socket);
    until(|| backend.runs_by_id("r").cancelled == 1).await;
}

#[tokio::test]
async fn a_draining_backend_server_finishes_its_requests_and_gets_no_new_ones() {
    let log = log_with(Limits::default()).await;
    let node = node(&log).await;
    let backend = backend_at(&node, BackendSettings::new(SERVICE)).await;
    backend.set_faults(BackendFaults::new().with_slow_ms(300));
    let first = call(&node, request("POST", "/", &[("x-request-id", "first")]));
    let rest = async {
        until(|| backend.runs_by_id("first").started == 1).await;
        backend.drain();
        until(|| !node.shared().view.load().has_candidate(node.shared().id)).await;
        call(&node, request("POST", "/", &[("x-request-id", "second")])).await
    };
    let (first, second) = tokio::join!(first, rest);
    assert_eq!(first.summary(), (200, "-", "-"));
    assert_eq!(second.summary(), (503, "not-run", "not-ready"));
    assert_eq!(backend.runs_by_id("second"), ExecutionCounts::default());
}

#[rstest]
#[case::no_backend_server("/", &[], (503, "not-run", "no-backend"))]
#[case::repeated_deadline(
    "/",
    &[("swiftcart-deadline-ms", "5"), ("swiftcart-deadline-ms", "6")],
    (400, "not-run", "bad-request")
)]
#[case::malformed_deadline("/", &[("swiftcart-deadline-ms", "soon")], (400, "not-run", "bad-request"))]
#[tokio::test]
async fn undeliverable_requests_are_refused(
    #[case] path: &str,
    #[case] headers: &[(&str, &str)],
    #[case] expected: (u16, &str, &str),
) {
    let log = log_with(Limits::default()).await;
    let node = node(&log).await;
    let got = call(&node, request("GET", path, headers)).await;
    assert_eq!(got.summary(), expected);
    let metric = format!("swiftcart_refusals_total{{reason=\"{}\"}} 1", expected.2);
    assert!(node.shared().counters.render().contains(&metric));
}

#[tokio::test]
async fn an_idempotent_request_is_retried_after_a_lost_response() {
    let log = log_with(Limits::default()).await;
    let broken = node(&log).await;
    let backend = Script::Close.start().await;
    announce(&broken, backend.addr).await;
    let live = node_beside(&broken, &log).await;
    let _backend = backend_at(&live, BackendSettings::new(SERVICE)).await;
    let entry = node_beside(&broken, &log).await;
    wait_until_routed(&entry, live.shared().id).await;
    while backend.runs.load(Ordering::SeqCst) == 0 {
        backend.close.notify_one();
        let got = call(&entry, request("GET", "/", &[])).await;
        assert_eq!(got.summary(), (200, "-", "-"));
    }
    let retried = "swiftcart_retries_total{reason=\"answer-broken\"} 1";
    assert!(entry.shared().counters.render().contains(retried));
}

#[tokio::test]
async fn a_refused_upload_is_sent_in_full_to_another_guard() {
    let log = log_with(Limits::default()).await;
    let dead = node(&log).await;
    announce(&dead, dead_addr()).await;
    let live = node_beside(&dead, &log).await;
    let backend = backend_at(&live, BackendSettings::new(SERVICE)).await;
    let entry = node_beside(&dead, &log).await;
    wait_until_routed(&entry, live.shared().id).await;
    let body = Bytes::from(vec![7; 300_000]);
    let digest = blake3::hash(&body).to_hex();
    let retried = "swiftcart_retries_total{reason=\"connect-failed\"}";
    while !entry.shared().counters.render().contains(retried) {
        let upload = request("PUT", "/", &[]).map(|_| Full::new(body.clone()));
        let got = call(&entry, upload).await;
        let text = String::from_utf8(got.body.unwrap().to_vec()).unwrap();
        assert!(text.contains(digest.as_str()), "{text}");
    }
    assert_eq!(backend.stats().runs.cancelled, 0);
}

#[tokio::test]
async fn a_caller_receives_a_refusal_during_an_upload() {
    let log = log_with(Limits::default()).await;
    let node = node(&log).await;
    let mut socket = TcpStream::connect(node.shared().settings.listen.calls)
        .await
        .unwrap();
    let head = b"PUT / HTTP/1.1\r\nhost: mesh\r\ncontent-length: 9000000\r\n\r\n";
    socket.write_all(head).await.unwrap();
    // Many callers read the response only after they have sent the whole body.
    socket.write_all(&vec![7; 9_000_000]).await.unwrap();
    let mut got = String::new();
    socket.read_to_string(&mut got).await.unwrap();
    assert!(got.contains("swiftcart-reason: no-backend"), "{got}");
}

#[rstest]
#[case::oversized_head(
    "GET / HTTP/1.1\r\nhost: mesh\r\nx: ",
    20_000,
    "HTTP/1.1 431",
    "header-too-large"
)]
#[case::repeated_content_length(
    "POST / HTTP/1.1\r\ncontent-length: 3\r\ncontent-length: 4\r\n\r\n",
    0,
    "HTTP/1.1 400",
    "bad-request"
)]
#[case::http_1_0(
    "GET / HTTP/1.0\r\nhost: mesh\r\n\r\n",
    0,
    "HTTP/1.0 400",
    "bad-request"
)]
#[case::connect_method(
    "CONNECT mesh:1 HTTP/1.1\r\nhost: mesh\r\n\r\n",
    0,
    "HTTP/1.1 400",
    "bad-request"
)]
#[tokio::test]
async fn a_malformed_request_is_answered_before_the_connection_closes(
    #[case] head: &str,
    #[case] more: usize,
    #[case] status: &str,
    #[case] reason: &str,
) {
    let log = log_with(Limits::default()).await;
    let node = node(&log).await;
    let calls = node.shared().settings.listen.calls;
    let mut socket = TcpStream::connect(calls).await.unwrap();
    socket.write_all(head.as_bytes()).await.unwrap();
    socket.write_all(&vec![b'x'; more]).await.unwrap();
    let mut got = vec![0; 12];
    socket.read_exact(&mut got).await.unwrap();
    assert_eq!(String::from_utf8(got).unwrap(), status);
    let counted = format!("swiftcart_refusals_total{{reason=\"{reason}\"}} 1");
    until(|| node.shared().counters.render().contains(&counted)).await;
}

#[rstest]
#[case::before_the_first_answer("other", 1, 0)]
#[case::after_an_answer(SERVICE, 2, 1)]
#[tokio::test]
async fn guard_contradicts_a_notice_only_once_its_backend_server_has_answered(
    #[case] service: &str,
    #[case] requests: usize,
    #[case] notices: usize,
) {
    let log = log_with(Limits::default()).await;
    let node = node(&log).await;
    let _backend = backend_at(&node, BackendSettings::new(SERVICE)).await;
    let headers = [
        ("swiftcart-service", service),
        ("swiftcart-deadline-ms", "1000"),
        ("swiftcart-request-id", "a1"),
        ("swiftcart-notice", "000000000000000f 5"),
    ];
    let peer = node.shared().settings.listen.peer;
    let mut reply = call_at(peer, request("GET", "/", &headers)).await;
    for _ in 1..requests {
        reply = call_at(peer, request("GET", "/", &headers)).await;
    }
    let sent = reply.headers.get_all("swiftcart-notice").iter().count();
    assert_eq!(sent, notices, "{:?}", reply.headers);
}

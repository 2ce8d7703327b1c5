//! Tests of the load generator: latency from the scheduled send time, and response verification.

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

use axum::Router;
use axum::response::{IntoResponse, Response};
use rstest::rstest;
use serde_json::json;
use swiftcart_standin::{
    Audit, BackendFaults, BackendServer, BackendSettings, CallRecord, Error, ExecutionCounts,
    Ledger, Load, ServiceTime, Shape,
};

const ANY_PORT: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Creates a load of ten requests in 100 ms.
fn load(addr: SocketAddr) -> Load {
    Load::new(vec![addr]).with_duration_ms(100)
}

fn counts<const N: usize>(entries: [(&str, u64); N]) -> BTreeMap<String, u64> {
    entries
        .into_iter()
        .map(|(k, n)| (k.to_owned(), n))
        .collect()
}

/// Starts a server that rejects the first request as `not-run` and answers the others with `then`.
async fn reject_first_request(then: fn() -> Response) -> SocketAddr {
    let calls = Arc::new(AtomicU64::new(0));
    let answer = async move || match calls.fetch_add(1, Relaxed) {
        0 => {
            let headers = [
                ("swiftcart-outcome", "not-run"),
                ("swiftcart-reason", "slots"),
                ("retry-after", "0"),
            ];
            (http::StatusCode::SERVICE_UNAVAILABLE, headers).into_response()
        }
        _ => then(),
    };
    let listener = tokio::net::TcpListener::bind(ANY_PORT)
        .await
        .expect("bind to a free port");
    let addr = listener.local_addr().expect("read the local address");
    let router = Router::new().fallback(answer);
    tokio::spawn(async move { axum::serve(listener, router).await });
    addr
}

#[tokio::test]
async fn latency_is_measured_from_scheduled_time() {
    let time = ServiceTime::Fixed(20.0);
    let settings = BackendSettings::default().with_service_time(time);
    let backend = BackendServer::start(ANY_PORT, settings).await.unwrap();
    let load = load(backend.addr()).with_shape(Shape::read("/"), 1);
    let report = load.with_connections(1).run().await.unwrap();
    // The tenth request is due after 90 ms. With one connection, its response arrives after ten
    // times 20 ms at the earliest.
    assert_eq!((report.good, report.latency_us.count), (10, 10));
    assert!(report.latency_us.max >= 110_000, "{report:?}");
}

#[rstest]
#[case::good(BackendFaults::new(), "good")]
#[case::body_ends_early(BackendFaults::new().with_break_body(20), "broken")]
#[case::error_status(BackendFaults::new().with_fail_status(500), "refused")]
#[case::response_lost(BackendFaults::new().with_lose_answers(100), "unanswered")]
#[case::hangs(BackendFaults::new().with_hang(true), "timeout")]
#[tokio::test]
async fn fault_determines_verdict(
    #[case] faults: BackendFaults,
    #[case] verdict: &str,
    #[values(Shape::read("/"), Shape::keyed("/"), Shape::upload("/", 200_000))] shape: Shape,
) {
    let timeout = if faults.hang { 200 } else { 30_000 };
    let backend = BackendServer::start(ANY_PORT, BackendSettings::default())
        .await
        .unwrap();
    backend.set_faults(faults);
    let load = load(backend.addr()).with_shape(shape, 1);
    let report = load.with_timeout_ms(timeout).run().await.unwrap();
    assert_eq!(report.verdicts, counts([(verdict, 10)]));
}

#[rstest]
#[case::response_of_other_request(Shape::read("/"), || body("id=other\n"), "foreign")]
#[case::wrong_length(Shape::read("/"), || "id=1-1\n".into_response(), "corrupt")]
#[case::wrong_digest(Shape::read("/"), || body("id=1-1\n"), "corrupt")]
#[case::receipt_of_other_request(Shape::keyed("/"), || receipt("1-2", 64), "foreign")]
#[case::receipt_with_wrong_length(Shape::keyed("/"), || receipt("1-1", 63), "corrupt")]
#[case::receipt_with_wrong_digest(Shape::keyed("/"), || receipt("1-1", 64), "corrupt")]
#[tokio::test]
async fn wrong_response_is_not_good(
    #[case] shape: Shape,
    #[case] answer: fn() -> Response,
    #[case] verdict: &str,
) {
    let addr = reject_first_request(answer).await;
    let load = Load::new(vec![addr])
        .with_duration_ms(20)
        .with_shape(shape, 1);
    let report = load.with_connections(1).run().await.unwrap();
    assert_eq!(report.verdicts, counts([("refused", 1), (verdict, 1)]));
    assert_eq!(report.reasons, counts([("slots", 1)]));
}

/// Creates a response with the requested body length and a wrong digest.
fn body(head: &str) -> Response {
    ([("x-standin-digest", "00")], format!("{head:x<64}")).into_response()
}

fn receipt(id: &str, bytes: u64) -> Response {
    let receipt = json!({"id": id, "bytes": bytes, "digest": "00"});
    receipt.to_string().into_response()
}

#[rstest]
#[case::without_retries(0, counts([("refused", 1)]))]
#[case::with_one_retry(1, counts([("corrupt", 1)]))]
#[tokio::test]
async fn rejected_request_is_retried_only_when_retries_are_set(
    #[case] retries: u32,
    #[case] verdicts: BTreeMap<String, u64>,
) {
    let addr = reject_first_request(|| "id=1-0\n".into_response()).await;
    let load = Load::new(vec![addr])
        .with_duration_ms(10)
        .with_shape(Shape::read("/"), 1);
    let report = load.with_retries(retries).run().await.unwrap();
    assert_eq!(
        (report.verdicts, report.retries),
        (verdicts, u64::from(retries))
    );
}

#[tokio::test]
async fn comparison_alternates_between_groups() {
    let a = BackendServer::start(ANY_PORT, BackendSettings::default())
        .await
        .unwrap();
    let b = BackendServer::start(ANY_PORT, BackendSettings::default())
        .await
        .unwrap();
    let load = load(a.addr()).with_shape(Shape::keyed("/"), 1);
    let both = load.compare(vec![b.addr()]).await.unwrap();
    let started = (a.stats().runs.started, b.stats().runs.started);
    assert_eq!((both.a.good, both.b.good, started), (5, 5, (5, 5)));
}

#[rstest]
#[case::no_shape(Load::new(vec![ANY_PORT]))]
#[case::no_target(Load::new(vec![]).with_shape(Shape::read("/"), 1))]
#[case::no_rate(Load::new(vec![ANY_PORT]).with_shape(Shape::read("/"), 1).with_rate(0.0))]
#[tokio::test]
async fn invalid_load_is_rejected(#[case] load: Load) {
    assert!(matches!(load.run().await, Err(Error::Load(_))));
}

#[rstest]
#[case::started_once_and_reported_done("good", "done", runs(1, 1), Audit::default())]
#[case::not_run_and_not_started("refused", "not-run", runs(0, 0), Audit::default())]
#[case::unknown_may_have_started("unanswered", "unknown", runs(1, 0), Audit::default())]
#[case::reported_not_run_but_started("refused", "not-run", runs(1, 1), Audit { ran: id(), ..Audit::default() })]
#[case::started_twice("good", "done", runs(2, 1), Audit { twice: id(), ..Audit::default() })]
#[case::reported_done_but_unfinished("good", "done", runs(1, 0), Audit { lost: id(), ..Audit::default() })]
fn audit_lists_violated_guarantee(
    #[case] verdict: &str,
    #[case] outcome: &str,
    #[case] runs: ExecutionCounts,
    #[case] expected: Audit,
) {
    let record = CallRecord {
        id: "1-0".into(),
        key: Some("k".into()),
        verdict: verdict.into(),
        outcome: Some(outcome.into()),
        ..CallRecord::default()
    };
    let mut ledger = Ledger::default();
    ledger.keys.insert("k".into(), runs);
    let load = Load::new(vec![]).with_shape(Shape::keyed("/"), 1);
    assert_eq!(Audit::new(&load, &[record], &ledger), expected);
}

fn id() -> Vec<String> {
    vec!["1-0".into()]
}

const fn runs(started: u64, finished: u64) -> ExecutionCounts {
    ExecutionCounts {
        started,
        finished,
        cancelled: 0,
    }
}

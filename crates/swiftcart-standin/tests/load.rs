//! The load counts latency from the intended time and checks every answer.

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

use axum::Router;
use axum::response::{IntoResponse, Response};
use rstest::rstest;
use serde_json::json;
use swiftcart_standin::{
    Audit, BackendFaults, BackendServer, BackendSettings, Error, ExecutionCounts, Ledger, Load,
    ServiceTime, Shape, Told,
};

const ANY: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Ten requests in 100 ms.
fn load(addr: SocketAddr) -> Load {
    Load::new(vec![addr]).with_duration_ms(100)
}

fn counts<const N: usize>(entries: [(&str, u64); N]) -> BTreeMap<String, u64> {
    entries
        .into_iter()
        .map(|(k, n)| (k.to_owned(), n))
        .collect()
}

/// Serves one answer to every request but the first, which is refused as not run.
async fn refuse_once(then: fn() -> Response) -> SocketAddr {
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
    let listener = tokio::net::TcpListener::bind(ANY).await.expect("a port");
    let addr = listener.local_addr().expect("an address");
    let router = Router::new().fallback(answer);
    tokio::spawn(async move { axum::serve(listener, router).await });
    addr
}

#[tokio::test]
async fn latency_counts_from_the_intended_time() {
    let time = ServiceTime::Fixed(20.0);
    let settings = BackendSettings::default().with_service_time(time);
    let backend = BackendServer::start(ANY, settings).await.unwrap();
    let load = load(backend.addr()).with_shape(Shape::read("/"), 1);
    let report = load.with_connections(1).run().await.unwrap();
    // The tenth is due after 90 ms and answered after ten times 20 ms at the earliest.
    assert_eq!((report.good, report.latency_us.count), (10, 10));
    assert!(report.latency_us.max >= 110_000, "{report:?}");
}

#[rstest]
#[case::good(BackendFaults::new(), "good")]
#[case::body_breaks(BackendFaults::new().with_break_body(20), "broken")]
#[case::status(BackendFaults::new().with_fail_status(500), "refused")]
#[case::lost(BackendFaults::new().with_lose_answers(100), "unanswered")]
#[case::hangs(BackendFaults::new().with_hang(true), "timeout")]
#[tokio::test]
async fn verdict_names_the_fault(
    #[case] faults: BackendFaults,
    #[case] verdict: &str,
    #[values(Shape::read("/"), Shape::keyed("/"), Shape::upload("/", 200_000))] shape: Shape,
) {
    let timeout = if faults.hang { 200 } else { 30_000 };
    let backend = BackendServer::start(ANY, BackendSettings::default())
        .await
        .unwrap();
    backend.set_faults(faults);
    let load = load(backend.addr()).with_shape(shape, 1);
    let report = load.with_timeout_ms(timeout).run().await.unwrap();
    assert_eq!(report.verdicts, counts([(verdict, 10)]));
}

#[rstest]
#[case::other_requests_answer(Shape::read("/"), || body("id=other\n"), "foreign")]
#[case::cut_short(Shape::read("/"), || "id=1-1\n".into_response(), "corrupt")]
#[case::other_bytes(Shape::read("/"), || body("id=1-1\n"), "corrupt")]
#[case::other_requests_receipt(Shape::keyed("/"), || receipt("1-2", 64), "foreign")]
#[case::receipt_for_less(Shape::keyed("/"), || receipt("1-1", 63), "corrupt")]
#[case::receipt_for_other_bytes(Shape::keyed("/"), || receipt("1-1", 64), "corrupt")]
#[tokio::test]
async fn wrong_answer_is_not_good(
    #[case] shape: Shape,
    #[case] answer: fn() -> Response,
    #[case] verdict: &str,
) {
    let addr = refuse_once(answer).await;
    let load = Load::new(vec![addr])
        .with_duration_ms(20)
        .with_shape(shape, 1);
    let report = load.with_connections(1).run().await.unwrap();
    assert_eq!(report.verdicts, counts([("refused", 1), (verdict, 1)]));
    assert_eq!(report.reasons, counts([("slots", 1)]));
}

/// A body of the length that was asked for, and a digest that is not its own.
fn body(head: &str) -> Response {
    ([("x-standin-digest", "00")], format!("{head:x<64}")).into_response()
}

fn receipt(id: &str, bytes: u64) -> Response {
    let receipt = json!({"id": id, "bytes": bytes, "digest": "00"});
    receipt.to_string().into_response()
}

#[rstest]
#[case::by_default_never(0, counts([("refused", 1)]))]
#[case::as_a_caller_would(1, counts([("corrupt", 1)]))]
#[tokio::test]
async fn refusal_is_tried_again_only_on_request(
    #[case] retries: u32,
    #[case] verdicts: BTreeMap<String, u64>,
) {
    let addr = refuse_once(|| "id=1-0\n".into_response()).await;
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
async fn comparison_alternates_between_the_sides() {
    let a = BackendServer::start(ANY, BackendSettings::default())
        .await
        .unwrap();
    let b = BackendServer::start(ANY, BackendSettings::default())
        .await
        .unwrap();
    let load = load(a.addr()).with_shape(Shape::keyed("/"), 1);
    let both = load.compare(vec![b.addr()]).await.unwrap();
    let started = (a.stats().runs.started, b.stats().runs.started);
    assert_eq!((both.a.good, both.b.good, started), (5, 5, (5, 5)));
}

#[rstest]
#[case::no_shape(Load::new(vec![ANY]))]
#[case::no_target(Load::new(vec![]).with_shape(Shape::read("/"), 1))]
#[case::no_rate(Load::new(vec![ANY]).with_shape(Shape::read("/"), 1).with_rate(0.0))]
#[tokio::test]
async fn load_that_cannot_run_is_refused(#[case] load: Load) {
    assert!(matches!(load.run().await, Err(Error::Load(_))));
}

#[rstest]
#[case::started_once_and_told_done("good", "done", runs(1, 1), Audit::default())]
#[case::not_run_and_not_started("refused", "not-run", runs(0, 0), Audit::default())]
#[case::unknown_may_have_started("unanswered", "unknown", runs(1, 0), Audit::default())]
#[case::not_run_yet_started("refused", "not-run", runs(1, 1), Audit { ran: id(), ..Audit::default() })]
#[case::started_twice("good", "done", runs(2, 1), Audit { twice: id(), ..Audit::default() })]
#[case::done_yet_unfinished("good", "done", runs(1, 0), Audit { lost: id(), ..Audit::default() })]
fn audit_names_the_broken_promise(
    #[case] verdict: &str,
    #[case] outcome: &str,
    #[case] runs: ExecutionCounts,
    #[case] expected: Audit,
) {
    let told = Told {
        id: "1-0".into(),
        key: Some("k".into()),
        verdict: verdict.into(),
        outcome: Some(outcome.into()),
        ..Told::default()
    };
    let mut ledger = Ledger::default();
    ledger.keys.insert("k".into(), runs);
    let load = Load::new(vec![]).with_shape(Shape::keyed("/"), 1);
    assert_eq!(Audit::new(&load, &[told], &ledger), expected);
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

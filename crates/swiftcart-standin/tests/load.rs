//! The load counts latency from the intended time and checks every answer.

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

use axum::Router;
use axum::response::{IntoResponse, Response};
use rstest::rstest;
use swiftcart_standin::{
    BackendFaults, BackendServer, BackendSettings, Error, Load, ServiceTime, Shape,
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
    let backend = BackendServer::start(ANY, BackendSettings::default())
        .await
        .unwrap();
    backend.set_faults(faults);
    let load = load(backend.addr())
        .with_shape(shape, 1)
        .with_timeout_ms(300);
    let report = load.run().await.unwrap();
    assert_eq!(report.verdicts, counts([(verdict, 10)]));
}

#[rstest]
#[case::other_requests_answer(|| "id=other\n, and more than sixty-four bytes of an answer.........".into_response(), "foreign")]
#[case::own_but_damaged(|| "id=1-1\n".into_response(), "corrupt")]
#[tokio::test]
async fn wrong_answer_is_not_good(#[case] answer: fn() -> Response, #[case] verdict: &str) {
    let addr = refuse_once(answer).await;
    let load = Load::new(vec![addr])
        .with_duration_ms(20)
        .with_shape(Shape::read("/"), 1);
    let report = load.run().await.unwrap();
    assert_eq!(report.verdicts, counts([("refused", 1), (verdict, 1)]));
    assert_eq!(report.reasons, counts([("slots", 1)]));
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
    let load = load(a.addr())
        .with_shape(Shape::keyed("/"), 1)
        .with_keep(100);
    let both = load.compare(vec![b.addr()]).await.unwrap();
    assert_eq!((both.a.good, both.b.good), (5, 5));
    for told in &both.a.told {
        assert_eq!(a.runs_by_key(told.key.as_deref().unwrap()).finished, 1);
    }
    assert_eq!((a.stats().runs.started, b.stats().runs.started), (5, 5));
}

#[rstest]
#[case::no_shape(Load::new(vec![ANY]))]
#[case::no_target(Load::new(vec![]).with_shape(Shape::read("/"), 1))]
#[case::no_rate(Load::new(vec![ANY]).with_shape(Shape::read("/"), 1).with_rate(0.0))]
#[tokio::test]
async fn load_that_cannot_run_is_refused(#[case] load: Load) {
    assert!(matches!(load.run().await, Err(Error::Load(_))));
}

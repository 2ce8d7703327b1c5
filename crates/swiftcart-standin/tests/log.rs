//! Tests of the log: the platform's HTTP contract and the injected faults.

mod http;

use std::time::Duration;

use self::http::{ANY_PORT, fetch, send, wait_until};
use ::http::{Method, StatusCode};
use rstest::rstest;
use serde_json::{Value, json};
use swiftcart_standin::{Log, LogFaults, LogSettings, Outage};

const STREAM: &str = "/v1/streams/config";

fn bodies(log: &Log) -> Vec<String> {
    let page = log.read("config", 0).expect("read the stream");
    page.records.iter().map(|r| r.body.to_string()).collect()
}

async fn append(log: &Log, body: impl Into<axum::body::Body>) -> Option<StatusCode> {
    let answer = send(Method::POST, log.addr(), STREAM, &[], body).await;
    answer.map(|a| a.status)
}

#[rstest]
#[case::no_fault_responds_and_stores(LogFaults::new(), Some(201), &["a"])]
#[case::lost_response_stores(LogFaults::new().with_lose_answers(1), None, &["a"])]
#[case::delayed_append_responds_and_stores(LogFaults::new().with_late_ms(1), Some(201), &["a"])]
#[case::unavailable_stores_nothing(LogFaults::new().with_outage(Outage::Unavailable), Some(503), &[])]
#[case::closed_stores_nothing(LogFaults::new().with_outage(Outage::Closed), None, &[])]
#[case::refused_stream_stores_nothing(LogFaults::new().with_refused_stream("config"), Some(503), &[])]
#[case::other_stream_is_not_refused(LogFaults::new().with_refused_stream("claims"), Some(201), &["a"])]
#[tokio::test]
async fn fault_determines_response_and_stored_records(
    #[case] faults: LogFaults,
    #[case] status: Option<u16>,
    #[case] kept: &[&str],
) {
    let log = Log::start(ANY_PORT).await.unwrap();
    log.set_faults(faults);
    let answer = append(&log, "a").await;
    assert_eq!(
        (answer.map(|s| s.as_u16()), bodies(&log)),
        (status, kept.iter().map(|s| (*s).to_owned()).collect())
    );
}

#[tokio::test]
async fn lost_responses_count_down() {
    let log = Log::start(ANY_PORT).await.unwrap();
    log.set_faults(LogFaults::new().with_lose_answers(2));
    let mut answers = Vec::new();
    for body in ["a", "b", "c"] {
        answers.push(append(&log, body).await);
    }
    assert_eq!(answers, [None, None, Some(StatusCode::CREATED)]);
    assert_eq!((bodies(&log).len(), log.stats().lost_answers), (3, 2));
}

#[tokio::test]
async fn delayed_append_is_stored_after_client_disconnects() {
    let log = Log::start(ANY_PORT).await.unwrap();
    log.set_faults(LogFaults::new().with_late_ms(200));
    tokio::select! {
        answer = append(&log, "a") => panic!("answered {answer:?}"),
        () = wait_until(|| log.stats().held == 1) => {}
    }
    wait_until(|| bodies(&log) == ["a"]).await;
}

#[tokio::test]
async fn stalled_append_gets_no_response_and_stores_nothing() {
    let log = Log::start(ANY_PORT).await.unwrap();
    log.set_faults(LogFaults::new().with_stall(true));
    let lift = async {
        wait_until(|| log.stats().held == 1).await;
        log.set_faults(LogFaults::new());
    };
    let (answer, ()) = tokio::join!(append(&log, "a"), lift);
    assert_eq!((answer, bodies(&log)), (None, vec![]));
}

#[rstest]
#[case::by_age(LogSettings::new().with_retention(Duration::from_secs(10)), 10, 3)]
#[case::not_before_retention(LogSettings::new().with_retention(Duration::from_secs(600)), 10, 0)]
#[case::by_count(LogSettings::new().with_records(2), 0, 1)]
#[tokio::test]
async fn expiry_advances_first_but_not_next(
    #[case] settings: LogSettings,
    #[case] seconds: u64,
    #[case] first: u64,
) {
    let log = Log::start_with(ANY_PORT, settings).await.unwrap();
    for body in ["a", "b", "c"] {
        log.append("config", body).unwrap();
    }
    log.advance(Duration::from_secs(seconds));
    let page: Value =
        serde_json::from_slice(&fetch(log.addr(), STREAM).await.unwrap().body).unwrap();
    let offsets: Vec<_> = page["records"]
        .as_array()
        .unwrap()
        .iter()
        .map(|r| r["offset"].clone())
        .collect();
    let kept: Vec<_> = (first..3).map(Value::from).collect();
    assert_eq!(
        (&page["first"], &page["next"], offsets),
        (&json!(first), &json!(3), kept)
    );
}

#[tokio::test]
async fn long_poll_returns_when_awaited_offset_is_appended() {
    let log = Log::start(ANY_PORT).await.unwrap();
    log.append("config", "a").unwrap();
    let path = format!("{STREAM}?from=1&wait=60000");
    let write = async {
        wait_until(|| log.stats().held == 1).await;
        log.append("config", "b").unwrap();
    };
    let (answer, ()) = tokio::join!(fetch(log.addr(), &path), write);
    let page: Value = serde_json::from_slice(&answer.unwrap().body).unwrap();
    assert_eq!(
        (&page["records"][0]["body"], &page["next"]),
        (&json!("b"), &json!(2))
    );
}

#[tokio::test]
async fn outage_ends_long_poll() {
    let log = Log::start(ANY_PORT).await.unwrap();
    let path = format!("{STREAM}?wait=60000");
    let outage = async {
        wait_until(|| log.stats().held == 1).await;
        log.set_faults(LogFaults::new().with_outage(Outage::Unavailable));
    };
    let (answer, ()) = tokio::join!(fetch(log.addr(), &path), outage);
    assert_eq!(answer.unwrap().status, StatusCode::SERVICE_UNAVAILABLE);
}

#[tokio::test]
async fn append_over_rate_limit_is_rejected_until_refill() {
    let log = Log::start_with(ANY_PORT, LogSettings::new().with_append_rate(1))
        .await
        .unwrap();
    append(&log, "a").await.unwrap();
    let over = send(Method::POST, log.addr(), STREAM, &[], "b")
        .await
        .unwrap();
    assert_eq!(
        (over.status.as_u16(), &over.headers["retry-after"]),
        (429, &"1".parse().unwrap())
    );
    log.advance(Duration::from_secs(1));
    assert_eq!(append(&log, "c").await, Some(StatusCode::CREATED));
    assert_eq!(bodies(&log), ["a", "c"]);
}

#[rstest]
#[case::maximum_size(STREAM, vec![b'x'; 256 * 1024], 201)]
#[case::over_maximum_size(STREAM, vec![b'x'; 256 * 1024 + 1], 413)]
#[case::invalid_utf8(STREAM, vec![0xff], 400)]
#[case::malformed_name("/v1/streams/a%20b", vec![b'x'], 400)]
#[tokio::test]
async fn append_status_depends_on_size_encoding_and_name(
    #[case] path: &str,
    #[case] body: Vec<u8>,
    #[case] status: u16,
) {
    let log = Log::start(ANY_PORT).await.unwrap();
    let answer = send(Method::POST, log.addr(), path, &[], body)
        .await
        .unwrap();
    assert_eq!(answer.status.as_u16(), status);
}

#[tokio::test]
async fn faults_and_stats_are_served_during_outage() {
    let log = Log::start(ANY_PORT).await.unwrap();
    let json = [("content-type", "application/json")];
    for (body, status) in [(r#"{"outage":"closed"}"#, 204), (r#"{"outrage":1}"#, 422)] {
        let answer = send(Method::PUT, log.addr(), "/standin/faults", &json, body).await;
        assert_eq!(answer.unwrap().status.as_u16(), status);
    }
    assert_eq!(log.faults(), LogFaults::new().with_outage(Outage::Closed));
    assert!(fetch(log.addr(), STREAM).await.is_none());
    assert!(fetch(log.addr(), "/standin/stats").await.is_some());
}

//! Answers leave at the pace of the instance's link.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use std::time::{Duration, Instant};

use common::{SERVICE, backend_at, call, log_with, node_on_link, request};
use rstest::rstest;
use swiftcart_core::Limits;
use swiftcart_standin::BackendSettings;

/// The length of a long answer. A link of 8 Mbit/s carries it in 600 ms.
const LONG_BYTES: usize = 600_000;

/// What may leave without being held back: the queue that is allowed, 20 kB, and the parts that
/// are read at once around it.
const AHEAD: Duration = Duration::from_millis(300);

/// Only the shortest time can be told: a busy machine makes each one longer.
#[rstest]
#[case::over_a_slow_link_held_back(8.0, Duration::from_millis(600))]
#[case::over_a_fast_link_at_once(8_000.0, AHEAD)]
#[case::over_a_link_of_unknown_rate_at_once(0.0, AHEAD)]
#[tokio::test]
async fn a_long_answer_is(#[case] mbit_s: f64, #[case] carried: Duration) {
    let log = log_with(Limits::default()).await;
    let node = node_on_link(&log, mbit_s).await;
    let settings = BackendSettings::new(SERVICE)
        .with_slots(4)
        .with_connections(4);
    let _backend = backend_at(&node, settings).await;
    let start = Instant::now();
    let path = format!("/plots?bytes={LONG_BYTES}");
    let got = call(&node, request("GET", &path, &[])).await;
    assert_eq!(got.body.map(|body| body.len()), Some(LONG_BYTES));
    let least = carried.saturating_sub(AHEAD);
    assert!(start.elapsed() >= least, "{:?}", start.elapsed());
}

//! Tests that responses are paced to the rate of the egress link.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use std::time::{Duration, Instant};

use common::{SERVICE, backend_at, call, log_with, node_on_link, request};
use rstest::rstest;
use swiftcart_core::Limits;
use swiftcart_standin::BackendSettings;

/// Length of a long response. A link of 8 Mbit/s transmits it in 600 ms.
const LONG_BYTES: usize = 600_000;

/// Transmission time of the data that is sent without delay.
///
/// This data is the allowed queue of 20 kB and the parts that are read together with it.
const UNPACED: Duration = Duration::from_millis(300);

/// Checks only the minimum duration, since load on the test instance makes responses slower.
#[rstest]
#[case::slow_link(8.0, Duration::from_millis(600))]
#[case::fast_link(8_000.0, UNPACED)]
#[case::unknown_rate(0.0, UNPACED)]
#[tokio::test]
async fn a_long_response_is_paced_to_the_link_rate(
    #[case] mbit_s: f64,
    #[case] transmission: Duration,
) {
    let log = log_with(Limits::default()).await;
    let node = node_on_link(&log, mbit_s).await;
    let settings = BackendSettings::new(SERVICE)
        .with_slots(4)
        .with_connections(4);
    let _backend = backend_at(&node, settings).await;
    let start = Instant::now();
    let path = format!("/plots?bytes={LONG_BYTES}");
    let response = call(&node, request("GET", &path, &[])).await;
    assert_eq!(response.body.map(|body| body.len()), Some(LONG_BYTES));
    let least = transmission.saturating_sub(UNPACED);
    assert!(start.elapsed() >= least, "{:?}", start.elapsed());
}

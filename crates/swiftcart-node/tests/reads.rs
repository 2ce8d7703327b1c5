//! Rate of the reads of the platform's log.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use std::time::Duration;

use common::{log_with, node};
use swiftcart_core::Limits;

/// Record of a release that these nodes do not support.
const LATER_RECORD: &str = r#"{"rule":65535,"fresh":[]}"#;
/// Time for which reads are counted.
const COUNT_TIME: Duration = Duration::from_secs(3);
/// Highest number of reads in this time. A node without trouble makes about eight.
const MAX_READS: u64 = 12;

#[tokio::test]
async fn a_node_that_stopped_at_a_record_of_a_later_release_reads_seldom() {
    let log = log_with(Limits::default()).await;
    let node = node(&log).await;
    log.append("config", LATER_RECORD).unwrap();
    common::until(|| node.shared().progress.load().stalled_rule.is_some()).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let before = log.stats().streams["config"].reads;
    tokio::time::sleep(COUNT_TIME).await;
    let reads = log.stats().streams["config"].reads - before;
    assert!(reads <= MAX_READS, "{reads} reads");
}

//! Readiness and routing of a joining node.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use common::{backend_at, joining_node, log_with, node};
use rstest::rstest;
use swiftcart_core::Limits;
use swiftcart_node::Phase;
use swiftcart_standin::BackendSettings;

#[rstest]
#[case::reachable_peer(true)]
#[case::stopped_peer(false)]
#[tokio::test]
async fn a_ready_joiner_routes_only_to_reachable_members(#[case] peer_runs: bool) {
    let log = log_with(Limits::default()).await;
    let peer = node(&log).await;
    let _backend = backend_at(&peer, BackendSettings::new(common::SERVICE)).await;
    let id = peer.shared().id;
    let _peer = match peer_runs {
        true => Some(peer),
        false => {
            peer.stop().await;
            None
        }
    };
    let node = joining_node(id.0, &log).await;
    assert_eq!(*node.shared().phase.borrow(), Phase::Ready);
    assert_eq!(node.shared().view.load().has_candidate(id), peer_runs);
}

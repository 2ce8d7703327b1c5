//! When a node that joins takes callers' requests.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use common::{backend_at, joining_node, log_with, node};
use rstest::rstest;
use swiftcart_core::Limits;
use swiftcart_node::Phase;
use swiftcart_standin::BackendSettings;

#[rstest]
#[case::a_peer_that_answers(true)]
#[case::a_peer_that_is_gone(false)]
#[tokio::test]
async fn a_ready_node_routes_to_the_members_that_answer(#[case] answers: bool) {
    let log = log_with(Limits::default()).await;
    let peer = node(&log).await;
    let _backend = backend_at(&peer, BackendSettings::new(common::SERVICE)).await;
    let id = peer.shared().id;
    let _peer = match answers {
        true => Some(peer),
        false => {
            peer.stop().await;
            None
        }
    };
    let node = joining_node(id.0, &log).await;
    assert_eq!(*node.shared().phase.borrow(), Phase::Ready);
    assert_eq!(node.shared().view.load().has_candidate(id), answers);
}

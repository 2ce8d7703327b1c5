//! Load that a backend server states in its responses: what its guard reads and reports to peers.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use std::net::SocketAddr;

use common::{
    SERVICE, announce, call, call_at, log_with, node, node_that_reads_load, request, until,
};
use rstest::rstest;
use swiftcart_core::Limits;
use swiftcart_node::Node;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// Starts a backend server that states `load` in each response.
async fn backend_that_states(load: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut socket, _)) = listener.accept().await {
            tokio::spawn(async move {
                let response =
                    format!("HTTP/1.1 200 OK\r\ncontent-length: 0\r\nx-load: {load}\r\n\r\n");
                let mut buf = [0; 4096];
                while socket.read(&mut buf).await.is_ok_and(|n| n > 0) {
                    socket.write_all(response.as_bytes()).await.unwrap();
                }
            });
        }
    });
    addr
}

/// Returns the load that the guard of `node` reports to a peer after two calls.
async fn reported_load(node: &Node) -> String {
    let headers = [
        ("swiftcart-service", SERVICE),
        ("swiftcart-deadline-ms", "1000"),
        ("swiftcart-request-id", "a1"),
        // With a latency target, the first call makes the pace known.
        ("swiftcart-terms", "i 2 1 500 0 1 0 0 0"),
    ];
    let peer = node.shared().settings.listen.peer;
    call_at(peer, request("GET", "/", &headers)).await;
    let reply = call_at(peer, request("GET", "/", &headers)).await;
    reply.headers["swiftcart-load"].to_str().unwrap().to_owned()
}

#[rstest]
#[case::four_figures("1,0,4,100", 5, None)]
#[case::three_figures("1,0,4", 4, None)]
#[case::garbage("fast", 4, Some("malformed"))]
#[case::absurd("1,0,4,1000000000", 4, Some("out-of-range"))]
#[tokio::test]
async fn usable_slowdown_is_reported_to_peers(
    #[case] load: &'static str,
    #[case] figures: usize,
    #[case] ignored: Option<&str>,
) {
    let log = log_with(Limits::default()).await;
    let node = node_that_reads_load(&log, "x-load").await;
    announce(&node, backend_that_states(load).await).await;
    until(|| node.shared().view.load().has_candidate(node.shared().id)).await;
    let reply = call(&node, request("GET", "/", &[])).await;
    assert_eq!(reply.headers["x-load"], load, "the response is unchanged");
    let reported = reported_load(&node).await;
    assert_eq!(reported.split(' ').count(), figures, "{reported}");
    let metrics = node.shared().counters.render();
    let counted = |reason| {
        metrics.contains(&format!(
            "swiftcart_stated_loads_ignored_total{{reason=\"{reason}\"}} 3"
        ))
    };
    assert!(ignored.is_none_or(counted), "{metrics}");
}

#[tokio::test]
async fn load_is_not_read_without_the_setting() {
    let log = log_with(Limits::default()).await;
    let node = node(&log).await;
    announce(&node, backend_that_states("1,0,4,250").await).await;
    until(|| node.shared().view.load().has_candidate(node.shared().id)).await;
    let reported = reported_load(&node).await;
    assert_eq!(reported.split(' ').count(), 4, "{reported}");
}

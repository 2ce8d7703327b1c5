//! Requests for a service whose guards are all full: what the ingress asks and answers.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use std::sync::Arc;

use common::{
    Reply, SERVICE, backend_at, call, joining_node, log_with, node, node_with, request,
    wait_until_routed,
};
use rstest::rstest;
use swiftcart_core::{
    Limits, Policy, Priority, RequestClass, Routes, Snapshot, Table, Version, View,
};
use swiftcart_node::{Node, OverloadTrigger};
use swiftcart_standin::{BackendServer, BackendSettings, Log, ServiceTime};
use tokio::task::JoinSet;

/// Number of concurrent callers, far more than the slots and queues of the service hold.
const CALLERS: usize = 40;

/// Number of requests that each caller sends, one after the other.
const REQUESTS: usize = 5;

/// Starts three nodes, each with a slow backend server of one slot.
async fn full_service(log: &Log) -> Vec<(Node, BackendServer)> {
    let settings = || {
        BackendSettings::new(SERVICE)
            .with_slots(1)
            .with_service_time(ServiceTime::Fixed(100.0))
    };
    let first = node(log).await;
    let backend = backend_at(&first, settings()).await;
    let mut service = vec![(first, backend)];
    for _ in 0..2 {
        let next = joining_node(service[0].0.shared().id.0, log).await;
        let backend = backend_at(&next, settings()).await;
        service.push((next, backend));
    }
    service
}

/// Activates a route with a policy, which only snapshots contain.
fn adopt_policy(node: &Node, class: RequestClass) {
    let policy = Policy {
        class,
        attempts: 2,
        timeout_ms: 2_000,
        target_ms: 400,
        priority: Priority(1),
    };
    let prefix = "//mesh/".to_owned();
    let table = Table::new()
        .with_service(SERVICE, Limits::default())
        .with_route(prefix.clone(), SERVICE, 1);
    let snapshot = Snapshot::new(Version(1), table).with_policies([(prefix, policy)].into());
    let shared = node.shared();
    let members = shared.members.load();
    let view = View::with_routes(
        Arc::new(Routes::from_snapshot(&snapshot)),
        members.iter(),
        shared.id,
        &shared.settings.domain,
    );
    shared.view.store(Arc::new(view));
    shared.views.send_replace(());
}

/// Sends the requests of one caller through `node`, and returns the replies.
async fn call_repeatedly(node: Arc<Node>, caller: usize) -> Vec<Reply> {
    let mut replies = Vec::new();
    for n in 0..REQUESTS {
        let path = format!("/{caller}/{n}");
        replies.push(call(&node, request("GET", &path, &[])).await);
    }
    replies
}

#[rstest]
#[case::enabled(vec![OverloadTrigger::Always], RequestClass::Idempotent, true)]
#[case::uploads_depend_on_links(vec![OverloadTrigger::Always], RequestClass::Upload, false)]
#[case::no_accounts(vec![OverloadTrigger::Accounts], RequestClass::Idempotent, false)]
#[case::disabled(vec![], RequestClass::Idempotent, false)]
#[tokio::test]
async fn ingress_refuses_requests_for_a_full_service_if_overload_is_decided(
    #[case] when: Vec<OverloadTrigger>,
    #[case] class: RequestClass,
    #[case] refuses: bool,
) {
    let log = log_with(Limits::default()).await;
    let service = full_service(&log).await;
    let entry = node_with(&service[0].0, &log, |settings| {
        settings.overload.when = when;
    })
    .await;
    for (node, _) in &service {
        wait_until_routed(&entry, node.shared().id).await;
    }
    adopt_policy(&entry, class);
    let entry = Arc::new(entry);
    let mut callers: JoinSet<_> = (0..CALLERS)
        .map(|caller| call_repeatedly(Arc::clone(&entry), caller))
        .collect();
    let mut replies = Vec::new();
    while let Some(more) = callers.join_next().await {
        replies.extend(more.unwrap());
    }
    let refused = |reply: &&Reply| reply.summary() == (503, "not-run", "no-room");
    let refused: Vec<_> = replies.iter().filter(refused).collect();
    assert_eq!(!refused.is_empty(), refuses);
    assert!(
        refused
            .iter()
            .all(|reply| reply.headers.contains_key("retry-after"))
    );
    assert!(replies.iter().any(|reply| reply.status == 200));
    let metrics = entry.shared().counters.render();
    assert_eq!(metrics.contains("swiftcart_ask"), refuses, "{metrics}");
}

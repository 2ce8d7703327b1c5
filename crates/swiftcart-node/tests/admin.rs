//! Tests of the admin listener: announcements and the endpoints for operators.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use common::{
    Reply, SERVICE, backend_at, call_at, log_with, node, request, until, wait_until_routed,
};
use http_body_util::Full;
use rstest::rstest;
use serde_json::{Value, json};
use swiftcart_core::Limits;
use swiftcart_node::Node;
use swiftcart_standin::BackendSettings;

const VALID_ANNOUNCEMENT: &str =
    r#"{"service":"booking","addr":"127.0.0.1:9","slots":4,"connections":8,"ttl_ms":600000}"#;

async fn announce(node: &Node, body: String) -> Reply {
    let put = request("PUT", "/v1/backend", &[]).map(|_| Full::from(body));
    call_at(node.shared().settings.listen.admin, put).await
}

async fn get_json(node: &Node, path: &str) -> Value {
    let admin = node.shared().settings.listen.admin;
    let response = call_at(admin, request("GET", path, &[])).await;
    serde_json::from_slice(&response.body.unwrap()).unwrap()
}

#[rstest]
#[case::unknown_key(
    r#""slots":4"#,
    r#""slot":4"#,
    "slot: unknown field `slot`, expected one of `service`, `addr`, `slots`, `connections`, `readiness`, `ttl_ms` at line 1 column 48"
)]
#[case::no_slots(
    r#""slots":4"#,
    r#""slots":0"#,
    "slots: 0 is refused: use a whole number from 1 to 65536"
)]
#[case::ttl_out_of_range(
    r#"600000"#,
    "600001",
    "ttl_ms: 600001 is refused: use a whole number from 100 to 600000"
)]
#[case::uppercase_service_name(
    "booking",
    "Booking",
    "service: \"Booking\" is refused: use 1 to 63 of the characters a-z, 0-9 and -"
)]
#[case::no_port(
    "127.0.0.1:9",
    "127.0.0.1:0",
    "addr: 127.0.0.1:0 is refused: use the IP address and port of the backend server"
)]
#[tokio::test]
async fn an_invalid_announcement_is_refused_and_changes_nothing(
    #[case] from: &str,
    #[case] to: &str,
    #[case] message: &str,
) {
    let log = log_with(Limits::default()).await;
    let node = node(&log).await;
    assert_eq!(announce(&node, VALID_ANNOUNCEMENT.into()).await.status, 204);
    let before = node.shared().backend.borrow().clone();
    let response = announce(&node, VALID_ANNOUNCEMENT.replace(from, to)).await;
    let body: Value = serde_json::from_slice(&response.body.unwrap()).unwrap();
    assert_eq!(
        (response.status.as_u16(), body),
        (400, json!({"error": message}))
    );
    assert_eq!(*node.shared().backend.borrow(), before);
}

#[tokio::test]
async fn an_announcement_that_is_not_renewed_expires() {
    let log = log_with(Limits::default()).await;
    let node = node(&log).await;
    let id = node.shared().id;
    announce(&node, VALID_ANNOUNCEMENT.replace("600000", "100")).await;
    wait_until_routed(&node, id).await;
    until(|| !node.shared().view.load().has_candidate(id)).await;
    assert_eq!(get_json(&node, "/v1/state").await["backend"], Value::Null);
}

#[tokio::test]
async fn admin_endpoints_return_state_members_and_table() {
    let log = log_with(Limits::default()).await;
    let node = node(&log).await;
    let backend = backend_at(&node, BackendSettings::new(SERVICE)).await;
    let state = get_json(&node, "/v1/state").await;
    let id = node.shared().id.to_string();
    let fields = ["id", "domain", "version", "position", "ready", "reason"].map(|k| &state[k]);
    assert_eq!(
        fields,
        [
            &json!(id),
            &json!("norte"),
            &json!(1),
            &json!(1),
            &json!(true),
            &json!("ready")
        ]
    );
    assert_eq!(state["backend"]["addr"], json!(backend.addr()));
    let members = get_json(&node, "/v1/members").await;
    assert_eq!(members[0]["id"], json!(id));
    let table = json!([
        [{"service": SERVICE}, {"service": {"rate": 0, "concurrency": 0, "timeout_ms": 0}}],
        [{"route": ["/", SERVICE]}, {"route": 1}],
    ]);
    assert_eq!(get_json(&node, "/v1/table").await, table);
}

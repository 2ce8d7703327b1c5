//! `status` and `--wait` against fake nodes that serve only the admin address.

mod common;

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use axum::routing::get;
use axum::{Json, Router};
use common::{CliOutput, TestEnv, mask_ids, wait};
use serde_json::{Value, json};
use swiftcart_core::{
    Backend, FailureDomain, Incarnation, Liveness, Member, NodeId, Readiness, ServiceName,
};
use tokio::net::TcpListener;

const NORTE: &str = "127.0.0.1:7101";
const SUR: &str = "127.0.0.1:7102";
const DEAD: &str = "127.0.0.1:7103";

/// Serves the admin address of the node `id`. The returned counter sets its version.
async fn node(id: &str, version: u64, others: Vec<Member>) -> (Member, Arc<AtomicU64>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let me = member(id, listener.local_addr().expect("a bound port"));
    let current = Arc::new(AtomicU64::new(version));
    let (served_version, served_member) = (current.clone(), me.clone());
    let state = move || {
        let version = served_version.load(Ordering::SeqCst);
        std::future::ready(Json(state(&served_member, version)))
    };
    let members: Vec<_> = others.into_iter().chain([me.clone()]).collect();
    let router = Router::new()
        .route("/v1/members", get(|| std::future::ready(Json(members))))
        .route("/v1/state", get(state));
    tokio::spawn(async move { axum::serve(listener, router).await });
    (me, current)
}

fn state(member: &Member, version: u64) -> Value {
    json!({
        "id": member.id, "domain": member.domain, "version": version, "position": version,
        "digest": "00", "ready": version > 0, "reason": (version == 0).then_some("no table yet"),
        "stalled_rule": null, "backend": member.backend, "uptime_ms": 5, "later_field": 1,
    })
}

fn member(id: &str, admin: SocketAddr) -> Member {
    let id: SocketAddr = id.parse().expect("an address");
    let domain = if id.port() == 7101 { "norte" } else { "sur" };
    Member {
        id: NodeId(id),
        sync: id,
        peer: id,
        admin,
        domain: FailureDomain::new(domain),
        incarnation: Incarnation(1),
        liveness: Liveness::Alive,
        backend: Some(Backend {
            service: ServiceName::new("booking"),
            addr: id,
            slots: 10,
            connections: 130,
            readiness: Readiness::Ready,
        }),
        pace: None,
    }
}

/// Returns an address on which nothing listens.
///
/// The address is fixed, since another test could bind a free port in the meantime.
fn closed_addr() -> SocketAddr {
    SocketAddr::from(([127, 255, 255, 254], 1))
}

async fn env_with_table() -> TestEnv {
    let env = TestEnv::new().await;
    env.sheet("first.csv", 0, "service,booking,,,50,10,2000\n");
    assert_eq!(env.run("table publish first.csv").code, Some(0));
    env
}

fn collapse_spaces(text: &str) -> Vec<String> {
    let words = |line: &str| line.split_whitespace().collect::<Vec<_>>().join(" ");
    text.lines().map(words).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn status_shows_versions_stragglers_and_unreachable_nodes() {
    let env = env_with_table().await;
    let unreachable = member(SUR, closed_addr());
    let mut dead = member(DEAD, closed_addr());
    dead.liveness = Liveness::Dead;
    dead.backend = None;
    let (norte, version) = node(NORTE, 1, vec![unreachable, dead]).await;
    let words = format!("--node {} --node {} status", closed_addr(), norte.admin);
    let expected = [
        "node domain service liveness version ready note",
        "127.0.0.1:7101 norte booking alive 1 yes",
        "127.0.0.1:7102 sur booking alive - - unreachable",
        "127.0.0.1:7103 sur - dead - -",
        "",
        "1 of 2 live nodes are at version 1",
        "stragglers: 127.0.0.1:7102 (sur) unreachable",
    ];
    let output = env.run(&words);
    assert_eq!(
        (output.code, collapse_spaces(&output.out)),
        (Some(0), expected.map(String::from).to_vec())
    );
    version.store(0, Ordering::SeqCst);
    let json = env.json(&words);
    let stragglers = json!([
        {"node": NORTE, "domain": "norte", "version": 0},
        {"node": SUR, "domain": "sur", "version": null, "error": "unreachable"},
    ]);
    assert_eq!(
        (&json["head"], &json["stragglers"]),
        (&json!(1), &stragglers)
    );
    assert_eq!(json["nodes"][0]["reason"], "no table yet");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_state_with_the_id_of_another_node_is_rejected() {
    let env = env_with_table().await;
    let (sur, _) = node(SUR, 1, Vec::new()).await;
    let replaced = member(DEAD, sur.admin);
    let (norte, _) = node(NORTE, 1, vec![sur, replaced]).await;
    let json = env.json(&format!("--node {} status", norte.admin));
    let error = "gave an unexpected response";
    let stragglers = json!([{"node": DEAD, "domain": "sur", "version": null, "error": error}]);
    assert_eq!(json["stragglers"], stragglers);
}

#[tokio::test(flavor = "multi_thread")]
async fn wait_ends_when_the_last_live_node_has_the_version() {
    let env = env_with_table().await;
    let (sur, version) = node(SUR, 0, Vec::new()).await;
    let (norte, _) = node(NORTE, 1, vec![sur]).await;
    let words = format!("--node {} table publish first.csv --wait", norte.admin);
    let mut child = env.spawn(&words);
    let mut err = BufReader::new(child.stderr.take().expect("a pipe"));
    let mut line = String::new();
    err.read_line(&mut line).expect("what was published");
    let unchanged = "nothing to change: the table already has these rows as of version 1\n";
    assert_eq!(line, unchanged);
    line.clear();
    err.read_line(&mut line).expect("a line of progress");
    let waiting = "version 1: 1 of 2 live nodes, waiting for 127.0.0.1:7102 (sur) has version 0\n";
    assert_eq!(line, waiting);
    version.store(1, Ordering::SeqCst);
    let output = wait(child);
    let out = "version 1 is in force on all live nodes\n";
    assert_eq!((output.code, output.out.as_str()), (Some(0), out));
    line.clear();
    err.read_line(&mut line).expect("a line of progress");
    assert_eq!(line, "version 1: 2 of 2 live nodes\n");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_wait_that_times_out_lists_the_stragglers() {
    let env = env_with_table().await;
    let unreachable = member(SUR, closed_addr());
    let (norte, _) = node(NORTE, 0, vec![unreachable]).await;
    env.sheet("edit.csv", 1, "service,booking,,,60,10,2000\n");
    let words = format!("--node {} table publish edit.csv --wait 1", norte.admin);
    let output = env.run(&words);
    let expected = CliOutput {
        code: Some(6),
        out: "version 2 is accepted but not yet in force on:\n  \
            127.0.0.1:7101 (norte) has version 0\n  127.0.0.1:7102 (sur) unreachable\n"
            .into(),
        err: "accepted as version 2: 1 row, id ID\nversion 2: 0 of 2 live nodes, waiting for 127.0.0.1:7101 (norte) has version 0; \
            127.0.0.1:7102 (sur) unreachable\n"
            .into(),
    };
    let masked_output = CliOutput {
        code: output.code,
        out: mask_ids(&output.out),
        err: mask_ids(&output.err),
    };
    assert_eq!(masked_output, expected);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_wait_without_any_answering_node_fails() {
    let env = env_with_table().await;
    let words = format!("--node {} table publish first.csv --wait=1", closed_addr());
    let output = env.run(&words);
    assert_eq!(output.code, Some(6), "{output:?}");
    let output = env.run(&format!("--node {} status", closed_addr()));
    assert_eq!(output.code, Some(1), "{output:?}");
}

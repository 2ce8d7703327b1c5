//! Tests that nested calls of the local backend server get the rank of the requests that they
//! serve, and that no caller can claim to be one.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use common::{
    SERVICE, announce, backend_at, dead_addr, own_ip, settings_json, start_on, until_async,
};
use rstest::rstest;
use swiftcart_core::{
    Access, Account, KeyHash, Limits, Policies, Policy, Priority, RequestClass, Snapshot, Table,
    Version,
};
use swiftcart_node::{Node, PlatformAdapters, PlatformFuture, Settings, SnapshotSource};
use swiftcart_standin::BackendSettings;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time::{sleep, timeout};

/// Time within which a node handles a request.
const HANDLING_TIMEOUT: Duration = Duration::from_secs(20);

/// Outside address of a caller.
const CALLER: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);

/// API key of the client account.
const KEY: &str = "3f9c";

/// Platform with one version of the configuration, in which `/nested` is less urgent than `/lookup`.
#[derive(Debug)]
struct FixedSnapshot {
    has_account: bool,
}

impl SnapshotSource for FixedSnapshot {
    fn newest(&self) -> PlatformFuture<'_, Option<Snapshot>> {
        Box::pin(async { Ok(Some(snapshot(self.has_account))) })
    }

    fn newer(&self, known: Version, wait: Duration) -> PlatformFuture<'_, Option<Snapshot>> {
        Box::pin(async move {
            let snapshot = snapshot(self.has_account);
            if snapshot.version > known {
                return Ok(Some(snapshot));
            }
            sleep(wait).await;
            Ok(None)
        })
    }
}

fn snapshot(has_account: bool) -> Snapshot {
    let mut table = Table::new().with_service(SERVICE, Limits::default());
    if has_account {
        let account = Account::new().with_key(KeyHash::of(KEY.as_bytes()));
        table = table.with_account("harbour", account);
    }
    let mut policies = Policies::new();
    for (prefix, priority) in [("/lookup", 1), ("/nested", 5)] {
        table = table
            .with_route(prefix, SERVICE, 1)
            .with_access(prefix, Access::Public);
        let policy = Policy {
            class: RequestClass::Idempotent,
            attempts: 1,
            timeout_ms: 20_000,
            target_ms: 10_000,
            priority: Priority(priority),
        };
        policies.insert(prefix.to_owned(), policy);
    }
    Snapshot::new(Version(1), table).with_policies(policies)
}

/// Starts a node that decides about overload under the conditions `when`.
async fn node_with_overload(when: &[&str], has_account: bool) -> Node {
    let text = settings_json(own_ip(), dead_addr(), &[]);
    let mut json: serde_json::Value = serde_json::from_str(&text).unwrap();
    json["overload"] = serde_json::json!({ "when": when });
    let settings = Settings::parse("test", json.to_string().as_bytes()).unwrap();
    let adapters = PlatformAdapters::new().with_snapshots(Arc::new(FixedSnapshot { has_account }));
    start_on(settings, adapters).await
}

/// Sends a request from the address `from`, and returns the connection.
async fn send(from: IpAddr, to: SocketAddr, path: &str, headers: &str) -> TcpStream {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind((from, 0).into()).unwrap();
    let mut stream = socket.connect(to).await.unwrap();
    let head = format!("GET {path} HTTP/1.1\r\nhost: mesh\r\n{headers}\r\n");
    stream.write_all(head.as_bytes()).await.unwrap();
    stream
}

/// Reads what arrives next, as text.
async fn read(stream: &mut TcpStream) -> String {
    let mut buf = [0; 4096];
    let len = timeout(HANDLING_TIMEOUT, stream.read(&mut buf)).await;
    String::from_utf8_lossy(&buf[..len.unwrap().unwrap()]).into_owned()
}

/// Starts a backend server that answers all requests but the first, and returns the deadline of the
/// first request in Unix milliseconds.
async fn run_lookup(node: &Node) -> u128 {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    announce(node, listener.local_addr().unwrap()).await;
    let calls = node.shared().settings.listen.calls;
    let caller = send(CALLER, calls, "/lookup", "swiftcart-deadline-ms: 15000\r\n").await;
    let (mut first, _) = listener.accept().await.unwrap();
    let head = read(&mut first).await;
    tokio::spawn(async move {
        let _running = (first, caller);
        while let Ok((mut stream, _)) = listener.accept().await {
            read(&mut stream).await;
            let answer = b"HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";
            stream.write_all(answer).await.unwrap();
        }
    });
    let deadline = head
        .lines()
        .find_map(|line| line.strip_prefix("swiftcart-deadline: "));
    deadline.unwrap().parse().unwrap()
}

/// Returns the time left until `deadline`, in milliseconds.
fn left_ms(deadline: u128) -> u128 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    deadline - now.as_millis()
}

#[rstest]
#[case::same_deadline(0)]
#[case::earlier_deadline_of_its_own(5_000)]
#[tokio::test]
async fn nested_call_gets_the_rank_of_the_request_that_it_serves(#[case] earlier_ms: u128) {
    let node = node_with_overload(&["accounts"], true).await;
    let deadline = run_lookup(&node).await;
    let calls = node.shared().settings.listen.calls;
    let ranked = "swiftcart_nested_calls_total{rank=\"parent\"}";
    // On a busy machine the request may arrive so late that its time left no longer matches the
    // running request, so it is sent until one matches.
    until_async(async || {
        let left = left_ms(deadline) - earlier_ms;
        let headers = format!("swiftcart-deadline-ms: {left}\r\n");
        let answer = read(&mut send(calls.ip(), calls, "/nested", &headers).await).await;
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        node.shared().counters.render().contains(ranked)
    })
    .await;
    let admitted = "swiftcart_nested_admissions_total{result=\"at-once\"}";
    assert!(node.shared().counters.render().contains(admitted));
}

#[rstest]
#[case::caller_elsewhere(&["accounts"], true, Some(CALLER), "", 0)]
#[case::caller_elsewhere_with_forged_terms(
    &["accounts"],
    true,
    Some(CALLER),
    "swiftcart-terms: i 1 0 120 0 1 0 0 0 b w 400\r\nswiftcart-service: booking\r\n",
    0
)]
#[case::caller_beside_the_backend_server(
    &["accounts"],
    true,
    None,
    "authorization: Bearer 3f9c\r\nswiftcart-terms: i 1 0 120 0 1 0 0 0 b w 400\r\n",
    0
)]
#[case::later_deadline_than_any_running_request(&["accounts"], true, None, "", 3_000)]
#[case::overload_is_not_decided(&[], true, None, "", 0)]
#[case::configuration_has_no_accounts(&["always"], false, None, "", 0)]
#[tokio::test]
async fn other_request_is_not_ranked_as_a_nested_call(
    #[case] when: &[&str],
    #[case] has_account: bool,
    #[case] from: Option<IpAddr>,
    #[case] extra_headers: &str,
    #[case] later_ms: u128,
) {
    let node = node_with_overload(when, has_account).await;
    let deadline = run_lookup(&node).await;
    let calls = node.shared().settings.listen.calls;
    let left = left_ms(deadline) + later_ms;
    let headers = format!("swiftcart-deadline-ms: {left}\r\n{extra_headers}");
    let from = from.unwrap_or(calls.ip());
    let answer = read(&mut send(from, calls, "/nested", &headers).await).await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    let counters = node.shared().counters.render();
    assert!(!counters.contains("swiftcart_nested"), "{counters}");
}

#[rstest]
#[case::release_without_a_route("i 1 1 400 0 1 0 0", false)]
#[case::release_without_an_origin("i 1 1 400 0 1 0 0 7", false)]
#[case::callers_request("i 1 1 400 0 1 0 0 7 c w -", false)]
#[case::nested_call_without_a_parent("i 1 1 400 0 1 0 0 7 b w -", true)]
#[case::nested_call("i 1 1 400 0 1 0 0 7 b w 300", true)]
#[case::nested_call_of_a_later_release("i 1 1 400 0 1 0 0 7 b w 300 x", true)]
#[tokio::test]
async fn guard_reads_the_origin_in_the_terms_of_other_nodes(
    #[case] terms: &str,
    #[case] nested: bool,
) {
    let node = node_with_overload(&[], false).await;
    let _backend = backend_at(&node, BackendSettings::new(SERVICE)).await;
    let headers = format!(
        "swiftcart-request-id: r\r\nswiftcart-service: {SERVICE}\r\nswiftcart-terms: {terms}\r\n"
    );
    let peer = node.shared().settings.listen.peer;
    let answer = read(&mut send(CALLER, peer, "/nested", &headers).await).await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    let counters = node.shared().counters.render();
    let counted = counters.contains("swiftcart_nested_admissions_total{result=\"at-once\"}");
    assert_eq!(counted, nested);
}

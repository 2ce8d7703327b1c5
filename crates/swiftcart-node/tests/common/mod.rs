//! Helpers of the call path tests: nodes, stand-in servers and callers.
#![allow(dead_code, reason = "each test file uses a part")]
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::{BodyExt, Collected, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use swiftcart_core::{
    Backend, Body, Envelope, Limits, NodeId, Publish, PublishId, Readiness, ServiceName, Table,
    Version, diff,
};
use swiftcart_node::{Node, OverloadTrigger, Phase, PlatformAdapters, Settings, silent_log};
use swiftcart_standin::{BackendServer, BackendSettings, Log};
use tokio::net::TcpStream;

/// Service that the tests' table routes `/` to.
pub const SERVICE: &str = "booking";

/// Maximum time for a condition to become true.
const CONDITION_TIMEOUT: Duration = Duration::from_secs(20);

static NEXT_ADDRESS: AtomicU16 = AtomicU16::new(1);

/// Returns a loopback address that no other test uses, so that fixed ports never collide.
pub fn own_ip() -> Ipv4Addr {
    let [.., high, low] = std::process::id().to_be_bytes();
    let n = NEXT_ADDRESS.fetch_add(1, Ordering::Relaxed);
    let n = u8::try_from(n).expect("at most 255 addresses per test process");
    Ipv4Addr::new(127, high, low, n)
}

/// Returns an address on which nothing ever listens.
///
/// A free port of a shared address would not do, because another test's listener may get it.
pub fn dead_addr() -> SocketAddr {
    (own_ip(), 9).into()
}

/// Returns the settings of a node at `ip` as JSON.
pub fn settings_json(ip: Ipv4Addr, log: SocketAddr, seeds: &[SocketAddr]) -> String {
    serde_json::json!({
        "domain": "norte",
        "listen": {
            "calls": format!("{ip}:7001"), "peer": format!("{ip}:7002"),
            "admin": format!("{ip}:7003"), "gossip": format!("{ip}:7004"),
            "sync": format!("{ip}:7005"),
        },
        "seeds": seeds,
        "platform": {"addr": log},
        "mesh_key": "0123456789abcdef0123456789abcdef",
    })
    .to_string()
}

/// Starts a log with a table of one route and one service.
pub async fn log_with(limits: Limits) -> Log {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let log = Log::start(any).await.unwrap();
    let table = Table::new()
        .with_service(SERVICE, limits)
        .with_route("/", SERVICE, 1);
    let publish = Publish {
        id: PublishId(1),
        author: "test".into(),
        base: Version::NONE,
        edits: diff(&Table::new(), &table),
    };
    let body = Envelope::new(Body::Publish(publish)).encode();
    log.append("config", &body).unwrap();
    log
}

/// Starts a node without seeds and waits until it is ready.
pub async fn node(log: &Log) -> Node {
    start(log, &[]).await
}

/// Starts a node that joins through `seed` and waits until it is ready.
pub async fn joining_node(seed: SocketAddr, log: &Log) -> Node {
    start(log, &[seed]).await
}

/// Starts a node that joins `other`, and waits until it routes to the backend server of `other`.
pub async fn node_beside(other: &Node, log: &Log) -> Node {
    let node = joining_node(other.shared().id.0, log).await;
    wait_until_routed(&node, other.shared().id).await;
    node
}

/// Starts a node that joins `other`, with settings changed by `change`, and waits until it is ready.
pub async fn node_with(other: &Node, log: &Log, change: impl FnOnce(&mut Settings)) -> Node {
    start_changed(log, &[other.shared().id.0], change).await
}

/// Starts a node with a link rate of `mbit_s` and waits until it is ready.
pub async fn node_on_link(log: &Log, mbit_s: f64) -> Node {
    start_changed(log, &[], |settings| settings.link.mbit_s = mbit_s).await
}

/// Starts a node without seeds, with settings changed by `change`, and waits until it is ready.
pub async fn node_changed(log: &Log, change: impl FnOnce(&mut Settings)) -> Node {
    start_changed(log, &[], change).await
}

/// Starts a node that reads the load of its backend server from the header `name`.
pub async fn node_that_reads_load(log: &Log, name: &str) -> Node {
    let name = name.to_owned().try_into().unwrap();
    start_changed(log, &[], |settings| settings.headers.load = Some(name)).await
}

/// Starts a node that decides about overload under the conditions `when`.
pub async fn node_deciding(log: &Log, when: &[OverloadTrigger]) -> Node {
    start_changed(log, &[], |settings| settings.overload.when = when.to_vec()).await
}

async fn start(log: &Log, seeds: &[SocketAddr]) -> Node {
    start_changed(log, seeds, |_| {}).await
}

/// Starts a node with settings changed by `change`, and waits until it is ready.
async fn start_changed(
    log: &Log,
    seeds: &[SocketAddr],
    change: impl FnOnce(&mut Settings),
) -> Node {
    let mut settings = settings(log, seeds);
    change(&mut settings);
    start_on(settings, PlatformAdapters::new()).await
}

fn settings(log: &Log, seeds: &[SocketAddr]) -> Settings {
    let text = settings_json(own_ip(), log.addr(), seeds);
    Settings::parse("test", text.as_bytes()).unwrap()
}

/// Starts a node on the platform that `adapters` connect it to, and waits until it is ready.
pub async fn start_on(settings: Settings, adapters: PlatformAdapters) -> Node {
    let node = Node::start_with(settings, adapters, silent_log());
    let node = node.await.unwrap();
    let mut phase = node.shared().phase.subscribe();
    let ready = phase.wait_for(|phase| *phase == Phase::Ready);
    tokio::time::timeout(CONDITION_TIMEOUT, ready)
        .await
        .unwrap()
        .unwrap();
    node
}

/// Starts a backend server that announces itself to `node`, and waits until `node` routes to it.
pub async fn backend_at(node: &Node, settings: BackendSettings) -> BackendServer {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let admin = node.shared().settings.listen.admin;
    let backend = BackendServer::start(any, settings.with_admin(admin))
        .await
        .unwrap();
    wait_until_routed(node, node.shared().id).await;
    backend
}

/// Announces `addr` as the address of the backend server beside `node`.
pub async fn announce(node: &Node, addr: SocketAddr) {
    node.shared().backend.send_replace(Some(Backend {
        service: ServiceName::new(SERVICE),
        addr,
        slots: 4,
        connections: 4,
        readiness: Readiness::Ready,
    }));
    wait_until_routed(node, node.shared().id).await;
}

/// Waits until `node` routes to the backend server beside `id`.
pub async fn wait_until_routed(node: &Node, id: NodeId) {
    until(|| node.shared().view.load().has_candidate(id)).await;
}

/// Waits until `condition` is true.
pub async fn until(mut condition: impl FnMut() -> bool) {
    until_async(async || condition()).await;
}

/// Waits until `condition` is true; the condition may use the network.
pub async fn until_async(mut condition: impl AsyncFnMut() -> bool) {
    let wait = async {
        while !condition().await {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    };
    tokio::time::timeout(CONDITION_TIMEOUT, wait)
        .await
        .expect("condition not met before the timeout");
}

/// Response that a caller received.
#[derive(Debug, PartialEq, Eq)]
pub struct Reply {
    pub status: StatusCode,
    pub headers: HeaderMap,
    /// `None` when the response ended early.
    pub body: Option<Bytes>,
}

impl Reply {
    /// Returns the status, the outcome and the reason, with `-` for an absent header.
    pub fn summary(&self) -> (u16, &str, &str) {
        let text = |name| self.headers.get(name).map_or("-", |v| v.to_str().unwrap());
        let outcome = text("swiftcart-outcome");
        (self.status.as_u16(), outcome, text("swiftcart-reason"))
    }
}

/// Sends one request on a new connection and returns the head of the response.
pub async fn head(node: &Node, request: Request<Full<Bytes>>) -> Response<Incoming> {
    head_at(node.shared().settings.listen.calls, request).await
}

async fn head_at(addr: SocketAddr, request: Request<Full<Bytes>>) -> Response<Incoming> {
    let socket = TcpStream::connect(addr).await.unwrap();
    let (mut sender, conn) = http1::handshake(TokioIo::new(socket)).await.unwrap();
    tokio::spawn(conn);
    sender.send_request(request).await.unwrap()
}

/// Sends one request on a new connection and reads the response.
pub async fn call(node: &Node, request: Request<Full<Bytes>>) -> Reply {
    call_at(node.shared().settings.listen.calls, request).await
}

/// Sends one request to `addr` on a new connection and reads the response.
pub async fn call_at(addr: SocketAddr, request: Request<Full<Bytes>>) -> Reply {
    let (head, body) = head_at(addr, request).await.into_parts();
    Reply {
        status: head.status,
        headers: head.headers,
        body: body.collect().await.ok().map(Collected::to_bytes),
    }
}

/// Creates a request with `headers`; its body is empty for `GET` and a fixed text otherwise.
pub fn request(method: &str, path: &str, headers: &[(&str, &str)]) -> Request<Full<Bytes>> {
    let mut request = Request::builder()
        .method(method)
        .uri(path)
        .header("host", "mesh");
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let body = match method {
        "GET" => Full::default(),
        _ => Full::from("turn on the water"),
    };
    request.body(body).unwrap()
}

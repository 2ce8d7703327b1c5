//! The graceful stop of the real program.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use std::net::{Ipv4Addr, SocketAddr};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use common::{SERVICE, dead_addr, log_with, own_ip, settings_json, until_async};
use rstest::rstest;
use swiftcart_core::Limits;
use swiftcart_standin::{BackendServer, BackendSettings};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// A running `swiftcartd`, killed when the test fails.
struct Daemon {
    child: Child,
    ip: Ipv4Addr,
    _settings: tempfile::NamedTempFile,
}

impl Daemon {
    fn start(log: SocketAddr) -> Self {
        Self::start_with(log, &[], 0)
    }

    /// Starts a daemon that finds others at `seeds` and serves for `linger_ms` when it stops.
    fn start_with(log: SocketAddr, seeds: &[SocketAddr], linger_ms: u32) -> Self {
        let ip = own_ip();
        let settings = tempfile::NamedTempFile::new().unwrap();
        let mut json: serde_json::Value =
            serde_json::from_str(&settings_json(ip, log, seeds)).unwrap();
        json["stop"] = serde_json::json!({"linger_ms": linger_ms});
        std::fs::write(settings.path(), json.to_string()).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_swiftcartd"))
            .arg("--settings")
            .arg(settings.path())
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        Self {
            child,
            ip,
            _settings: settings,
        }
    }

    fn addr(&self, port: u16) -> SocketAddr {
        (self.ip, port).into()
    }

    fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let status = Command::new("kill").args([name, &pid]).status().unwrap();
        assert!(status.success());
    }

    async fn exit_code(&mut self) -> Option<i32> {
        let mut code = None;
        until_async(async || {
            code = self.child.try_wait().unwrap();
            code.is_some()
        })
        .await;
        code.and_then(|code| code.code())
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Sends `text` on a new connection and returns what comes back until the end.
async fn exchange(addr: SocketAddr, text: &str) -> String {
    let mut got = Vec::new();
    if let Ok(mut socket) = TcpStream::connect(addr).await {
        let _ = socket.write_all(text.as_bytes()).await;
        let _ = socket.read_to_end(&mut got).await;
    }
    String::from_utf8_lossy(&got).into_owned()
}

async fn ready(daemon: &Daemon) {
    let get = "GET / HTTP/1.1\r\nhost: mesh\r\nconnection: close\r\n\r\n";
    until_async(async || {
        let got = exchange(daemon.addr(7001), get).await;
        got.starts_with("HTTP/1.1 200")
    })
    .await;
}

async fn stopping(daemon: &Daemon) {
    until_async(async || phase(daemon).await == "stopping").await;
}

/// Returns what the daemon says of its phase.
async fn phase(daemon: &Daemon) -> String {
    let get = "GET /readyz HTTP/1.1\r\nhost: mesh\r\nconnection: close\r\n\r\n";
    let answer = exchange(daemon.addr(7003), get).await;
    answer.lines().last().unwrap_or_default().to_owned()
}

#[tokio::test]
async fn a_stop_cuts_off_no_upload_and_takes_no_new_work() {
    let log = log_with(Limits::default()).await;
    let mut daemon = Daemon::start(log.addr());
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let settings = BackendSettings::new(SERVICE).with_admin(daemon.addr(7003));
    let backend = BackendServer::start(any, settings).await.unwrap();
    ready(&daemon).await;

    const LEN: usize = 1 << 20;
    let half = vec![7; LEN / 2];
    let mut upload = TcpStream::connect(daemon.addr(7001)).await.unwrap();
    let head = format!("PUT /footage HTTP/1.1\r\nhost: mesh\r\ncontent-length: {LEN}\r\n\r\n");
    upload.write_all(head.as_bytes()).await.unwrap();
    upload.write_all(&half).await.unwrap();
    until_async(async || backend.stats().bytes_in >= (LEN / 2) as u64).await;

    daemon.signal("-TERM");
    let post = "POST / HTTP/1.1\r\nhost: mesh\r\nx-request-id: new\r\ncontent-length: 0\r\n\r\n";
    stopping(&daemon).await;
    let refused = exchange(daemon.addr(7001), post).await;
    assert!(refused.contains("swiftcart-reason: stopping"), "{refused}");
    assert!(refused.contains("connection: close"), "{refused}");
    // The listener is closed after the notice; the upload goes on.
    until_async(async || TcpStream::connect(daemon.addr(7001)).await.is_err()).await;

    upload.write_all(&half).await.unwrap();
    let mut answer = String::new();
    upload.read_to_string(&mut answer).await.unwrap();
    let digest = blake3::hash(&vec![7; LEN]).to_hex();
    assert!(answer.contains(digest.as_str()), "{answer}");
    assert_eq!(daemon.exit_code().await, Some(0));
}

#[tokio::test]
async fn a_node_that_leaves_still_runs_what_other_nodes_send() {
    let log = log_with(Limits::default()).await;
    let leaving = Daemon::start_with(log.addr(), &[], 2000);
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let settings = BackendSettings::new(SERVICE).with_admin(leaving.addr(7003));
    let _backend = BackendServer::start(any, settings).await.unwrap();
    let other = Daemon::start_with(log.addr(), &[leaving.addr(7004)], 0);
    ready(&leaving).await;
    ready(&other).await;

    leaving.signal("-TERM");
    until_async(async || phase(&leaving).await == "leaving").await;
    let get = "GET / HTTP/1.1\r\nhost: mesh\r\nconnection: close\r\n\r\n";
    for _ in 0..10 {
        let answer = exchange(other.addr(7001), get).await;
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        assert_eq!(phase(&leaving).await, "leaving");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    // Nothing is lost either while the node says that it leaves and then refuses.
    while phase(&leaving).await == "leaving" {
        let answer = exchange(other.addr(7001), get).await;
        let refused = answer.contains("swiftcart-reason");
        assert!(answer.starts_with("HTTP/1.1 200") || refused, "{answer}");
    }
}

#[tokio::test]
async fn calls_through_a_node_that_finishes_go_to_other_nodes() {
    let log = log_with(Limits::default()).await;
    let leaving = Daemon::start_with(log.addr(), &[], 500);
    let other = Daemon::start_with(log.addr(), &[leaving.addr(7004)], 0);
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let beside = |daemon: &Daemon| BackendSettings::new(SERVICE).with_admin(daemon.addr(7003));
    let own = BackendServer::start(any, beside(&leaving)).await.unwrap();
    let far = BackendServer::start(any, beside(&other)).await.unwrap();
    ready(&leaving).await;
    ready(&other).await;
    let get = "GET / HTTP/1.1\r\nhost: mesh\r\nconnection: close\r\n\r\n";
    // Until each node knows the other's backend server.
    until_async(async || {
        exchange(leaving.addr(7001), get).await;
        exchange(other.addr(7001), get).await;
        own.stats().runs.started > 0 && far.stats().runs.started > 0
    })
    .await;

    leaving.signal("-TERM");
    until_async(async || phase(&leaving).await == "finishing").await;
    let before = own.stats().runs.started;
    let answer = exchange(leaving.addr(7001), get).await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert_eq!(
        own.stats().runs.started,
        before,
        "its own takes nothing new"
    );
}

#[rstest]
#[case::terminated_twice("-TERM")]
#[case::interrupted("-INT")]
#[tokio::test]
async fn a_second_signal_ends_the_process_at_once(#[case] second: &str) {
    let log = log_with(Limits::default()).await;
    let mut daemon = Daemon::start(log.addr());
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let settings = BackendSettings::new(SERVICE).with_admin(daemon.addr(7003));
    let _backend = BackendServer::start(any, settings).await.unwrap();
    ready(&daemon).await;
    let mut upload = TcpStream::connect(daemon.addr(7001)).await.unwrap();
    let head = "PUT / HTTP/1.1\r\nhost: mesh\r\ncontent-length: 9\r\n\r\n";
    upload.write_all(head.as_bytes()).await.unwrap();
    daemon.signal("-TERM");
    let state = "GET /readyz HTTP/1.1\r\nhost: mesh\r\nconnection: close\r\n\r\n";
    until_async(async || {
        exchange(daemon.addr(7003), state)
            .await
            .ends_with("stopping")
    })
    .await;
    daemon.signal(second);
    assert_eq!(daemon.exit_code().await, Some(1));
    // The upload, still in flight, would have kept the process for ever.
    tokio::time::timeout(Duration::from_secs(5), upload.read(&mut [0]))
        .await
        .expect("the connection ends with the process")
        .ok();
}

#[tokio::test]
async fn a_node_that_stops_before_it_knew_a_configuration_denies_no_route() {
    let mut daemon = Daemon::start_with(dead_addr(), &[], 3_000);
    until_async(async || phase(&daemon).await == "no-config").await;
    daemon.signal("-TERM");
    until_async(async || phase(&daemon).await == "leaving").await;
    let get = "GET / HTTP/1.1\r\nhost: mesh\r\nconnection: close\r\n\r\n";
    let got = exchange(daemon.addr(7001), get).await;
    assert!(got.starts_with("HTTP/1.1 503"), "{got}");
    assert!(got.contains("swiftcart-reason: not-ready"), "{got}");
    assert_eq!(daemon.exit_code().await, Some(0));
}

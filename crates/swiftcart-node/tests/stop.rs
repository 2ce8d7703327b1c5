//! Tests of the graceful shutdown of the `swiftcartd` program.
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

/// Running `swiftcartd` process, which is killed on drop.
struct Daemon {
    child: Child,
    ip: Ipv4Addr,
    _settings: tempfile::NamedTempFile,
}

impl Daemon {
    fn start(log: SocketAddr) -> Self {
        Self::start_with(log, &[], 0)
    }

    /// Starts a daemon with the given seeds and linger time.
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

/// Sends `text` on a new connection and returns everything received until it is closed.
async fn send_raw(addr: SocketAddr, text: &str) -> String {
    let mut received = Vec::new();
    if let Ok(mut socket) = TcpStream::connect(addr).await {
        let _ = socket.write_all(text.as_bytes()).await;
        let _ = socket.read_to_end(&mut received).await;
    }
    String::from_utf8_lossy(&received).into_owned()
}

async fn wait_until_ready(daemon: &Daemon) {
    let get = "GET / HTTP/1.1\r\nhost: mesh\r\nconnection: close\r\n\r\n";
    until_async(async || {
        let received = send_raw(daemon.addr(7001), get).await;
        received.starts_with("HTTP/1.1 200")
    })
    .await;
}

async fn wait_until_stopping(daemon: &Daemon) {
    until_async(async || phase(daemon).await == "stopping").await;
}

/// Returns the phase that the daemon reports on `/readyz`.
async fn phase(daemon: &Daemon) -> String {
    let get = "GET /readyz HTTP/1.1\r\nhost: mesh\r\nconnection: close\r\n\r\n";
    let response = send_raw(daemon.addr(7003), get).await;
    response.lines().last().unwrap_or_default().to_owned()
}

#[tokio::test]
async fn shutdown_completes_uploads_and_refuses_new_requests() {
    let log = log_with(Limits::default()).await;
    let mut daemon = Daemon::start(log.addr());
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let settings = BackendSettings::new(SERVICE).with_admin(daemon.addr(7003));
    let backend = BackendServer::start(any, settings).await.unwrap();
    wait_until_ready(&daemon).await;

    const LEN: usize = 1 << 20;
    let half = vec![7; LEN / 2];
    let mut upload = TcpStream::connect(daemon.addr(7001)).await.unwrap();
    let head = format!("PUT /footage HTTP/1.1\r\nhost: mesh\r\ncontent-length: {LEN}\r\n\r\n");
    upload.write_all(head.as_bytes()).await.unwrap();
    upload.write_all(&half).await.unwrap();
    until_async(async || backend.stats().bytes_in >= (LEN / 2) as u64).await;

    daemon.signal("-TERM");
    let post = "POST / HTTP/1.1\r\nhost: mesh\r\nx-request-id: new\r\ncontent-length: 0\r\n\r\n";
    wait_until_stopping(&daemon).await;
    let refused = send_raw(daemon.addr(7001), post).await;
    assert!(refused.contains("swiftcart-reason: stopping"), "{refused}");
    assert!(refused.contains("connection: close"), "{refused}");
    // The listener is closed after the notice time, while the upload continues.
    until_async(async || TcpStream::connect(daemon.addr(7001)).await.is_err()).await;

    upload.write_all(&half).await.unwrap();
    let mut response = String::new();
    upload.read_to_string(&mut response).await.unwrap();
    let digest = blake3::hash(&vec![7; LEN]).to_hex();
    assert!(response.contains(digest.as_str()), "{response}");
    assert_eq!(daemon.exit_code().await, Some(0));
}

#[tokio::test]
async fn leaving_node_still_serves_requests_of_other_nodes() {
    let log = log_with(Limits::default()).await;
    let leaving = Daemon::start_with(log.addr(), &[], 2000);
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let settings = BackendSettings::new(SERVICE).with_admin(leaving.addr(7003));
    let _backend = BackendServer::start(any, settings).await.unwrap();
    let other = Daemon::start_with(log.addr(), &[leaving.addr(7004)], 0);
    wait_until_ready(&leaving).await;
    wait_until_ready(&other).await;

    leaving.signal("-TERM");
    until_async(async || phase(&leaving).await == "leaving").await;
    let get = "GET / HTTP/1.1\r\nhost: mesh\r\nconnection: close\r\n\r\n";
    for _ in 0..10 {
        let response = send_raw(other.addr(7001), get).await;
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
        assert_eq!(phase(&leaving).await, "leaving");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    // No request is lost while the node announces that it leaves and then refuses requests.
    while phase(&leaving).await == "leaving" {
        let response = send_raw(other.addr(7001), get).await;
        let refused = response.contains("swiftcart-reason");
        assert!(
            response.starts_with("HTTP/1.1 200") || refused,
            "{response}"
        );
    }
}

#[tokio::test]
async fn finishing_node_forwards_calls_to_other_nodes() {
    let log = log_with(Limits::default()).await;
    let leaving = Daemon::start_with(log.addr(), &[], 500);
    let other = Daemon::start_with(log.addr(), &[leaving.addr(7004)], 0);
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let settings_for =
        |daemon: &Daemon| BackendSettings::new(SERVICE).with_admin(daemon.addr(7003));
    let local_backend = BackendServer::start(any, settings_for(&leaving))
        .await
        .unwrap();
    let remote_backend = BackendServer::start(any, settings_for(&other))
        .await
        .unwrap();
    wait_until_ready(&leaving).await;
    wait_until_ready(&other).await;
    let get = "GET / HTTP/1.1\r\nhost: mesh\r\nconnection: close\r\n\r\n";
    // Wait until each node routes requests to both backend servers.
    until_async(async || {
        send_raw(leaving.addr(7001), get).await;
        send_raw(other.addr(7001), get).await;
        local_backend.stats().runs.started > 0 && remote_backend.stats().runs.started > 0
    })
    .await;

    leaving.signal("-TERM");
    until_async(async || phase(&leaving).await == "finishing").await;
    let before = local_backend.stats().runs.started;
    let response = send_raw(leaving.addr(7001), get).await;
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    assert_eq!(
        local_backend.stats().runs.started,
        before,
        "the local backend server got a new request"
    );
}

#[rstest]
#[case::terminate("-TERM")]
#[case::interrupt("-INT")]
#[tokio::test]
async fn second_signal_ends_the_process_at_once(#[case] second: &str) {
    let log = log_with(Limits::default()).await;
    let mut daemon = Daemon::start(log.addr());
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let settings = BackendSettings::new(SERVICE).with_admin(daemon.addr(7003));
    let _backend = BackendServer::start(any, settings).await.unwrap();
    wait_until_ready(&daemon).await;
    let mut upload = TcpStream::connect(daemon.addr(7001)).await.unwrap();
    let head = "PUT / HTTP/1.1\r\nhost: mesh\r\ncontent-length: 9\r\n\r\n";
    upload.write_all(head.as_bytes()).await.unwrap();
    daemon.signal("-TERM");
    let state = "GET /readyz HTTP/1.1\r\nhost: mesh\r\nconnection: close\r\n\r\n";
    until_async(async || {
        send_raw(daemon.addr(7003), state)
            .await
            .ends_with("stopping")
    })
    .await;
    daemon.signal(second);
    assert_eq!(daemon.exit_code().await, Some(1));
    // Without the second signal, the unfinished upload would keep the process running.
    tokio::time::timeout(Duration::from_secs(5), upload.read(&mut [0]))
        .await
        .expect("the connection ends with the process")
        .ok();
}

#[tokio::test]
async fn node_stopping_without_configuration_reports_not_ready() {
    let mut daemon = Daemon::start_with(dead_addr(), &[], 3_000);
    until_async(async || phase(&daemon).await == "no-config").await;
    daemon.signal("-TERM");
    until_async(async || phase(&daemon).await == "leaving").await;
    let get = "GET / HTTP/1.1\r\nhost: mesh\r\nconnection: close\r\n\r\n";
    let received = send_raw(daemon.addr(7001), get).await;
    assert!(received.starts_with("HTTP/1.1 503"), "{received}");
    assert!(
        received.contains("swiftcart-reason: not-ready"),
        "{received}"
    );
    assert_eq!(daemon.exit_code().await, Some(0));
}

//! Tests of HTTP pipelining, and of callers that disconnect while requests are unanswered.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use common::{announce, call, log_with, node, request, until};
use rstest::rstest;
use swiftcart_core::Limits;
use swiftcart_node::Node;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::timeout;

/// Maximum wait for a response before the test fails.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(20);

/// Backend server that answers only once a set number of requests is in progress.
///
/// Each response body is the path of its request.
struct BarrierBackend {
    addr: SocketAddr,
    heads: Arc<AtomicU32>,
    gone: Arc<AtomicU32>,
}

impl BarrierBackend {
    async fn start(concurrent: usize) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let (heads, gone) = (Arc::<AtomicU32>::default(), Arc::<AtomicU32>::default());
        let (counted, left) = (Arc::clone(&heads), Arc::clone(&gone));
        let present = watch::Sender::new(0);
        tokio::spawn(async move {
            while let Ok((socket, _)) = listener.accept().await {
                let (heads, gone) = (Arc::clone(&counted), Arc::clone(&left));
                tokio::spawn(serve(socket, present.clone(), concurrent, heads, gone));
            }
        });
        Self { addr, heads, gone }
    }
}

async fn serve(
    mut socket: TcpStream,
    present: watch::Sender<usize>,
    concurrent: usize,
    heads: Arc<AtomicU32>,
    gone: Arc<AtomicU32>,
) {
    let mut buf = [0; 4096];
    loop {
        let len = socket.read(&mut buf).await.unwrap_or(0);
        if len == 0 {
            return;
        }
        let text = String::from_utf8_lossy(&buf[..len]).into_owned();
        if !text.starts_with("GET ") && !text.starts_with("POST ") {
            // The rest of a body that arrived separately from its head.
            continue;
        }
        heads.fetch_add(1, Ordering::SeqCst);
        let path = text.split(' ').nth(1).unwrap().to_owned();
        present.send_modify(|present| *present += 1);
        let mut others = present.subscribe();
        let mut more = [0; 1];
        tokio::select! {
            _ = others.wait_for(|present| *present >= concurrent) => {}
            _ = socket.read(&mut more) => {
                present.send_modify(|present| *present -= 1);
                gone.fetch_add(1, Ordering::SeqCst);
                return;
            }
        }
        let answer = format!(
            "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{path}",
            path.len()
        );
        socket.write_all(answer.as_bytes()).await.unwrap();
    }
}

async fn connect(node: &Node) -> TcpStream {
    let addr = node.shared().settings.listen.calls;
    TcpStream::connect(addr).await.unwrap()
}

fn get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: mesh\r\n\r\n")
}

/// Reads responses until `count` bodies of three bytes have arrived.
async fn bodies(socket: &mut TcpStream, count: usize) -> Vec<String> {
    let mut text = String::new();
    loop {
        let found: Vec<String> = text
            .split("\r\n\r\n")
            .skip(1)
            .filter_map(|rest| rest.get(..3).map(str::to_owned))
            .collect();
        if found.len() == count {
            return found;
        }
        let mut buf = [0; 4096];
        let read = timeout(RESPONSE_TIMEOUT, socket.read(&mut buf)).await;
        let len = read
            .unwrap_or_else(|_| panic!("no further response after {text:?}"))
            .unwrap();
        assert!(len > 0, "connection closed after {text:?}");
        text.push_str(std::str::from_utf8(&buf[..len]).unwrap());
    }
}

#[rstest]
#[case::in_one_packet(1)]
#[case::in_three_packets(3)]
#[tokio::test]
async fn pipelined_requests_run_concurrently_and_are_answered_in_order(#[case] packets: usize) {
    let log = log_with(Limits::default()).await;
    let node = node(&log).await;
    let backend = BarrierBackend::start(3).await;
    announce(&node, backend.addr).await;
    let mut socket = connect(&node).await;
    let requests = ["/aa", "/bb", "/cc"].map(get);
    match packets {
        1 => socket
            .write_all(requests.concat().as_bytes())
            .await
            .unwrap(),
        _ => {
            for (sent, request) in requests.iter().enumerate() {
                socket.write_all(request.as_bytes()).await.unwrap();
                let heads = u32::try_from(sent).unwrap() + 1;
                until(|| backend.heads.load(Ordering::SeqCst) >= heads).await;
            }
        }
    }
    assert_eq!(bodies(&mut socket, 3).await, ["/aa", "/bb", "/cc"]);
}

#[tokio::test]
async fn requests_after_a_body_receive_their_own_responses() {
    let log = log_with(Limits::default()).await;
    let node = node(&log).await;
    let backend = BarrierBackend::start(1).await;
    announce(&node, backend.addr).await;
    let mut socket = connect(&node).await;
    let chunked = "POST /pp HTTP/1.1\r\nhost: mesh\r\ntransfer-encoding: chunked\r\n\r\n\
        2\r\nhi\r\n0\r\n\r\n";
    let sized = "POST /qq HTTP/1.1\r\nhost: mesh\r\ncontent-length: 2\r\n\r\nhi";
    let all = [chunked, &get("/aa"), sized, &get("/bb"), &get("/cc")].concat();
    socket.write_all(all.as_bytes()).await.unwrap();
    let expected = ["/pp", "/aa", "/qq", "/bb", "/cc"];
    assert_eq!(bodies(&mut socket, 5).await, expected);
}

/// A caller pipelines a non-idempotent request behind another request and disconnects. The
/// disconnect must cancel the running request, although the second request is still unread.
#[tokio::test]
async fn a_disconnect_is_detected_behind_unread_requests() {
    let log = log_with(Limits::default()).await;
    let node = node(&log).await;
    let backend = BarrierBackend::start(2).await;
    announce(&node, backend.addr).await;
    let mut socket = connect(&node).await;
    let behind = "POST /pp HTTP/1.1\r\nhost: mesh\r\ncontent-length: 0\r\n\r\n";
    let all = [&get("/aa"), behind].concat();
    socket.write_all(all.as_bytes()).await.unwrap();
    until(|| backend.heads.load(Ordering::SeqCst) == 1).await;
    drop(socket);
    until(|| backend.gone.load(Ordering::SeqCst) == 1).await;
    let (one, two) = tokio::join!(
        call(&node, request("GET", "/bb", &[])),
        call(&node, request("GET", "/cc", &[])),
    );
    assert_eq!((one.status.as_u16(), two.status.as_u16()), (200, 200));
    assert_eq!(backend.heads.load(Ordering::SeqCst), 3);
}

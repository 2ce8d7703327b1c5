//! Tests of the end of callers' connections: no request that is at work loses its response.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use common::{announce, log_with, node_changed, until};
use rstest::rstest;
use swiftcart_core::Limits;
use swiftcart_node::{Node, Phase, Settings};
use swiftcart_standin::Log;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

/// Maximum wait for a response or the end of a connection before the test fails.
const READ_TIMEOUT: Duration = Duration::from_secs(10);

/// Keep-alive time of the tests in seconds.
const KEEP_ALIVE_S: u32 = 1;

/// Time for which an idle connection stays open, and a little more.
const IDLE_TIME: Duration = Duration::from_millis(1700);

/// Length of a response to `/long`. It exceeds what a node reads ahead.
const LONG_BYTES: usize = 200_000;

/// Backend server that answers each request once it is released.
///
/// The response to `/long` begins at once, and its second half comes when it is released. Any other
/// response is the path of its request.
#[derive(Debug, Clone)]
struct HeldBackend {
    heads: Arc<AtomicU32>,
    released: watch::Sender<bool>,
}

impl HeldBackend {
    async fn start(node: &Node) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let backend = Self {
            heads: Arc::default(),
            released: watch::Sender::new(false),
        };
        let server = backend.clone();
        tokio::spawn(async move {
            while let Ok((socket, _)) = listener.accept().await {
                tokio::spawn(server.clone().serve(socket));
            }
        });
        announce(node, addr).await;
        backend
    }

    async fn serve(self, mut socket: TcpStream) {
        let mut buf = [0; 4096];
        while let Ok(len @ 1..) = socket.read(&mut buf).await {
            let text = String::from_utf8_lossy(&buf[..len]).into_owned();
            let Some(path) = text.split(' ').nth(1).filter(|path| path.starts_with('/')) else {
                continue;
            };
            self.heads.fetch_add(1, Ordering::SeqCst);
            let body = match path {
                "/long" => "x".repeat(LONG_BYTES),
                path => path.to_owned(),
            };
            let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
            let (first, rest) = body.split_at(match path {
                "/long" => LONG_BYTES / 2,
                _ => 0,
            });
            if !first.is_empty() {
                let begun = [&head, first].concat();
                socket.write_all(begun.as_bytes()).await.unwrap();
            }
            let mut released = self.released.subscribe();
            released.wait_for(|released| *released).await.unwrap();
            let rest = match first.is_empty() {
                true => [&head, rest].concat(),
                false => rest.to_owned(),
            };
            if socket.write_all(rest.as_bytes()).await.is_err() {
                return;
            }
        }
    }

    async fn wait_for_heads(&self, count: u32) {
        until(|| self.heads.load(Ordering::SeqCst) == count).await;
    }

    fn release(&self) {
        self.released.send_replace(true);
    }
}

/// Response as a caller reads it from its connection.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Received {
    status: u16,
    closes: bool,
    body: String,
}

/// Caller with one connection.
struct Caller {
    socket: TcpStream,
    text: String,
}

impl Caller {
    async fn connect(node: &Node) -> Self {
        let addr = node.shared().settings.listen.calls;
        Self {
            socket: TcpStream::connect(addr).await.unwrap(),
            text: String::new(),
        }
    }

    async fn send(&mut self, requests: &[&str]) {
        let all = requests.concat();
        self.socket.write_all(all.as_bytes()).await.unwrap();
    }

    /// Reads the next response, or returns `None` if the connection ends before it is whole.
    async fn response(&mut self) -> Option<Received> {
        loop {
            if let Some((received, len)) = parse(&self.text) {
                self.text.drain(..len);
                return Some(received);
            }
            let mut buf = [0; 65536];
            let read = timeout(READ_TIMEOUT, self.socket.read(&mut buf)).await;
            let len = read.expect("a response or the end before the timeout");
            match len.unwrap_or(0) {
                0 => return None,
                len => self
                    .text
                    .push_str(std::str::from_utf8(&buf[..len]).unwrap()),
            }
        }
    }

    /// Reads the bodies of the next responses; a response that does not come is a dash.
    async fn bodies(&mut self, count: usize) -> Vec<String> {
        let mut bodies = Vec::new();
        for _ in 0..count {
            let received = self.response().await;
            bodies.push(received.map_or_else(|| "-".into(), |received| received.body));
        }
        bodies
    }
}

/// Parses the response at the beginning of `text`, and returns it with its length.
fn parse(text: &str) -> Option<(Received, usize)> {
    let (head, rest) = text.split_once("\r\n\r\n")?;
    let lower = head.to_ascii_lowercase();
    let field = |name: &str| {
        let mut lines = lower.lines();
        lines.find_map(|line| {
            line.strip_prefix(name)?
                .strip_prefix(": ")
                .map(str::to_owned)
        })
    };
    let len: usize = field("content-length").map_or(0, |len| len.parse().unwrap());
    let body = rest.get(..len)?.to_owned();
    let received = Received {
        status: head.split(' ').nth(1)?.parse().ok()?,
        closes: field("connection").is_some_and(|value| value == "close"),
        body,
    };
    Some((received, head.len() + 4 + len))
}

fn get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: mesh\r\n\r\n")
}

async fn start(change: impl FnOnce(&mut Settings)) -> (Log, Node, HeldBackend) {
    let log = log_with(Limits::default()).await;
    let node = node_changed(&log, |settings| {
        settings.limits.keep_alive_s = KEEP_ALIVE_S;
        change(settings);
    })
    .await;
    let backend = HeldBackend::start(&node).await;
    (log, node, backend)
}

fn set_stop(settings: &mut Settings, linger_ms: u32, notice_ms: u32) {
    settings.stop.linger_ms = linger_ms;
    settings.stop.notice_ms = notice_ms;
}

/// Guards against a stop that closes a connection behind the first response, while requests behind
/// it are at work.
#[rstest]
#[case::that_refuses_no_request_yet(500, 5000, Phase::Finishing)]
#[case::whose_listener_is_open(0, 5000, Phase::Stopping)]
#[case::whose_listener_is_closed(0, 0, Phase::Stopping)]
#[tokio::test]
async fn a_stopping_node_answers_all_requests_that_are_at_work(
    #[case] linger_ms: u32,
    #[case] notice_ms: u32,
    #[case] phase: Phase,
) {
    let (_log, node, backend) = start(|settings| set_stop(settings, linger_ms, notice_ms)).await;
    let mut caller = Caller::connect(&node).await;
    caller.send(&[&get("/aa"), &get("/bb"), &get("/cc")]).await;
    backend.wait_for_heads(3).await;
    let mut phases = node.shared().phase.subscribe();
    let stopped = tokio::spawn(node.stop());
    phases.wait_for(|now| *now == phase).await.unwrap();
    sleep(Duration::from_millis(100)).await;
    backend.release();
    let mut closes = Vec::new();
    for path in ["/aa", "/bb", "/cc"] {
        let received = caller.response().await;
        let received = received.unwrap_or_else(|| panic!("no response to {path}"));
        assert_eq!(received.body, path);
        closes.push(received.closes);
    }
    assert!(
        !closes[0] && !closes[1],
        "only the last one closes: {closes:?}"
    );
    assert_eq!(caller.response().await, None, "the connection ends");
    stopped.await.unwrap();
}

/// Guards against an idle time that counts from the head of a response, and against one that counts
/// while requests behind the response are at work.
#[rstest]
#[case::alone(&["/long"])]
#[case::with_requests_behind_it(&["/long", "/bb", "/cc"])]
#[tokio::test]
async fn a_connection_is_not_idle_while_a_response_is_sent(#[case] paths: &[&str]) {
    let (_log, node, backend) = start(|_| {}).await;
    let mut caller = Caller::connect(&node).await;
    let requests: Vec<String> = paths.iter().map(|path| get(path)).collect();
    let requests: Vec<&str> = requests.iter().map(String::as_str).collect();
    caller.send(&requests).await;
    backend
        .wait_for_heads(u32::try_from(paths.len()).unwrap())
        .await;
    sleep(IDLE_TIME).await;
    backend.release();
    let long = caller.response().await.expect("the long response");
    assert_eq!(long.body.len(), LONG_BYTES);
    assert_eq!(caller.bodies(paths.len() - 1).await, paths[1..]);
    // The idle time begins with the end of the last response.
    sleep(Duration::from_millis(500)).await;
    caller.send(&[&get("/zz")]).await;
    assert_eq!(caller.bodies(1).await, ["/zz"]);
    assert_eq!(caller.response().await, None, "an idle connection ends");
}

/// Guards against requests that are started although their connection ends before them.
#[tokio::test]
async fn no_request_is_started_behind_one_that_closes() {
    let (_log, node, backend) = start(|_| {}).await;
    let mut caller = Caller::connect(&node).await;
    let last = "GET /long HTTP/1.1\r\nhost: mesh\r\nconnection: Close\r\n\r\n";
    caller.send(&[last, &get("/bb"), &get("/cc")]).await;
    backend.wait_for_heads(1).await;
    sleep(Duration::from_millis(200)).await;
    backend.release();
    let long = caller.response().await.expect("the long response");
    assert_eq!((long.body.len(), long.closes), (LONG_BYTES, true));
    assert_eq!(caller.response().await, None, "the connection ends");
    assert_eq!(backend.heads.load(Ordering::SeqCst), 1);
}

/// Guards against a request that is started behind a body that the node does not read to its end:
/// the connection then ends with the response ahead of it.
#[tokio::test]
async fn a_request_behind_an_unread_body_is_answered_or_not_started() {
    let (_log, node, backend) = start(|_| {}).await;
    backend.release();
    for body in [100, 4000, 12_000] {
        let mut caller = Caller::connect(&node).await;
        // The request is refused for its malformed number, and its body is not read.
        let refused = format!(
            "POST /x HTTP/1.1\r\nhost: mesh\r\nswiftcart-attempt: x\r\n\
             content-length: {body}\r\n\r\n{}",
            "x".repeat(body)
        );
        let before = backend.heads.load(Ordering::SeqCst);
        caller.send(&[&refused, &get("/bb")]).await;
        let refusal = caller.response().await.expect("a refusal");
        assert_eq!(refusal.status, 400);
        let second = caller.response().await;
        let started = backend.heads.load(Ordering::SeqCst) - before;
        let answered = second.is_some_and(|second| second.body == "/bb");
        assert!(
            started == 0 || answered,
            "body of {body} bytes: started {started}"
        );
    }
}

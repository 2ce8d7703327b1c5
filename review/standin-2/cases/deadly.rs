//! One request crashes each backend server that runs it, and comes again: the mesh never holds it back,
//! since its body is longer than what a guard keeps.

use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use super::CaseResult;
use crate::Verdict;
use crate::backend::{Backend, Work};
use crate::client::{Client, End};
use crate::mesh::{HOST, Mesh};
use crate::record::Record;

/// Deadline of the clients.
const DEADLINE: Duration = Duration::from_millis(3000);
/// Length of the body of the deadly request, unless the variable `BODY` gives another one.
const BODY: usize = 20_000;
/// Target of the deadly request.
const DEADLY: &str = "/order/deadly";
/// Time after which a crashed backend server is back.
const DOWN: Duration = Duration::from_millis(2500);
/// Pause between two sends of the deadly request, each at the next machine.
const PAUSE: Duration = Duration::from_millis(900);
/// Number of sends.
const SENDS: usize = 20;
/// `stableWindowMs` of the small deployments.
const STABLE_WINDOW: Duration = Duration::from_millis(3000);
/// Number of machines beside which the clients are. They have no backend server of their own here.
const CLIENT_NODES: usize = 2;
/// Time without disruption that puts machines in touch, with a margin.
const CALM: Duration = Duration::from_millis(4500);

pub fn run(record: &Record, trouble: bool) -> CaseResult {
    let places = [
        ("norte", "portal"),
        ("sur", "portal"),
        ("norte", "desk"),
        ("norte", "desk"),
        ("sur", "desk"),
        ("sur", "desk"),
    ];
    let routes = [("/order/", "non_idempotent", 1500, "desk")];
    let mesh = Mesh::start(record, &places, &routes)?;
    let crashes: Arc<Mutex<Vec<Instant>>> = Arc::default();
    for (n, (zone, service)) in places.into_iter().enumerate() {
        if service != "desk" {
            continue;
        }
        let listener = TcpListener::bind((mesh.ip(n), 0))?;
        let control = mesh.nodes[n].control();
        let (record, crashes) = (record.clone(), Arc::clone(&crashes));
        let deadly = trouble.then_some(DEADLY);
        thread::spawn(move || supervise(&record, n, zone, listener, control, deadly, &crashes));
    }
    sleep(CALM);

    let stop = Arc::new(AtomicBool::new(false));
    let lost = Arc::new(AtomicUsize::new(0));
    let served = Arc::new(AtomicUsize::new(0));
    let others: Vec<_> = (0..CLIENT_NODES)
        .map(|n| {
            let (node, stop) = (mesh.nodes[n].outbound(), Arc::clone(&stop));
            let (lost, served) = (Arc::clone(&lost), Arc::clone(&served));
            thread::spawn(move || {
                for k in 0.. {
                    if stop.load(Ordering::Relaxed) {
                        return;
                    }
                    match order(
                        node,
                        &format!("/order/{n}-{k}"),
                        &format!("{:016x}", 0xe_0000_0000 + n * 100_000 + k),
                        300,
                    ) {
                        Some(End::Answered(200)) => served.fetch_add(1, Ordering::Relaxed),
                        Some(End::Answered(503)) | None => 0,
                        Some(_) => lost.fetch_add(1, Ordering::Relaxed),
                    };
                    sleep(Duration::from_millis(10));
                }
            })
        })
        .collect();
    let bytes = std::env::var("BODY")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(BODY);
    record.line(&format!(
        "the same order of {bytes} bytes is sent {SENDS} times, under a new id each time"
    ));
    for send in 0..SENDS {
        let node = mesh.nodes[send % CLIENT_NODES].outbound();
        let id = format!("{:016x}", 0xd1_0000 + send);
        record.line(&format!(
            "order {id} is sent to node {}",
            send % CLIENT_NODES
        ));
        let end = order(node, DEADLY, &id, bytes);
        record.line(&format!("order {id} ends: {end:?}"));
        sleep(PAUSE);
    }
    stop.store(true, Ordering::Relaxed);
    for other in others {
        let _ = other.join();
    }
    let crashes = crashes.lock().unwrap();
    let late = crashes.get(2).map_or(0, |third| {
        crashes
            .iter()
            .filter(|at| **at > *third + STABLE_WINDOW)
            .count()
    });
    record.line(&format!(
        "orders of others: {} served, {} lost without a promise",
        served.load(Ordering::Relaxed),
        lost.load(Ordering::Relaxed)
    ));
    record.line(&format!("{} servers crashed under the order; it reached {late} of them later than 3 s after the third crash", crashes.len()));
    Ok(match late > 3 {
        true => Verdict::Broken,
        false => Verdict::Held,
    })
}

/// Starts a backend server again each time that it has crashed, at the same address.
fn supervise(
    record: &Record,
    n: usize,
    zone: &str,
    listener: TcpListener,
    control: SocketAddr,
    deadly: Option<&'static str>,
    crashes: &Mutex<Vec<Instant>>,
) {
    let Ok(addr) = listener.local_addr() else {
        return;
    };
    let mut next = Some(listener);
    let work = Work {
        time: Duration::from_millis(60),
        bytes: 1500,
        spread: Duration::ZERO,
    };
    for start in 0.. {
        let Some(listener) = next.take().or_else(|| TcpListener::bind(addr).ok()) else {
            sleep(Duration::from_millis(50));
            continue;
        };
        let id = format!("i-{n}-{start}");
        let Ok(backend) = Backend::serve_on(record, listener, &id, zone, "desk", work, deadly)
        else {
            return;
        };
        backend.beat_to(control);
        while !backend.has_crashed() {
            sleep(Duration::from_millis(1));
        }
        crashes.lock().unwrap().push(Instant::now());
        sleep(DOWN);
    }
}

/// Sends one order and waits for its end; `None` if no connection was opened.
fn order(node: SocketAddr, target: &str, id: &str, bytes: usize) -> Option<End> {
    let mut client = Client::connect(node).ok()?;
    let sent = Instant::now();
    let text = format!(
        "POST {target} HTTP/1.1\r\nhost: {HOST}\r\nx-swiftcart-attempt-id: {id}\r\n\
         x-swiftcart-deadline-ms: {}\r\ncontent-length: {bytes}\r\n\r\n{}",
        DEADLINE.as_millis(),
        "o".repeat(bytes)
    );
    client.send(&text).ok()?;
    Some(client.answer(id, sent, DEADLINE).end)
}

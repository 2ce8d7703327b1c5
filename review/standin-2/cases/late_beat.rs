//! A backend server departs, the process beside it is killed and starts again, and a heartbeat from
//! before the departure arrives late: the node takes the backend server in again.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use super::CaseResult;
use crate::Verdict;
use crate::backend::{Backend, Work};
use crate::client::{Client, End};
use crate::mesh::{HOST, Mesh};
use crate::node::SIGKILL;
use crate::record::Record;

/// `drainMs` of the small deployments.
const DRAIN: Duration = Duration::from_millis(2000);
/// `stableWindowMs` of the small deployments.
const STABLE_WINDOW: Duration = Duration::from_millis(3000);
/// Time by which the heartbeat is late.
const LATE: Duration = Duration::from_millis(2500);
/// Time for which the backend server serves on after its departure is acknowledged.
const SERVES_ON: Duration = Duration::from_millis(7000);
/// Deadline of the clients.
const DEADLINE: Duration = Duration::from_millis(3000);
/// Number of clients, each with one order at a time: some 35 orders a second for each server.
const CLIENTS: u64 = 12;
/// Time without disruption that puts machines in touch, with a margin.
const CALM: Duration = Duration::from_millis(4500);

pub fn run(record: &Record, trouble: bool) -> CaseResult {
    let places = [("norte", "portal"), ("sur", "desk"), ("callao", "desk")];
    let routes = [("/order/", "non_idempotent", 1500, "desk")];
    let mut mesh = Mesh::start(record, &places, &routes)?;
    let work = Work {
        time: Duration::from_millis(160),
        bytes: 1500,
        spread: Duration::ZERO,
    };
    let leaving = Backend::start(record, &mesh.ip(1), "i-leaving", "sur", "desk", work)?;
    let staying = Backend::start(record, &mesh.ip(2), "i-staying", "callao", "desk", work)?;
    let control = mesh.nodes[1].control();
    leaving.beat_to(control);
    staying.beat_to(mesh.nodes[2].control());
    sleep(CALM);

    let stop = Arc::new(AtomicBool::new(false));
    let lost = Arc::new(AtomicUsize::new(0));
    let ends: Arc<Mutex<Vec<(Instant, End)>>> = Arc::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|n| {
            let node = mesh.nodes[0].outbound();
            let (stop, ends) = (Arc::clone(&stop), Arc::clone(&ends));
            thread::spawn(move || {
                for k in 0.. {
                    if stop.load(Ordering::Relaxed) {
                        return;
                    }
                    let id = format!("{:016x}", 0xf_0000_0000 + n * 100_000 + k);
                    if let Some(end) = order(node, &id) {
                        ends.lock().unwrap().push((Instant::now(), end));
                    }
                    // Different pauses, so that the clients do not run in step.
                    sleep(Duration::from_millis(5 + (n * 13 + k * 7) % 60));
                }
            })
        })
        .collect();
    sleep(Duration::from_secs(1));

    leaving.stop_beats();
    sleep(Duration::from_millis(1600));
    let heartbeat = leaving.heartbeat("ready");
    record.line("i-leaving sends a heartbeat (ready), which is under way");
    let sent = Instant::now();
    let status = leaving.leave(control)?;
    let left = Instant::now();
    record.line(&format!("i-leaving deregisters: {status}"));
    if status >= 300 {
        return Err("the departure was not acknowledged".into());
    }
    sleep(Duration::from_millis(300));
    mesh.nodes[1].signal(SIGKILL);
    record.line("the process on machine 1 is killed (SIGKILL)");
    sleep(Duration::from_millis(500));
    mesh.restart(1)?;
    let restarted = Instant::now();
    mesh.nodes[1].wait_ready(Duration::from_secs(10))?;
    record.line("the process on machine 1 is ready again");
    sleep((sent + LATE).saturating_duration_since(Instant::now()));
    if trouble {
        let status = leaving.deliver(control, &heartbeat)?;
        record.line(&format!("the heartbeat arrives: {status}"));
    }
    sleep((left + SERVES_ON).saturating_duration_since(Instant::now()));
    let before_exit = Instant::now();
    leaving.exit();
    record.line("i-leaving exits");
    sleep(Duration::from_millis(1500));
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let in_touch = (left + DRAIN).max(restarted + STABLE_WINDOW);
    let after_drain = leaving
        .times()
        .iter()
        .filter(|at| **at > left + DRAIN)
        .count();
    let late = leaving.times().iter().filter(|at| **at > in_touch).count();
    for (at, end) in ends.lock().unwrap().iter() {
        if *at >= before_exit && !matches!(end, End::Answered(200 | 503)) {
            lost.fetch_add(1, Ordering::Relaxed);
        }
    }
    record.line(&format!(
        "requests that i-leaving ran later than {} ms after the acknowledgement: {after_drain}, {late} of them from \
         machines in touch; orders that ended without an answer of a server or a promise after its exit: {}",
        DRAIN.as_millis(),
        lost.load(Ordering::Relaxed)
    ));
    Ok(match late > 0 {
        true => Verdict::Broken,
        false => Verdict::Held,
    })
}

/// Sends one order and waits for its end; `None` if no connection was opened.
fn order(node: std::net::SocketAddr, id: &str) -> Option<End> {
    let mut client = Client::connect(node).ok()?;
    let sent = Instant::now();
    let text = format!(
        "POST /order/{id} HTTP/1.1\r\nhost: {HOST}\r\nx-swiftcart-attempt-id: {id}\r\n\
         x-swiftcart-deadline-ms: {}\r\ncontent-length: 5\r\n\r\norder",
        DEADLINE.as_millis()
    );
    client.send(&text).ok()?;
    Some(client.answer(id, sent, DEADLINE).end)
}

//! A node is killed while it passes long answers on: requests behind them on the connections of the
//! clients, which sound backend servers have run, are never answered.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use super::CaseResult;
use crate::Verdict;
use crate::backend::{Backend, Work};
use crate::client::{Client, End, Outcome, get};
use crate::mesh::Mesh;
use crate::node::SIGKILL;
use crate::record::Record;

const DEADLINE: Duration = Duration::from_millis(1500);
/// Connections, each with one long answer: the slots of the backend server.
const CONNECTIONS: usize = 12;
/// Requests behind the long answer on each connection.
const BEHIND: usize = 2;
/// Time without disruption that puts machines in touch, with a margin.
const CALM: Duration = Duration::from_millis(4500);

pub fn run(record: &Record, trouble: bool) -> CaseResult {
    let places = [("norte", "portal"), ("sur", "archive"), ("callao", "stock")];
    let routes = [
        ("/page/", "idempotent", 800, "portal"),
        ("/fetch/", "download", 800, "archive"),
        ("/stock/", "idempotent", 800, "stock"),
    ];
    let mesh = Mesh::start(record, &places, &routes)?;
    let short = Work {
        time: Duration::from_millis(20),
        bytes: 1500,
        spread: Duration::ZERO,
    };
    let long = Work {
        time: Duration::from_millis(50),
        bytes: 540_000,
        spread: Duration::from_millis(250),
    };
    let portal = Backend::start(record, &mesh.ip(0), "i-portal", "norte", "portal", short)?;
    let archive = Backend::start(record, &mesh.ip(1), "i-archive", "sur", "archive", long)?;
    let stock = Backend::start(record, &mesh.ip(2), "i-stock", "callao", "stock", short)?;
    portal.beat_to(mesh.nodes[0].control());
    archive.beat_to(mesh.nodes[1].control());
    stock.beat_to(mesh.nodes[2].control());
    sleep(CALM);

    let begun = Arc::new(AtomicUsize::new(0));
    let node = mesh.nodes[0].outbound();
    let clients: Vec<_> = (0..CONNECTIONS)
        .map(|n| {
            let (begun, record) = (Arc::clone(&begun), record.clone());
            thread::spawn(move || requests(node, n, begun, &record))
        })
        .collect();
    let until = Instant::now() + Duration::from_millis(600);
    while begun.load(Ordering::Relaxed) < CONNECTIONS && Instant::now() < until {
        sleep(Duration::from_millis(1));
    }
    record.line(&format!(
        "{} long answers have begun",
        begun.load(Ordering::Relaxed)
    ));
    if trouble {
        mesh.nodes[1].signal(SIGKILL);
        record.line("the process on machine 1 is killed (SIGKILL)");
    }
    let outcomes: Vec<Vec<Outcome>> = clients
        .into_iter()
        .flat_map(|client| client.join().ok().flatten())
        .collect();
    if outcomes.len() < CONNECTIONS {
        return Err("a client could not send".into());
    }
    let ran = stock.runs();
    let lost = outcomes
        .iter()
        .flat_map(|of| &of[1..])
        .filter(|outcome| outcome.end == End::Closed && ran.iter().any(|run| *run == outcome.id));
    let lost = lost.count();
    record.line(&format!(
        "{} requests behind others; run by the sound server i-stock and then without an answer, since node 0 closed: {lost}",
        CONNECTIONS * BEHIND
    ));
    Ok(match lost > 3 {
        true => Verdict::Broken,
        false => Verdict::Held,
    })
}

fn requests(
    node: std::net::SocketAddr,
    n: usize,
    begun: Arc<AtomicUsize>,
    record: &Record,
) -> Option<Vec<Outcome>> {
    let mut client = Client::connect(node).ok()?;
    client.begun = begun;
    let id = |k: usize| format!("{:016x}", 0xb1_0000 + n * 16 + k);
    let sent = Instant::now();
    client
        .send(&get(&format!("/fetch/{n}"), &id(0), DEADLINE))
        .ok()?;
    for k in 1..=BEHIND {
        client
            .send(&get(&format!("/stock/{n}-{k}"), &id(k), DEADLINE))
            .ok()?;
    }
    record.line(&format!(
        "requests {} to {} are sent on connection {n}",
        id(0),
        id(BEHIND)
    ));
    let mut outcomes: Vec<Outcome> = Vec::new();
    for k in 0..=BEHIND {
        let outcome = match outcomes.last().map(|last| last.end) {
            // Nothing follows a connection that has ended.
            Some(End::Cut(_) | End::Closed) => Outcome {
                id: id(k),
                sent,
                ended: Instant::now(),
                end: End::Closed,
                bytes: 0,
            },
            _ => client.answer(&id(k), sent, DEADLINE),
        };
        let time = outcome.ended - outcome.sent;
        record.line(&format!(
            "request {} ends: {:?} after {} ms, {} bytes",
            id(k),
            outcome.end,
            time.as_millis(),
            outcome.bytes
        ));
        outcomes.push(outcome);
    }
    Some(outcomes)
}

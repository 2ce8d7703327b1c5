//! A machine freezes while it passes long answers on: the node of the clients, which is in touch,
//! ends none of them at the route's timeout.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use super::CaseResult;
use crate::Verdict;
use crate::backend::{Backend, Work};
use crate::client::{Client, End, Outcome, get};
use crate::mesh::Mesh;
use crate::node::{SIGCONT, SIGSTOP};
use crate::record::Record;

/// Timeout of the route.
const TIMEOUT: Duration = Duration::from_millis(800);
/// Deadline of the clients.
const DEADLINE: Duration = Duration::from_millis(1500);
/// Length of the freeze, below the 4 s of the site file.
const FREEZE: Duration = Duration::from_millis(3900);
/// Number of requests at the same time, at most the slots of the backend server.
const REQUESTS: usize = 12;
/// Time without disruption that puts machines in touch, with a margin.
const CALM: Duration = Duration::from_millis(4500);

pub fn run(record: &Record, trouble: bool) -> CaseResult {
    let places = [("norte", "portal"), ("sur", "archive")];
    let routes = [
        ("/fetch/", "download", TIMEOUT.as_millis() as u32, "archive"),
        ("/page/", "idempotent", 800, "portal"),
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
    portal.beat_to(mesh.nodes[0].control());
    archive.beat_to(mesh.nodes[1].control());
    sleep(CALM);

    let begun = Arc::new(AtomicUsize::new(0));
    let node = mesh.nodes[0].outbound();
    let clients: Vec<_> = (0..REQUESTS)
        .map(|n| {
            let (begun, record) = (Arc::clone(&begun), record.clone());
            thread::spawn(move || request(node, n, begun, &record))
        })
        .collect();
    let until = Instant::now() + TIMEOUT / 2;
    while begun.load(Ordering::Relaxed) < REQUESTS && Instant::now() < until {
        sleep(Duration::from_millis(1));
    }
    record.line(&format!(
        "{} answers have begun",
        begun.load(Ordering::Relaxed)
    ));
    if trouble {
        mesh.nodes[1].signal(SIGSTOP);
        record.line("machine 1 freezes (SIGSTOP)");
        sleep(FREEZE);
        mesh.nodes[1].signal(SIGCONT);
        record.line("machine 1 wakes (SIGCONT)");
    }
    let outcomes: Vec<Outcome> = clients
        .into_iter()
        .flat_map(|client| client.join().ok().flatten())
        .collect();
    if outcomes.len() < REQUESTS {
        return Err("a client could not send".into());
    }
    let after = |time: Duration| {
        let open = |o: &&Outcome| o.end == End::Left || o.ended > o.sent + time;
        outcomes.iter().filter(open).count()
    };
    let at_timeout = after(TIMEOUT);
    let later = after(TIMEOUT + Duration::from_millis(500));
    record.line(&format!(
        "{REQUESTS} requests; without a final answer at the timeout of {} ms: {at_timeout}; 0.5 s later: {later}",
        TIMEOUT.as_millis()
    ));
    Ok(match later >= 8 && later * 2 > at_timeout {
        true => Verdict::Broken,
        false => Verdict::Held,
    })
}

fn request(
    node: std::net::SocketAddr,
    n: usize,
    begun: Arc<AtomicUsize>,
    record: &Record,
) -> Option<Outcome> {
    let mut client = Client::connect(node).ok()?;
    client.begun = begun;
    let id = format!("{:016x}", 0xa1_0000 + n);
    let sent = Instant::now();
    client
        .send(&get(&format!("/fetch/{n}"), &id, DEADLINE))
        .ok()?;
    record.line(&format!("request {id} is sent"));
    let outcome = client.answer(&id, sent, DEADLINE);
    let time = outcome.ended - outcome.sent;
    record.line(&format!(
        "request {id} ends: {:?} after {} ms, {} bytes",
        outcome.end,
        time.as_millis(),
        outcome.bytes
    ));
    Some(outcome)
}

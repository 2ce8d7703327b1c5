//! Clients send uploads in chunks of a few bytes: the node answers none of them at the route's timeout,
//! though each upload has arrived as a whole long before.

use std::io;
use std::net::SocketAddr;
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use super::CaseResult;
use crate::Verdict;
use crate::backend::{Backend, Work};
use crate::client::{Client, End, Outcome};
use crate::mesh::{HOST, Mesh};
use crate::record::Record;

/// Timeout of the route.
const TIMEOUT: Duration = Duration::from_millis(1500);
/// Deadline of the clients.
const DEADLINE: Duration = Duration::from_millis(3000);
/// Length of each upload: the greatest of the small sites.
const BYTES: usize = 360_000;
/// Length of each chunk with the disruption and without it.
const SMALL_CHUNK: usize = 16;
const LARGE_CHUNK: usize = 4096;
/// Number of uploads at the same time, the slots of the backend server.
const UPLOADS: usize = 12;
/// Time without disruption that puts machines in touch, with a margin.
const CALM: Duration = Duration::from_millis(4500);

pub fn run(record: &Record, trouble: bool) -> CaseResult {
    let places = [("norte", "vault"), ("sur", "vault")];
    let routes = [("/survey/", "upload", TIMEOUT.as_millis() as u32, "vault")];
    let mesh = Mesh::start(record, &places, &routes)?;
    let work = Work {
        time: Duration::from_millis(140),
        bytes: 400,
        spread: Duration::ZERO,
    };
    for (n, (zone, service)) in places.iter().enumerate() {
        let backend = Backend::start(
            record,
            &mesh.ip(n),
            &format!("i-vault-{n}"),
            zone,
            service,
            work,
        )?;
        backend.beat_to(mesh.nodes[n].control());
    }
    sleep(CALM);

    let chunk = if trouble { SMALL_CHUNK } else { LARGE_CHUNK };
    record.line(&format!(
        "{UPLOADS} uploads of {BYTES} bytes, in chunks of {chunk} bytes"
    ));
    let node = mesh.nodes[0].outbound();
    let clients: Vec<_> = (0..UPLOADS)
        .map(|n| {
            let record = record.clone();
            thread::spawn(move || upload(node, n, chunk, &record))
        })
        .collect();
    let mut outcomes = Vec::new();
    for client in clients {
        outcomes.push(client.join().map_err(|_| "a client failed")??);
    }
    let after = |time: Duration| {
        let open = |o: &&Outcome| o.end == End::Left || o.ended > o.sent + time;
        outcomes.iter().filter(open).count()
    };
    let at_timeout = after(TIMEOUT);
    let later = after(TIMEOUT + Duration::from_millis(500));
    record.line(&format!(
        "{UPLOADS} requests; without an answer at the timeout of {} ms: {at_timeout}; 0.5 s later: {later}",
        TIMEOUT.as_millis()
    ));
    Ok(match later >= 8 && later * 2 > at_timeout {
        true => Verdict::Broken,
        false => Verdict::Held,
    })
}

/// Sends one upload. Its time counts from its last byte, so that a slow client is not held against the
/// node.
fn upload(node: SocketAddr, n: usize, chunk: usize, record: &Record) -> io::Result<Outcome> {
    let id = format!("{:016x}", 0xc1_0000 + n);
    let mut text = format!(
        "POST /survey/{n} HTTP/1.1\r\nhost: {HOST}\r\nx-swiftcart-attempt-id: {id}\r\n\
         x-swiftcart-deadline-ms: {}\r\ntransfer-encoding: chunked\r\n\r\n",
        DEADLINE.as_millis()
    );
    for _ in 0..BYTES / chunk {
        text.push_str(&format!("{chunk:x}\r\n{}\r\n", "s".repeat(chunk)));
    }
    text.push_str("0\r\n\r\n");
    let mut client = Client::connect(node)?;
    let began = Instant::now();
    client.send(&text)?;
    let sent = Instant::now();
    record.line(&format!(
        "upload {id} is sent as a whole after {} ms",
        (sent - began).as_millis()
    ));
    let outcome = client.answer(&id, sent, DEADLINE);
    let time = outcome.ended - sent;
    record.line(&format!(
        "upload {id} ends: {:?} {} ms after its last byte",
        outcome.end,
        time.as_millis()
    ));
    Ok(outcome)
}

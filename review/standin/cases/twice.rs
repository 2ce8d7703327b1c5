//! Backends of a booking service reject a part of what arrives: each rejects the first arrival of
//! every 20th booking. One of the two also hands out a few of its rejections a second time, late; then
//! the other one does, by turns. No booking may run twice, and none that has run may be answered as
//! not run.
//!
//! Without the disruption, the backends reject as much, and no answer comes a second time.

use std::collections::BTreeMap;
use std::io;
use std::thread;
use std::time::Duration;

use crate::client::{Client, describe};
use crate::mesh::{BOOKS, HOST, Mesh, READS};
use crate::record::Record;

/// Number of clients, which send independently of each other.
const CLIENTS: usize = 5;

/// Number of bookings of each client.
const BOOKINGS: usize = 520;

/// Pause of a client between two bookings.
const PAUSE: Duration = Duration::from_millis(25);

/// One of so many bookings is rejected at first.
const REJECTED_EVERY: usize = 20;

/// Largest share of its answers that the faulty backend hands out a second time.
const EXTRA_SHARE: f64 = 0.03;

/// Length of each of the four disruptions, and the pause before each.
const TROUBLE_TIME: Duration = Duration::from_secs(5);
const TROUBLE_PAUSE: Duration = Duration::from_secs(1);

pub fn run(record: &Record, trouble: bool) -> io::Result<bool> {
    let mesh = Mesh::start(&[READS, BOOKS, READS, BOOKS], record)?;
    let mut clients = Vec::new();
    for number in 0..CLIENTS {
        let node = &mesh.nodes[number % mesh.nodes.len()];
        let (record, addr, name) = (record.clone(), node.outbound(), node.name.clone());
        clients.push(thread::spawn(move || {
            let first = number * 1000;
            (first..first + BOOKINGS).map(|n| book(n, addr, &name, &record)).collect::<Vec<_>>()
        }));
    }
    let [_, first, _, second] = &mesh.backends[..] else {
        return Err(io::Error::other("backends are missing"));
    };
    for faulty in [first, second, first, second] {
        thread::sleep(TROUBLE_PAUSE);
        record.add("all backends begin to reject the first arrival of one in 20 bookings");
        mesh.backends.iter().for_each(|backend| backend.reject_first(is_rejected));
        if trouble {
            record.add(format!("{} begins to hand out rejections a second time", faulty.id));
            faulty.begin_extra(EXTRA_SHARE);
        }
        thread::sleep(TROUBLE_TIME);
        let (answers, repeated) = faulty.end_extra();
        record.add(format!("all are sound: {repeated} of {answers} answers came a second time"));
        mesh.backends.iter().for_each(|backend| backend.accept_all());
    }
    let mut answers = BTreeMap::new();
    for client in clients {
        let answered = client.join().map_err(|_| io::Error::other("a client failed"))?;
        for answer in answered {
            let (id, status) = answer?;
            answers.insert(id, status);
        }
    }
    thread::sleep(Duration::from_millis(500));

    let mut runs: BTreeMap<String, usize> = BTreeMap::new();
    for run in mesh.backends.iter().flat_map(|backend| backend.runs()) {
        *runs.entry(run.id).or_default() += 1;
    }
    let twice: Vec<_> = runs.iter().filter(|(_, count)| **count > 1).collect();
    for (id, count) in &twice {
        let answer = &answers[*id];
        record.add(format!("TWICE: {id} ran {count} times, and was answered {answer}"));
    }
    let is_promise = |id: &String| matches!(answers[id].as_str(), "503" | "429" | "408" | "421");
    let denied: Vec<_> = runs.keys().filter(|id| is_promise(id)).collect();
    for id in &denied {
        record.add(format!("REFUSED: {id} has run, and was answered {}", answers[*id]));
    }
    for status in ["200", "502", "503", "504"] {
        let count = answers.values().filter(|answer| *answer == status).count();
        record.add(format!("{count} of {} bookings were answered {status}", answers.len()));
    }
    match runs.is_empty() {
        true => Err(io::Error::other("no booking ran")),
        false => Ok(!twice.is_empty() || !denied.is_empty()),
    }
}

/// Returns `true` if backends have no room at the first arrival of a booking.
fn is_rejected(id: &str) -> bool {
    let number: usize = id.trim_start_matches("booking-").parse().unwrap_or(0);
    let (client, count) = (number / 1000, number % 1000);
    (count + client * REJECTED_EVERY / CLIENTS) % REJECTED_EVERY == 0
}

/// Sends one booking on a connection of its own, and returns its id and the status of the answer.
fn book(
    number: usize,
    addr: std::net::SocketAddr,
    node: &str,
    record: &Record,
) -> io::Result<(String, String)> {
    let id = format!("booking-{number:04}");
    let mut client = Client::connect(addr)?;
    let request = format!(
        "POST /book/w20 HTTP/1.1\r\nHost: {HOST}\r\nX-Swiftcart-Attempt-Id: {id}\r\n\
         X-Swiftcart-Deadline-Ms: 3000\r\nContent-Length: 7\r\n\r\nzone-14"
    );
    client.send(request.as_bytes())?;
    let answer = client.answer();
    record.add(format!("{id}, sent to {node}: {}", describe(&answer)));
    let status = answer.ok().flatten().map(|answer| answer.word(1).to_owned());
    thread::sleep(PAUSE);
    Ok((id, status.unwrap_or_else(|| "closed".into())))
}

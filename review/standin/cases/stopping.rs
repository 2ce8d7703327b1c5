//! A client sends two requests, one behind the other, to a machine that is stopping but still
//! accepts them. Both are at work when the machine closes the connection behind the first answer.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{self, Client, describe, get};
use crate::mesh::{BOOKS, HOST, Mesh, READS};
use crate::record::Record;

/// Number of clients, each with a connection of its own.
const CLIENTS: usize = 6;

/// Interval of the platform's questions whether a machine is ready.
const READY_INTERVAL: Duration = Duration::from_secs(1);

/// Number of misses after which clients send nothing more to a machine.
const MAX_MISSES: u32 = 2;

/// Time from the signal to the use of the connections that keeps them open.
const KEEP_OPEN: Duration = Duration::from_millis(950);

/// Time from the signal to the requests of the first client.
const FIRST_SEND: Duration = Duration::from_millis(1850);

/// Time between the requests of two clients.
const SEND_GAP: Duration = Duration::from_millis(15);

/// Time that a backend works on each request, in milliseconds: the longest of the site's sheet.
const WORK_MS: u32 = 720;

/// Deadline of the clients, in milliseconds.
const DEADLINE_MS: u32 = 2500;

pub fn run(record: &Record, trouble: bool) -> io::Result<bool> {
    let mut mesh = Mesh::start(&[READS, BOOKS, READS, READS], record)?;
    let mut clients = Vec::new();
    for number in 1..=CLIENTS {
        let mut client = Client::connect(mesh.nodes[0].outbound())?;
        let id = format!("warm-{number}");
        client.send(get(HOST, "/read/w20", &id, DEADLINE_MS).as_bytes())?;
        record.add(format!("{id} is answered: {}", describe(&client.answer())));
        clients.push(client);
    }
    let ready = mesh.nodes[0].ready();
    let misses = Arc::new(AtomicU32::new(0));
    if !ask_ready(ready, &misses, record) {
        return Err(io::Error::other("machine-1 is not ready"));
    }
    let stopped = Instant::now();
    if trouble {
        mesh.nodes[0].signal("TERM")?;
    }
    let (platform, seen) = (record.clone(), Arc::clone(&misses));
    thread::spawn(move || {
        for count in 1..=4 {
            thread::sleep((stopped + count * READY_INTERVAL) - Instant::now());
            ask_ready(ready, &seen, &platform);
        }
    });
    // The machine closes a connection that was idle for longer than a second.
    thread::sleep((stopped + KEEP_OPEN) - Instant::now());
    for (index, client) in clients.iter_mut().enumerate() {
        let id = format!("kept-{}", index + 1);
        client.send(get(HOST, "/read/w20", &id, DEADLINE_MS).as_bytes())?;
        record.add(format!("{id} is answered: {}", describe(&client.answer())));
    }
    thread::sleep((stopped + FIRST_SEND) - Instant::now());
    let record = Arc::new(record.clone());
    let mut threads = Vec::new();
    for (index, client) in clients.into_iter().enumerate() {
        if misses.load(Ordering::SeqCst) >= MAX_MISSES {
            return Err(io::Error::other("clients have left machine-1 before they could send"));
        }
        let record = Arc::clone(&record);
        threads.push(thread::spawn(move || send_two(index + 1, client, &record)));
        thread::sleep(SEND_GAP);
    }
    let mut answered = Vec::new();
    for thread in threads {
        let answers = thread.join().map_err(|_| io::Error::other("a client failed"))??;
        answered.extend(answers);
    }
    thread::sleep(Duration::from_millis(300));

    let runs: Vec<_> = mesh.backends.iter().flat_map(|backend| backend.runs()).collect();
    let mut lost = 0;
    for (id, is_answered) in &answered {
        let ran = runs.iter().any(|run| run.id == *id);
        if ran && !is_answered {
            lost += 1;
            record.add(format!("LOST: {id} was passed on to a backend, and its connection ended"));
        }
    }
    match runs.iter().any(|run| run.id.starts_with("second-")) {
        true => Ok(lost > 0),
        false => Err(io::Error::other("no second request ran")),
    }
}

/// Asks once whether a machine is ready, as the platform does, and counts misses in a row.
fn ask_ready(ready: SocketAddr, misses: &AtomicU32, record: &Record) -> bool {
    let answer = client::call(ready, "GET", "/readyz", "");
    let is_ready = matches!(answer, Ok(200));
    match is_ready {
        true => misses.store(0, Ordering::SeqCst),
        false => drop(misses.fetch_add(1, Ordering::SeqCst)),
    }
    record.add(format!("the platform asks machine-1 whether it is ready: {answer:?}"));
    is_ready
}

/// Sends two requests, one behind the other, and returns which of them were answered in full.
fn send_two(number: usize, mut client: Client, record: &Record) -> io::Result<Vec<(String, bool)>> {
    let ids = [format!("first-{number}"), format!("second-{number}")];
    let requests = ids.each_ref().map(|id| get(HOST, &format!("/read/w{WORK_MS}"), id, DEADLINE_MS));
    record.add(format!("client {number} sends {} and, behind it, {}", ids[0], ids[1]));
    client.send(requests.concat().as_bytes())?;
    let mut answered = Vec::new();
    for id in ids {
        let answer = client.answer();
        record.add(format!("{id}: {}", describe(&answer)));
        let is_own = |answer: &crate::http::Message| {
            answer.field("x-swiftcart-attempt-id").is_none_or(|own| own == id)
        };
        answered.push((id.clone(), answer.ok().flatten().as_ref().is_some_and(is_own)));
    }
    Ok(answered)
}

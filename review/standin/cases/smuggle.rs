//! A client sends a booking whose body, in chunks, holds text that looks like requests. The machine
//! freezes while the booking arrives. No backend may run what stands in the body.
//!
//! With `ONCE=1` the machine isn't frozen, and the client sends head and body in one write.

use std::io;
use std::thread;
use std::time::Duration;

use crate::client::{Client, describe, get};
use crate::mesh::{BOOKS, HOST, Mesh, READS};
use crate::record::Record;

/// Bytes that the process reads from a socket at a time.
const READ_BYTES: usize = 4096;

/// Number of requests in the body.
const INNER: usize = 3;

/// Time for which the machine is frozen.
const FREEZE: Duration = Duration::from_secs(1);

/// Pause of the client between the head and the body.
const PAUSE: Duration = Duration::from_millis(100);

pub fn run(record: &Record, trouble: bool) -> io::Result<bool> {
    let mut mesh = Mesh::start(&[READS, BOOKS, READS, BOOKS], record)?;
    let mut client = Client::connect(mesh.nodes[0].outbound())?;
    client.send(get(HOST, "/read/first", "sent-1", 2500).as_bytes())?;
    record.add(format!("sent-1 is answered: {}", describe(&client.answer())));

    let head = format!(
        "POST /book/upload HTTP/1.1\r\nHost: {HOST}\r\nX-Swiftcart-Attempt-Id: sent-2\r\n\
         X-Swiftcart-Deadline-Ms: 3000\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    let body = body(head.len());
    let at_once = std::env::var("ONCE").is_ok_and(|value| value == "1");
    let trouble = trouble && !at_once;
    if trouble {
        mesh.nodes[0].signal("STOP")?;
    }
    record.add(format!(
        "the client sends sent-2: POST /book/upload, body of {} bytes in one chunk",
        body.len()
    ));
    let chunk_line = format!("{:x}\r\n", body.len());
    let chunk = [chunk_line.as_bytes(), &body, b"\r\n0\r\n\r\n"].concat();
    match at_once {
        true => client.send(&[head.as_bytes(), &chunk].concat())?,
        false => {
            client.send(head.as_bytes())?;
            thread::sleep(PAUSE);
            client.send(&chunk)?;
        }
    }
    if trouble {
        thread::sleep(FREEZE - PAUSE);
        mesh.nodes[0].signal("CONT")?;
    }
    record.add(format!("sent-2 is answered: {}", describe(&client.answer())));
    thread::sleep(Duration::from_millis(500));

    let runs: Vec<_> = mesh.backends.iter().flat_map(|backend| backend.runs()).collect();
    let booked = runs.iter().any(|run| run.id == "sent-2" && run.body_len == body.len());
    let smuggled: Vec<_> = runs.iter().filter(|run| !run.id.starts_with("sent-")).collect();
    for run in &smuggled {
        record.add(format!("NOBODY SENT: {} ({}) at {:.3} s", run.id, run.line, run.at));
    }
    match booked || !smuggled.is_empty() {
        true => Ok(!smuggled.is_empty()),
        false => Err(io::Error::other("the booking did not run")),
    }
}

/// Returns a body of text whose inner requests begin where a read of the process begins.
fn body(head_len: usize) -> Vec<u8> {
    let chunk_line = format!("{:x}\r\n", 2 * READ_BYTES).len();
    let mut body = Vec::new();
    let filler = b"captured traffic of the irrigation panel, for the support desk\r\n";
    body.extend(filler.iter().cycle().take(READ_BYTES - head_len - chunk_line));
    for number in 1..=INNER {
        body.extend(get(HOST, "/read/inner", &format!("inner-{number}"), 2500).as_bytes());
    }
    let rest = 2 * READ_BYTES - body.len();
    body.extend(filler.iter().cycle().take(rest));
    body
}

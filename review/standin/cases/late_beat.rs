//! A backend deregisters and serves on for a while. The process beside it is killed and starts
//! again, and a heartbeat from before the departure arrives late. The departure was acknowledged, so
//! that the backend must get no request later than `drainMs` after it.

use std::io;
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{Client, describe, get};
use crate::mesh::{BOOKS, HOST, Mesh, READS};
use crate::record::Record;

/// Time after an acknowledged departure from which a backend must get no request, in seconds.
const DRAIN_S: f64 = 2.0;

/// Time without disruption after which a machine is in touch, in seconds.
const STABLE_S: f64 = 3.0;

/// Time from the departure to the kill.
const KILL_AFTER: Duration = Duration::from_millis(200);

/// Time after which a process that was killed is started again.
const DOWN: Duration = Duration::from_millis(500);

/// Time from the restart to the arrival of the late heartbeat.
const LATE: Duration = Duration::from_millis(1000);

/// Time for which clients send after that.
const TRAFFIC: Duration = Duration::from_secs(5);

pub fn run(record: &Record, trouble: bool) -> io::Result<bool> {
    let mut mesh = Mesh::start(&[READS, READS, BOOKS, BOOKS], record)?;
    let leaving = mesh.backends[0].clone();
    leaving.stop_beating();
    let late = leaving.next_seq();
    record.add(format!("i-1 sends heartbeat {late}, state ready; it is delayed on the way"));
    thread::sleep(Duration::from_millis(300));
    let status = leaving.deregister()?;
    if status != 200 {
        return Err(io::Error::other("the departure was not acknowledged"));
    }
    let left = record.now();
    record.add("i-1 deregisters: 200; it serves on for a while");
    thread::sleep(KILL_AFTER);
    let mut touched = left;
    if trouble {
        mesh.nodes[0].kill()?;
    }
    thread::sleep(DOWN);
    if trouble {
        mesh.nodes[0].start()?;
        touched = record.now();
    }
    thread::sleep(LATE);
    let status = leaving.send_beat(late, "ready");
    record.add(format!("heartbeat {late} of i-1 arrives: {status:?}"));

    let until = Instant::now() + TRAFFIC;
    let mut number = 0;
    while Instant::now() < until {
        number += 1;
        let id = format!("sent-{number}");
        // Only machines that were never disturbed take requests from clients.
        let node = &mesh.nodes[1 + number % 3];
        let mut client = Client::connect(node.outbound())?;
        client.send(get(HOST, "/read/w20", &id, 2500).as_bytes())?;
        let answer = describe(&client.answer());
        record.add(format!("{id}, sent to {}: {answer}", node.name));
        thread::sleep(Duration::from_millis(20));
    }

    let bound = (left + DRAIN_S).max(touched + STABLE_S);
    let runs = leaving.runs();
    let late_runs: Vec<_> = runs.iter().filter(|run| run.at > bound).collect();
    for run in &late_runs {
        let after = run.at - left;
        record.add(format!("AFTER DRAIN: {} reached i-1 {after:.3} s after its departure", run.id));
    }
    let others = mesh.backends.iter().skip(1).map(|backend| backend.runs().len());
    match others.sum::<usize>() {
        0 => Err(io::Error::other("no request ran")),
        _ => Ok(!late_runs.is_empty()),
    }
}

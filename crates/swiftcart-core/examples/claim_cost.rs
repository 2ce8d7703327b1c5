//! Measures the memory, time and appends that claims cost, and prints one JSON object per line.
//!
//! Run with `cargo run --release -p swiftcart-core --example claim_cost`. Memory is the growth of
//! the resident set, and time is wall-clock time. Appends are counted in virtual time, with a
//! platform that takes 5 ms for each append.

use std::collections::BTreeMap;
use std::fs;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::json;
use swiftcart_core::*;

const RETENTION: Duration = Duration::from_secs(86_400);
const KEYS: u128 = 200_000;
const BATCH: usize = 64;
/// Duration of a simulation in milliseconds of virtual time.
const SIMULATED_MS: u64 = 60_000;
/// Latency of an append in milliseconds.
const APPEND_LATENCY_MS: u64 = 5;
/// Service time of the backend server in milliseconds.
const SERVICE_TIME_MS: u64 = 20;
/// Timeout of a caller in milliseconds.
const CALLER_TIMEOUT_MS: u64 = 5_000;

fn main() {
    // All ledgers stay alive until the end, so that no case reuses memory freed by another case.
    let ledgers = [None, Some(0), Some(256), Some(4096)].map(measure_ledger);
    drop(ledgers);
    for rate in [1.0, 10.0, 100.0, 500.0] {
        for share in [10.0, 50.0] {
            for linger in [1, 5, 50] {
                measure_appends(rate, share, linger);
            }
        }
    }
}

/// Measures a ledger of claims, with answers whose bodies have `body` bytes if it is set.
fn measure_ledger(body: Option<usize>) -> (Vec<Entry>, ClaimLedger) {
    let settings = ClaimSettings::new(RETENTION).with_memory(1 << 20, 4 << 30);
    let keys = match body {
        Some(size) if size > 1024 => KEYS / 10,
        _ => KEYS,
    };
    let entries = entries(keys, body);
    let mut ledger = ClaimLedger::new(&settings);
    let before = resident_bytes();
    let start = std::time::Instant::now();
    for entry in &entries {
        if let Err(e) = ledger.apply(entry) {
            eprintln!("claim_cost: cannot apply record: {e}");
        }
    }
    let took = start.elapsed();
    let growth = resident_bytes().saturating_sub(before);
    let items = keys * if body.is_some() { 2 } else { 1 };
    let line = json!({
        "measure": "ledger",
        "keys": ledger.keys(),
        "answer_bytes": body,
        "bytes_per_key": growth as u128 / keys,
        "ns_per_item": took.as_nanos() / items,
    });
    println!("{line}");
    (entries, ledger)
}

fn entries(keys: u128, body: Option<usize>) -> Vec<Entry> {
    let key_of = |n: u128| ClaimKey::new(&ServiceName::new("booking"), None, &n.to_string());
    let hash = RequestHash(1);
    let all: Vec<u128> = (0..keys).collect();
    let batches = all.chunks(BATCH).map(|chunk| {
        let mut batch = ClaimBatch::default();
        for n in chunk.iter().copied() {
            let (key, attempt) = (key_of(n), AttemptId(n));
            batch.claims.push(ClaimRecord { key, hash, attempt });
            let body = body.filter(|size| size * BATCH < MAX_CLAIM_RECORD_BYTES / 2);
            if let Some(size) = body {
                batch.answers.push(answer_record(key, attempt, size));
            }
        }
        batch
    });
    let mut bodies: Vec<String> = batches.flat_map(|b| b.encode()).collect();
    if let Some(size) = body.filter(|size| size * BATCH >= MAX_CLAIM_RECORD_BYTES / 2) {
        let answers = all
            .iter()
            .map(|n| answer_record(key_of(*n), AttemptId(*n), size));
        let single = answers.map(|a| ClaimBatch {
            answers: vec![a],
            ..Default::default()
        });
        bodies.extend(single.flat_map(|b| b.encode()));
    }
    let numbered = bodies.into_iter().enumerate();
    numbered
        .map(|(n, body)| Entry {
            offset: Offset(n as u64),
            at_ms: 1,
            body,
        })
        .collect()
}

fn answer_record(key: ClaimKey, attempt: AttemptId, size: usize) -> AnswerRecord {
    let reply = Reply::Whole(answer(size));
    AnswerRecord {
        key,
        hash: RequestHash(1),
        attempt,
        reply,
    }
}

fn answer(size: usize) -> Answer {
    let headers = vec![("content-type".into(), "application/json".into())];
    Answer {
        status: 201,
        headers,
        body: vec![b'x'; size],
    }
}

/// Returns the resident set size in bytes, or zero if the system does not report it.
fn resident_bytes() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    let kib = line.and_then(|l| l.trim().trim_end_matches(" kB").parse::<u64>().ok());
    kib.unwrap_or_default() * 1024
}

/// Simulates a claimant at `rate` calls with a key per second.
fn measure_appends(rate: f64, share: f64, linger: u64) {
    let settings = ClaimSettings::new(RETENTION).with_rate(share, Duration::from_millis(linger));
    let mut simulation = Simulation::new(settings);
    (0..SIMULATED_MS).for_each(|now| simulation.step(now, rate / 1000.0));
    simulation.waits.sort_unstable();
    let at = |q: usize| {
        simulation
            .waits
            .get(simulation.waits.len() * q / 100)
            .copied()
    };
    let line = json!({
        "measure": "appends",
        "calls_per_s": rate,
        "share_per_s": share,
        "linger_ms": linger,
        "calls": simulation.calls,
        "refused": simulation.refused,
        "appends": simulation.appends,
        "appends_per_call": simulation.appends as f64 / simulation.calls.max(1) as f64,
        "wait_ms_p50": at(50),
        "wait_ms_p99": at(99),
    });
    println!("{line}");
}

/// Simulation of one claimant with its stream and backend server, in virtual time.
struct Simulation {
    rng: SmallRng,
    claimant: Claimant,
    append_in_flight: Option<(u64, String)>,
    next: u64,
    offered: BTreeMap<ClaimTicket, u64>,
    running: BTreeMap<u64, Vec<ClaimTicket>>,
    calls: u64,
    refused: u64,
    appends: u64,
    waits: Vec<u64>,
}

impl Simulation {
    fn new(settings: ClaimSettings) -> Self {
        let mut claimant = Claimant::new(settings, 1);
        let (first, next, now) = (Offset(0), Offset(0), PlatformTime(0));
        let page = ClaimPage {
            first,
            next,
            now,
            entries: &[],
        };
        claimant.apply_page(Instant::default(), &page);
        Self {
            rng: SmallRng::seed_from_u64(7),
            claimant,
            append_in_flight: None,
            next: 0,
            offered: BTreeMap::new(),
            running: BTreeMap::new(),
            calls: 0,
            refused: 0,
            appends: 0,
            waits: Vec::new(),
        }
    }

    fn step(&mut self, now: u64, chance: f64) {
        let t = Instant::from_millis(now);
        if let Some((_, body)) = self
            .append_in_flight
            .take_if(|(done_at, _)| *done_at <= now)
        {
            self.finish_append_at(now, body);
        }
        for ticket in self.running.remove(&now).into_iter().flatten() {
            let finish = ExecutionResult::Whole(answer(256));
            self.claimant.record_result(t, ticket, finish);
        }
        if self.rng.random_bool(chance) {
            self.offer(now);
        }
        for action in self.claimant.poll(t) {
            self.take_action(now, action);
        }
    }

    fn finish_append_at(&mut self, now: u64, body: String) {
        let t = Instant::from_millis(now);
        let entry = Entry {
            offset: Offset(self.next),
            at_ms: now,
            body,
        };
        self.next += 1;
        self.claimant
            .finish_append(t, AppendResult::Done(entry.offset));
        let (first, next) = (Offset(0), Offset(self.next));
        let page = ClaimPage {
            first,
            next,
            now: PlatformTime(now),
            entries: &[entry],
        };
        self.claimant.apply_page(t, &page);
    }

    fn offer(&mut self, now: u64) {
        self.calls += 1;
        let claim = Claim {
            key: ClaimKey(self.rng.random()),
            hash: RequestHash(1),
            attempt: AttemptId(self.rng.random()),
            deadline: Instant::from_millis(now + CALLER_TIMEOUT_MS),
        };
        match self.claimant.offer(Instant::from_millis(now), claim) {
            Decision::Wait(ticket) => drop(self.offered.insert(ticket, now)),
            _ => self.refused += 1,
        }
    }

    fn take_action(&mut self, now: u64, action: ClaimAction) {
        match action {
            ClaimAction::Append(body) => {
                self.appends += 1;
                self.append_in_flight = Some((now + APPEND_LATENCY_MS, body));
            }
            ClaimAction::Run(ticket) => {
                if self
                    .claimant
                    .try_start(ticket, Instant::from_millis(now))
                    .is_ok()
                {
                    let offered = self.offered.remove(&ticket).unwrap_or(now);
                    self.waits.push(now - offered);
                    self.running
                        .entry(now + SERVICE_TIME_MS)
                        .or_default()
                        .push(ticket);
                }
            }
            ClaimAction::Settle(..) => self.refused += 1,
        }
    }
}

//! Randomized simulation of claimants that share one stream, in virtual time.
//!
//! The simulation covers lost and late answers of the platform, duplicate records, pauses at every
//! step, restarts, expired records and a full ledger.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use swiftcart_core::*;

const WINDOW: u64 = 1_000;
const MARGIN: u64 = 100;
const NODES: usize = 4;
const STEPS: usize = 4_000;
const SEEDS: u64 = 120;

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Record in transit to the log.
struct InTransit {
    arrives_at: u64,
    body: String,
    /// Node and generation that get the platform's answer, if any.
    sender: Option<(usize, u32)>,
}

/// Simulated node process, with all inputs and actions that a pause can delay.
struct Node {
    claimant: Claimant,
    generation: u32,
    /// Rate of the node's clock in 1/1000.
    clock_rate: u64,
    /// Reading of the node's clock at virtual time zero, in milliseconds.
    start_ms: u64,
    paused_until: u64,
    inbox: VecDeque<AppendResult>,
    page: Option<(Offset, Offset, u64, Vec<Entry>)>,
    actions: VecDeque<ClaimAction>,
    /// Permitted but not dispatched yet.
    permits: Vec<(ClaimTicket, StartPermit)>,
    running: Vec<ClaimTicket>,
    claims: BTreeMap<ClaimTicket, Claim>,
}

impl Node {
    fn clock(&self, now: u64) -> Instant {
        Instant::from_millis(self.start_ms + now * self.clock_rate / 1000)
    }
}

#[derive(Debug, Clone, Copy, PartialEq)]
struct Execution {
    at: u64,
    attempt: AttemptId,
    hash: RequestHash,
}

#[derive(Debug, Default, PartialEq)]
struct Coverage {
    runs: usize,
    replays: usize,
    conflicts: usize,
    refused: usize,
    twice: usize,
}

struct Simulation {
    rng: SmallRng,
    now: u64,
    retention: u64,
    settings: ClaimSettings,
    /// `true` if keys are reused after their window, with deadlines beyond the window.
    reuse: bool,
    /// Number of keys in use at a time.
    keys: u64,
    log: Vec<Entry>,
    first: u64,
    in_transit: Vec<InTransit>,
    nodes: Vec<Node>,
    /// Time of the first offer of each key.
    first_offered: BTreeMap<ClaimKey, u64>,
    runs: BTreeMap<ClaimKey, Vec<Execution>>,
    not_run: BTreeSet<AttemptId>,
    coverage: Coverage,
}

impl Simulation {
    fn new(seed: u64, retention: u64, (keys, marks): (u64, usize), reuse: bool) -> Self {
        let settings = ClaimSettings {
            pending_timeout: ms(200),
            result_linger: ms(10),
            backoff: ms(5),
            backoff_max: ms(50),
            retention: ms(retention),
            ..ClaimSettings::new(ms(retention))
                .with_window(ms(WINDOW), ms(MARGIN))
                .with_memory(marks, 200)
                .with_rate(500.0, ms(1))
        };
        assert_eq!(settings.check(), Ok(()));
        let mut simulation = Self {
            rng: SmallRng::seed_from_u64(seed),
            now: 10_000,
            retention,
            settings,
            reuse,
            keys,
            log: Vec::new(),
            first: 0,
            in_transit: Vec::new(),
            nodes: Vec::new(),
            first_offered: BTreeMap::new(),
            runs: BTreeMap::new(),
            not_run: BTreeSet::new(),
            coverage: Coverage::default(),
        };
        simulation.nodes = (0..NODES).map(|_| simulation.node(0)).collect();
        simulation
    }

    fn node(&mut self, generation: u32) -> Node {
        Node {
            claimant: Claimant::new(self.settings.clone(), self.rng.random()),
            generation,
            clock_rate: self.rng.random_range(985..=1015),
            start_ms: self.rng.random_range(0..50_000),
            paused_until: 0,
            inbox: VecDeque::new(),
            page: None,
            actions: VecDeque::new(),
            permits: Vec::new(),
            running: Vec::new(),
            claims: BTreeMap::new(),
        }
    }

    fn step(&mut self) {
        self.now += self.rng.random_range(0..3);
        self.deliver_records();
        let i = self.rng.random_range(0..NODES);
        match self.rng.random_range(0..1000) {
            _ if self.nodes[i].paused_until > self.now => {}
            // Pauses of any length, and often pauses that end near the end of the window.
            0..3 => self.nodes[i].paused_until = self.now + self.rng.random_range(0..3 * WINDOW),
            3..5 => {
                let about = WINDOW - 3 * MARGIN..WINDOW + 3 * MARGIN;
                self.nodes[i].paused_until = self.now + self.rng.random_range(about);
            }
            5..8 => {
                let generation = self.nodes[i].generation + 1;
                self.nodes[i] = self.node(generation);
            }
            8..200 => self.read(i),
            200..400 => self.deliver(i),
            400..500 => self.offer(i),
            500..520 => self.cancel_claim(i),
            520..700 => self.take_action(i),
            700..800 => self.dispatch(i),
            800..850 => self.finish_execution(i),
            _ => {
                let now = self.nodes[i].clock(self.now);
                let actions = self.nodes[i].claimant.poll(now);
                self.nodes[i].actions.extend(actions);
            }
        }
    }

    /// Appends the records that have arrived and deletes records older than the retention.
    fn deliver_records(&mut self) {
        let now = self.now;
        for record in self
            .in_transit
            .extract_if(.., |r| r.arrives_at <= now)
            .collect::<Vec<_>>()
        {
            let offset = Offset(self.log.len() as u64);
            let (at_ms, body) = (now, record.body);
            self.log.push(Entry {
                offset,
                at_ms,
                body,
            });
            match record.sender {
                Some((i, generation)) if self.nodes[i].generation == generation => {
                    self.nodes[i].inbox.push_back(AppendResult::Done(offset));
                }
                _ => {}
            }
        }
        let is_retained = |e: &&Entry| e.at_ms + self.retention >= now;
        let first = self.log.iter().find(is_retained).map(|e| e.offset.0);
        self.first = first.unwrap_or(self.log.len() as u64);
    }

    fn append(&mut self, i: usize, body: &str) {
        let arrives_soon = self.now + self.rng.random_range(1..20);
        let arrives_late = self.now + self.rng.random_range(1..3 * WINDOW);
        let sender = Some((i, self.nodes[i].generation));
        let failed = AppendResult::Failed { retry_after: None };
        let (arrivals, sender, result): (&[u64], _, _) = match self.rng.random_range(0..100) {
            0..60 => (&[arrives_soon], sender, None),
            60..70 => (&[], None, Some(failed)),
            70..78 => (&[], None, Some(AppendResult::Unknown)),
            78..90 => (&[arrives_soon], None, Some(AppendResult::Unknown)),
            90..96 => (&[arrives_late], None, Some(AppendResult::Unknown)),
            _ => (
                &[arrives_soon, arrives_late],
                None,
                Some(AppendResult::Unknown),
            ),
        };
        for arrives_at in arrivals.iter().copied() {
            let body = body.to_owned();
            self.in_transit.push(InTransit {
                arrives_at,
                body,
                sender,
            });
        }
        self.nodes[i].inbox.extend(result);
    }

    /// Starts a read, or delivers the page of the read in progress.
    fn read(&mut self, i: usize) {
        let from = self.nodes[i].claimant.ledger().next().0.max(self.first);
        let len = self.rng.random_range(1..20);
        let now = self.nodes[i].clock(self.now);
        let node = &mut self.nodes[i];
        let Some((first, next, at, entries)) = node.page.take() else {
            let entries = self.log.iter().skip(from as usize).take(len);
            let next = Offset(self.log.len() as u64);
            let entries = entries.cloned().collect();
            node.page = Some((Offset(self.first), next, self.now, entries));
            return;
        };
        let (page_time, entries) = (PlatformTime(at), &entries);
        let page = ClaimPage {
            first,
            next,
            now: page_time,
            entries,
        };
        node.claimant.apply_page(now, &page);
    }

    fn deliver(&mut self, i: usize) {
        let now = self.nodes[i].clock(self.now);
        if let Some(result) = self.nodes[i].inbox.pop_front() {
            self.nodes[i].claimant.finish_append(now, result);
        }
    }

    fn offer(&mut self, i: usize) {
        let key_base = if self.reuse {
            4
        } else {
            self.now / (2 * WINDOW) * 4
        };
        let key = ClaimKey(u128::from(key_base + self.rng.random_range(0..self.keys)));
        let first_offered = *self.first_offered.entry(key).or_insert(self.now);
        let timeout = self.rng.random_range(1..600);
        let until = match self.reuse {
            true => self.now + self.rng.random_range(1..4 * WINDOW),
            false => (self.now + timeout).min(first_offered + WINDOW - MARGIN),
        };
        if until <= self.now {
            return;
        }
        let other = self.rng.random_bool(0.1);
        let hash = RequestHash::new("POST", "/book", if other { b"b" } else { b"a" });
        let attempt = AttemptId(self.rng.random());
        let deadline = self.nodes[i].clock(until);
        let now = self.nodes[i].clock(self.now);
        let claim = Claim {
            key,
            hash,
            attempt,
            deadline,
        };
        let decision = self.nodes[i].claimant.offer(now, claim);
        match decision {
            Decision::Wait(ticket) => drop(self.nodes[i].claims.insert(ticket, claim)),
            decision => self.record_decision(&claim, &decision),
        }
    }

    /// Records the decision that a caller receives for an attempt that did not run.
    fn record_decision(&mut self, claim: &Claim, decision: &Decision) {
        self.not_run.insert(claim.attempt);
        match decision {
            Decision::Replay(answer) => {
                assert_eq!(
                    answer.body,
                    body(claim.hash),
                    "replayed the answer of another request"
                );
                self.coverage.replays += 1;
            }
            Decision::Conflict => self.coverage.conflicts += 1,
            _ => self.coverage.refused += 1,
        }
    }

    fn take_action(&mut self, i: usize) {
        let now = self.nodes[i].clock(self.now);
        match self.nodes[i].actions.pop_front() {
            Some(ClaimAction::Append(body)) => self.append(i, &body),
            Some(ClaimAction::Run(ticket)) => match self.nodes[i].claimant.try_start(ticket, now) {
                Ok(start) => self.nodes[i].permits.push((ticket, start)),
                Err(_) => self.record_not_run(i, ticket),
            },
            Some(ClaimAction::Settle(ticket, decision)) => {
                let claim = self.nodes[i].claims[&ticket];
                self.record_decision(&claim, &decision);
            }
            None => {}
        }
    }

    fn cancel_claim(&mut self, i: usize) {
        let now = self.nodes[i].clock(self.now);
        let tickets: Vec<_> = self.nodes[i].claims.keys().copied().collect();
        let Some(ticket) = tickets.choose(&mut self.rng).copied() else {
            return;
        };
        match self.nodes[i].claimant.cancel_claim(now, ticket) {
            Outcome::NotRun => self.record_not_run(i, ticket),
            Outcome::Done | Outcome::Unknown => {}
        }
    }

    fn record_not_run(&mut self, i: usize, ticket: ClaimTicket) {
        let attempt = self.nodes[i].claims[&ticket].attempt;
        self.not_run.insert(attempt);
    }

    /// Dispatches a request; the backend server checks the deadline with the same clock.
    fn dispatch(&mut self, i: usize) {
        let now = self.nodes[i].clock(self.now);
        let Some((ticket, start)) = self.nodes[i].permits.pop() else {
            return;
        };
        let Claim {
            key, hash, attempt, ..
        } = self.nodes[i].claims[&ticket];
        if now >= start.until {
            self.nodes[i]
                .claimant
                .record_result(now, ticket, ExecutionResult::NotRun);
            return self.record_not_run(i, ticket);
        }
        let at = self.now;
        self.runs
            .entry(key)
            .or_default()
            .push(Execution { at, attempt, hash });
        self.nodes[i].running.push(ticket);
    }

    fn finish_execution(&mut self, i: usize) {
        let now = self.nodes[i].clock(self.now);
        let Some(ticket) = self.nodes[i].running.pop() else {
            return;
        };
        let body = body(self.nodes[i].claims[&ticket].hash);
        let finish = match self.rng.random_bool(0.8) {
            true => ExecutionResult::Whole(Answer {
                status: 201,
                headers: vec![],
                body,
            }),
            false => ExecutionResult::Broken,
        };
        self.nodes[i].claimant.record_result(now, ticket, finish);
    }

    fn check(&mut self) {
        for (key, runs) in &self.runs {
            for pair in runs.windows(2) {
                let gap = pair[1].at - pair[0].at;
                assert!(
                    self.reuse && gap >= 2 * MARGIN - 2 * MARGIN * 3 / 10,
                    "{key}: {pair:?}"
                );
                self.coverage.twice += 1;
            }
            let violation = runs.iter().find(|r| self.not_run.contains(&r.attempt));
            assert_eq!(
                violation, None,
                "attempt ran after its caller was answered not-run: {key}"
            );
            self.coverage.runs += runs.len();
        }
    }
}

fn body(hash: RequestHash) -> Vec<u8> {
    hash.to_string().into_bytes()
}

#[rstest]
#[case::retries_within_the_window(2 * WINDOW + 400, (4, 10_000), false)]
#[case::keys_reused_after_the_window(2 * WINDOW + 400, (4, 10_000), true)]
#[case::retention_barely_longer_than_blocking_period(WINDOW + MARGIN + 50, (4, 10_000), true)]
#[case::ledger_smaller_than_key_set(2 * WINDOW + 400, (40, 16), true)]
fn runs_at_most_once(#[case] retention: u64, #[case] keys: (u64, usize), #[case] reuse: bool) {
    let mut coverage = Coverage::default();
    for seed in 0..SEEDS {
        let mut simulation = Simulation::new(seed, retention, keys, reuse);
        (0..STEPS).for_each(|_| simulation.step());
        simulation.check();
        coverage.runs += simulation.coverage.runs;
        coverage.replays += simulation.coverage.replays;
        coverage.conflicts += simulation.coverage.conflicts;
        coverage.refused += simulation.coverage.refused;
        coverage.twice += simulation.coverage.twice;
    }
    println!("{coverage:?}");
    let all = [
        coverage.runs,
        coverage.replays,
        coverage.conflicts,
        coverage.refused,
    ];
    assert!(
        all.iter().all(|n| *n > 50),
        "the simulation reaches too few cases: {coverage:?}"
    );
}

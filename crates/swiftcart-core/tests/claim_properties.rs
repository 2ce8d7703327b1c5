//! Many claimants on one stream, in virtual time: lost and late answers, duplicates,
//! pauses at every step, restarts, expiry, a full ledger.

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

/// A record on its way: when it takes effect, and the sender's life to tell, if any.
struct Flight {
    lands: u64,
    body: String,
    sender: Option<(usize, u32)>,
}

/// One process, with everything in it that a pause can delay.
struct Node {
    claimant: Claimant,
    life: u32,
    /// Its clock's rate in 1/1000, and what it showed at the start.
    rate: u64,
    shown: u64,
    paused: u64,
    inbox: VecDeque<AppendResult>,
    page: Option<(Offset, Offset, u64, Vec<Entry>)>,
    actions: VecDeque<ClaimAction>,
    /// Allowed to start, not handed over yet.
    starts: Vec<(ClaimTicket, StartPermit)>,
    running: Vec<ClaimTicket>,
    claims: BTreeMap<ClaimTicket, Claim>,
}

impl Node {
    fn clock(&self, now: u64) -> Instant {
        Instant::from_millis(self.shown + now * self.rate / 1000)
    }
}

#[derive(Debug, Clone, Copy, PartialEq)]
struct Execution {
    at: u64,
    attempt: AttemptId,
    hash: RequestHash,
}

#[derive(Debug, Default, PartialEq)]
struct Seen {
    runs: usize,
    replays: usize,
    conflicts: usize,
    refused: usize,
    twice: usize,
}

struct World {
    rng: SmallRng,
    now: u64,
    retention: u64,
    settings: ClaimSettings,
    /// Keys are reused after their window, with deadlines beyond it.
    reuse: bool,
    /// Keys in use at a time.
    keys: u64,
    log: Vec<Entry>,
    first: u64,
    flights: Vec<Flight>,
    nodes: Vec<Node>,
    /// When each key was first offered.
    born: BTreeMap<ClaimKey, u64>,
    runs: BTreeMap<ClaimKey, Vec<Execution>>,
    not_run: BTreeSet<AttemptId>,
    seen: Seen,
}

impl World {
    fn new(seed: u64, retention: u64, (keys, marks): (u64, usize), reuse: bool) -> Self {
        let settings = ClaimSettings {
            patience: ms(200),
            linger_end: ms(10),
            backoff: ms(5),
            backoff_max: ms(50),
            retention: ms(retention),
            ..ClaimSettings::new(ms(retention))
                .with_window(ms(WINDOW), ms(MARGIN))
                .with_memory(marks, 200)
                .with_rate(500.0, ms(1))
        };
        assert_eq!(settings.check(), Ok(()));
        let mut world = Self {
            rng: SmallRng::seed_from_u64(seed),
            now: 10_000,
            retention,
            settings,
            reuse,
            keys,
            log: Vec::new(),
            first: 0,
            flights: Vec::new(),
            nodes: Vec::new(),
            born: BTreeMap::new(),
            runs: BTreeMap::new(),
            not_run: BTreeSet::new(),
            seen: Seen::default(),
        };
        world.nodes = (0..NODES).map(|_| world.node(0)).collect();
        world
    }

    fn node(&mut self, life: u32) -> Node {
        Node {
            claimant: Claimant::new(self.settings.clone(), self.rng.random()),
            life,
            rate: self.rng.random_range(985..=1015),
            shown: self.rng.random_range(0..50_000),
            paused: 0,
            inbox: VecDeque::new(),
            page: None,
            actions: VecDeque::new(),
            starts: Vec::new(),
            running: Vec::new(),
            claims: BTreeMap::new(),
        }
    }

    fn step(&mut self) {
        self.now += self.rng.random_range(0..3);
        self.land();
        let i = self.rng.random_range(0..NODES);
        match self.rng.random_range(0..1000) {
            _ if self.nodes[i].paused > self.now => {}
            // Any length, and often one that ends about when the window does.
            0..3 => self.nodes[i].paused = self.now + self.rng.random_range(0..3 * WINDOW),
            3..5 => {
                let about = WINDOW - 3 * MARGIN..WINDOW + 3 * MARGIN;
                self.nodes[i].paused = self.now + self.rng.random_range(about);
            }
            5..8 => {
                let life = self.nodes[i].life + 1;
                self.nodes[i] = self.node(life);
            }
            8..200 => self.read(i),
            200..400 => self.deliver(i),
            400..500 => self.offer(i),
            500..520 => self.cancel_claim(i),
            520..700 => self.act(i),
            700..800 => self.hand_over(i),
            800..850 => self.finish(i),
            _ => {
                let now = self.nodes[i].clock(self.now);
                let actions = self.nodes[i].claimant.poll(now);
                self.nodes[i].actions.extend(actions);
            }
        }
    }

    /// Lets records take effect, and the platform forget the oldest.
    fn land(&mut self) {
        let now = self.now;
        for flight in self
            .flights
            .extract_if(.., |f| f.lands <= now)
            .collect::<Vec<_>>()
        {
            let offset = Offset(self.log.len() as u64);
            let (at_ms, body) = (now, flight.body);
            self.log.push(Entry {
                offset,
                at_ms,
                body,
            });
            match flight.sender {
                Some((i, life)) if self.nodes[i].life == life => {
                    self.nodes[i].inbox.push_back(AppendResult::Done(offset));
                }
                _ => {}
            }
        }
        let kept = |e: &&Entry| e.at_ms + self.retention >= now;
        let first = self.log.iter().find(kept).map(|e| e.offset.0);
        self.first = first.unwrap_or(self.log.len() as u64);
    }

    fn append(&mut self, i: usize, body: &str) {
        let soon = self.now + self.rng.random_range(1..20);
        let late = self.now + self.rng.random_range(1..3 * WINDOW);
        let sender = Some((i, self.nodes[i].life));
        let failed = AppendResult::Failed { retry_after: None };
        let (lands, sender, result): (&[u64], _, _) = match self.rng.random_range(0..100) {
            0..60 => (&[soon], sender, None),
            60..70 => (&[], None, Some(failed)),
            70..78 => (&[], None, Some(AppendResult::Unknown)),
            78..90 => (&[soon], None, Some(AppendResult::Unknown)),
            90..96 => (&[late], None, Some(AppendResult::Unknown)),
            _ => (&[soon, late], None, Some(AppendResult::Unknown)),
        };
        for lands in lands.iter().copied() {
            let body = body.to_owned();
            self.flights.push(Flight {
                lands,
                body,
                sender,
            });
        }
        self.nodes[i].inbox.extend(result);
    }

    /// Starts a read, or delivers the one that is under way.
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
        let (now_, entries) = (PlatformTime(at), &entries);
        let page = ClaimPage {
            first,
            next,
            now: now_,
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
        let lives = if self.reuse {
            4
        } else {
            self.now / (2 * WINDOW) * 4
        };
        let key = ClaimKey(u128::from(lives + self.rng.random_range(0..self.keys)));
        let born = *self.born.entry(key).or_insert(self.now);
        let patience = self.rng.random_range(1..600);
        let until = match self.reuse {
            true => self.now + self.rng.random_range(1..4 * WINDOW),
            false => (self.now + patience).min(born + WINDOW - MARGIN),
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
            decision => self.told(&claim, &decision),
        }
    }

    /// Notes what a caller hears; whatever it is, this attempt has not run.
    fn told(&mut self, claim: &Claim, decision: &Decision) {
        self.not_run.insert(claim.attempt);
        match decision {
            Decision::Replay(answer) => {
                assert_eq!(answer.body, body(claim.hash), "another request's answer");
                self.seen.replays += 1;
            }
            Decision::Conflict => self.seen.conflicts += 1,
            _ => self.seen.refused += 1,
        }
    }

    fn act(&mut self, i: usize) {
        let now = self.nodes[i].clock(self.now);
        match self.nodes[i].actions.pop_front() {
            Some(ClaimAction::Append(body)) => self.append(i, &body),
            Some(ClaimAction::Run(ticket)) => match self.nodes[i].claimant.try_start(ticket, now) {
                Ok(start) => self.nodes[i].starts.push((ticket, start)),
                Err(_) => self.ended(i, ticket),
            },
            Some(ClaimAction::Settle(ticket, decision)) => {
                let claim = self.nodes[i].claims[&ticket];
                self.told(&claim, &decision);
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
            Outcome::NotRun => self.ended(i, ticket),
            Outcome::Done | Outcome::Unknown => {}
        }
    }

    fn ended(&mut self, i: usize, ticket: ClaimTicket) {
        let attempt = self.nodes[i].claims[&ticket].attempt;
        self.not_run.insert(attempt);
    }

    /// Hands a request over; the backend server compares the deadline with the same clock.
    fn hand_over(&mut self, i: usize) {
        let now = self.nodes[i].clock(self.now);
        let Some((ticket, start)) = self.nodes[i].starts.pop() else {
            return;
        };
        let Claim {
            key, hash, attempt, ..
        } = self.nodes[i].claims[&ticket];
        if now >= start.until {
            self.nodes[i]
                .claimant
                .record_result(now, ticket, ExecutionResult::NotRun);
            return self.ended(i, ticket);
        }
        let at = self.now;
        self.runs
            .entry(key)
            .or_default()
            .push(Execution { at, attempt, hash });
        self.nodes[i].running.push(ticket);
    }

    fn finish(&mut self, i: usize) {
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
                self.seen.twice += 1;
            }
            let told = runs.iter().find(|r| self.not_run.contains(&r.attempt));
            assert_eq!(told, None, "told not-run and ran: {key}");
            self.seen.runs += runs.len();
        }
    }
}

fn body(hash: RequestHash) -> Vec<u8> {
    hash.to_string().into_bytes()
}

#[rstest]
#[case::retries_within_the_window(2 * WINDOW + 400, (4, 10_000), false)]
#[case::keys_reused_after_the_window(2 * WINDOW + 400, (4, 10_000), true)]
#[case::records_kept_hardly_longer_than_the_window(WINDOW + MARGIN + 50, (4, 10_000), true)]
#[case::ledger_too_small(2 * WINDOW + 400, (40, 16), true)]
fn runs_at_most_once(#[case] retention: u64, #[case] keys: (u64, usize), #[case] reuse: bool) {
    let mut seen = Seen::default();
    for seed in 0..SEEDS {
        let mut world = World::new(seed, retention, keys, reuse);
        (0..STEPS).for_each(|_| world.step());
        world.check();
        seen.runs += world.seen.runs;
        seen.replays += world.seen.replays;
        seen.conflicts += world.seen.conflicts;
        seen.refused += world.seen.refused;
        seen.twice += world.seen.twice;
    }
    println!("{seen:?}");
    let all = [seen.runs, seen.replays, seen.conflicts, seen.refused];
    assert!(
        all.iter().all(|n| *n > 50),
        "the worlds reach too little: {seen:?}"
    );
}

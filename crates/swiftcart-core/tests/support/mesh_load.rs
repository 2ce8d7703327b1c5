//! A service under load in virtual time: ingresses that choose, guards that admit, backend servers that work.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use swiftcart_core::*;

use super::support::member;

/// The time in which an answer is worth most.
const TARGET: Duration = Duration::from_millis(400);
/// The time until a caller gives up.
const DEADLINE: Duration = Duration::from_millis(1_500);
/// One way between two nodes.
const HOP: Duration = Duration::from_millis(1);
/// When callers begin to be counted.
pub const COUNTED: Duration = Duration::from_secs(4);

/// How the service is, and what is asked of it.
#[derive(Debug, Clone)]
pub struct Load {
    /// Nodes that callers ask, one of them beside each backend server.
    pub nodes: usize,
    pub servers: usize,
    pub domains: usize,
    pub slots: u32,
    /// The mean time of work of the quickest backend server; the slowest takes three times as long.
    pub work: Duration,
    /// Requests a second.
    pub asked: f64,
    /// The backend servers that name a rate, counted from the quickest one, and which.
    pub named: Vec<f64>,
    pub time: Duration,
}

/// What came of it.
#[derive(Debug, Default, Clone)]
pub struct Outcome {
    pub asked: usize,
    pub in_time: usize,
    pub refused: usize,
    /// Guards that were asked.
    pub tries: usize,
    /// When each backend server got its requests.
    pub starts: Vec<Vec<Instant>>,
}

impl Outcome {
    /// Returns the part of the requests that were answered in time.
    pub fn in_time(&self) -> f64 {
        self.in_time as f64 / self.asked.max(1) as f64
    }

    /// Returns the guards that were asked for each request.
    pub fn tries_each(&self) -> f64 {
        self.tries as f64 / self.asked.max(1) as f64
    }

    /// Returns the most requests that a backend server got in some `window`.
    pub fn most(&self, server: usize, window: Duration) -> usize {
        let starts = &self.starts[server];
        let within = |from: Instant| {
            let inside = |at: &&Instant| **at >= from && **at < from + window;
            starts.iter().filter(inside).count()
        };
        starts.iter().copied().map(within).max().unwrap_or(0)
    }

    /// Returns the requests a second that a backend server got.
    pub fn rate(&self, server: usize, time: Duration) -> f64 {
        let counted = time - COUNTED;
        let counts = |at: &&Instant| at.elapsed() >= COUNTED && at.elapsed() < time;
        let got = self.starts[server].iter().filter(counts).count();
        got as f64 / counted.as_secs_f64()
    }
}

#[derive(Debug, Clone, Copy)]
enum Event {
    Arrive,
    Offer(usize, NodeId),
    Done(NodeId, Ticket, usize, Duration),
    Wake(NodeId),
    Answer(usize, NodeId, Sample),
    Refused(usize, NodeId, Reason, Sample),
}

#[derive(Debug)]
struct Call {
    ingress: usize,
    arrived: Instant,
    slot_search: SlotSearch,
    tries: PolicyRetryState,
    sent: Instant,
}

#[derive(Debug)]
struct Guard {
    admission: Admission,
    work: Duration,
    waiting: HashMap<Ticket, usize>,
    server: usize,
}

struct Play {
    load: Load,
    rng: SmallRng,
    now: Instant,
    next: u64,
    events: BinaryHeap<Reverse<(Instant, u64)>>,
    what: HashMap<u64, Event>,
    views: Vec<View>,
    balancers: Vec<Balancer>,
    guards: HashMap<NodeId, Guard>,
    calls: Vec<Call>,
    outcome: Outcome,
}

/// Plays a load with one seed.
pub fn play(load: &Load, seed: u64) -> Outcome {
    let mut play = Play::new(load, seed);
    play.push(Duration::ZERO, Event::Arrive);
    while let Some(Reverse((at, number))) = play.events.pop() {
        if at.elapsed() >= load.time + DEADLINE {
            break;
        }
        play.now = at;
        if let Some(event) = play.what.remove(&number) {
            play.step(event);
        }
    }
    play.outcome
}

impl Play {
    fn new(load: &Load, seed: u64) -> Self {
        let number = |n: usize| u16::try_from(n + 1).expect("few nodes");
        let domain = |n: usize| format!("domain-{}", n % load.domains);
        let members: Vec<Member> = (0..load.nodes)
            .map(|n| {
                let mut member = member(number(n), "sensor", &domain(n));
                member.backend = member.backend.filter(|_| n < load.servers);
                if let Some(backend) = &mut member.backend {
                    backend.slots = load.slots;
                }
                member
            })
            .collect();
        let table = Table::new().with_service("sensor", Limits::default());
        let views: Vec<View> = members
            .iter()
            .map(|me| View::new(Version(1), &table, members.iter(), me.id, &me.domain))
            .collect();
        let start = Instant::default();
        let balancers = views.iter().zip(&members).map(|(view, me)| {
            let mut balancer = Balancer::new(me.id, BalanceSettings::default());
            balancer.adopt(start, view);
            balancer
        });
        let guards = members
            .iter()
            .take(load.servers)
            .enumerate()
            .map(|(n, me)| {
                let mut admission =
                    Admission::new(start, AdmissionSettings::default()).with_slots(load.slots);
                let rate = load.named.get(n).copied().and_then(ServerRate::new);
                admission.set_rate(start, rate);
                let slower = 1.0 + 2.0 * n as f64 / (load.servers.max(2) - 1) as f64;
                let guard = Guard {
                    admission,
                    work: load.work.mul_f64(slower),
                    waiting: HashMap::new(),
                    server: n,
                };
                (me.id, guard)
            });
        Self {
            rng: SmallRng::seed_from_u64(seed),
            now: start,
            next: 0,
            events: BinaryHeap::new(),
            what: HashMap::new(),
            balancers: balancers.collect(),
            guards: guards.collect(),
            views,
            calls: Vec::new(),
            outcome: Outcome {
                starts: vec![Vec::new(); load.servers],
                ..Outcome::default()
            },
            load: load.clone(),
        }
    }

    fn push(&mut self, after: Duration, event: Event) {
        self.next += 1;
        self.events.push(Reverse((self.now + after, self.next)));
        self.what.insert(self.next, event);
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::Offer(call, guard) => self.offer(call, guard),
            Event::Done(guard, ticket, call, time) => self.done(guard, ticket, call, time),
            Event::Wake(guard) => self.wake(guard),
            Event::Answer(call, guard, sample) => self.answered(call, guard, sample),
            Event::Refused(call, guard, reason, sample) => {
                self.refused(call, guard, reason, sample);
            }
        }
    }

    fn counts(&self, call: usize) -> bool {
        self.calls[call].arrived.elapsed() >= COUNTED
    }

    fn arrive(&mut self) {
        if self.now.elapsed() >= self.load.time {
            return;
        }
        let pause = -self.rng.random::<f64>().max(1e-9).ln() / self.load.asked;
        self.push(Duration::from_secs_f64(pause), Event::Arrive);
        self.calls.push(Call {
            ingress: self.rng.random_range(0..self.load.nodes),
            arrived: self.now,
            slot_search: SlotSearch::new(self.load.servers, Payload::Light),
            tries: PolicyRetryState::default(),
            sent: self.now,
        });
        let call = self.calls.len() - 1;
        self.outcome.asked += usize::from(self.counts(call));
        self.send(call);
    }

    fn due(&self, call: usize) -> Deadline {
        Deadline::new(self.calls[call].arrived, DEADLINE)
    }

    fn send(&mut self, call: usize) {
        let ingress = self.calls[call].ingress;
        let entry = self.views[ingress].service("sensor").expect("the service");
        let slot_search = &mut self.calls[call].slot_search;
        let pick = loop {
            let excluded = slot_search.excluded().to_vec();
            let pick = self.balancers[ingress].pick(self.now, entry, &excluded, &mut self.rng);
            if !slot_search.switch_to_queueing(pick.as_ref()) {
                break pick;
            }
        };
        let Some(pick) = pick else {
            self.outcome.refused += usize::from(self.counts(call));
            return;
        };
        self.outcome.tries += usize::from(self.counts(call));
        self.balancers[ingress].started(pick.id);
        self.calls[call].sent = self.now;
        self.push(HOP, Event::Offer(call, pick.id));
    }

    fn offer(&mut self, call: usize, id: NodeId) {
        let bid = Bid::new(self.due(call))
            .with_target(TARGET)
            .with_patience(self.calls[call].slot_search.patience());
        let now = self.now;
        let guard = self.guards.get_mut(&id).expect("a guard");
        let started = guard.admission.resume(now);
        let admit = guard.admission.offer(now, bid, &mut self.rng);
        let displaced = guard.admission.displaced();
        self.start_all(id, started);
        for Refused { ticket, refusal } in displaced {
            self.turn_away(id, ticket, refusal);
        }
        match admit {
            Admit::Run(ticket) => self.start(id, ticket, call),
            Admit::Queue(ticket) => {
                let guard = self.guards.get_mut(&id).expect("a guard");
                guard.waiting.insert(ticket, call);
                let until = guard.admission.waits_until(ticket).unwrap_or(now);
                self.push(until.since(now), Event::Wake(id));
                self.wake_later(id);
            }
            Admit::Refuse(refusal) => self.reply_refused(id, call, refusal),
        }
    }

    fn start_all(&mut self, id: NodeId, started: Vec<Ticket>) {
        for ticket in started {
            let guard = self.guards.get_mut(&id).expect("a guard");
            if let Some(call) = guard.waiting.remove(&ticket) {
                self.start(id, ticket, call);
            }
        }
    }

    fn start(&mut self, id: NodeId, ticket: Ticket, call: usize) {
        let guard = &self.guards[&id];
        let time = guard.work.mul_f64(self.rng.random_range(0.3..1.7));
        self.outcome.starts[guard.server].push(self.now);
        self.push(time, Event::Done(id, ticket, call, time));
    }

    fn turn_away(&mut self, id: NodeId, ticket: Ticket, refusal: Refusal) {
        let guard = self.guards.get_mut(&id).expect("a guard");
        if let Some(call) = guard.waiting.remove(&ticket) {
            self.reply_refused(id, call, refusal);
        }
    }

    fn reply_refused(&mut self, id: NodeId, call: usize, refusal: Refusal) {
        let reason = refusal.reason;
        let again = refusal.retry_after.filter(|_| reason == Reason::Throttled);
        let sample = self
            .sample(id, call, CallResult::Refused)
            .with_retry_after(again);
        self.push(HOP, Event::Refused(call, id, reason, sample));
    }

    fn sample(&self, id: NodeId, call: usize, result: CallResult) -> Sample {
        let admission = &self.guards[&id].admission;
        let time = (self.now + HOP).since(self.calls[call].sent);
        let mut sample = Sample::new(time, result).with_load(admission.load());
        sample.pace = admission.pace(self.now);
        sample
    }

    fn done(&mut self, id: NodeId, ticket: Ticket, call: usize, time: Duration) {
        let guard = self.guards.get_mut(&id).expect("a guard");
        let sample = Sample::new(time, CallResult::Success).with_target(TARGET);
        let started = guard.admission.done(ticket, self.now, &sample);
        self.start_all(id, started);
        self.wake_later(id);
        let sample = self.sample(id, call, CallResult::Success);
        self.push(HOP, Event::Answer(call, id, sample));
    }

    fn wake(&mut self, id: NodeId) {
        let guard = self.guards.get_mut(&id).expect("a guard");
        let started = guard.admission.resume(self.now);
        let late = guard.admission.expire(self.now, &mut self.rng);
        self.start_all(id, started);
        for Refused { ticket, refusal } in late {
            self.turn_away(id, ticket, refusal);
        }
        self.wake_later(id);
    }

    fn wake_later(&mut self, id: NodeId) {
        if let Some(at) = self.guards[&id].admission.starts_at(self.now) {
            let after = at.since(self.now).max(Duration::from_millis(1));
            self.push(after, Event::Wake(id));
        }
    }

    fn answered(&mut self, call: usize, id: NodeId, sample: Sample) {
        let ingress = self.calls[call].ingress;
        self.balancers[ingress].finished(id, self.now, &sample);
        let in_time = self.now.since(self.calls[call].arrived) <= TARGET;
        self.outcome.in_time += usize::from(self.counts(call) && in_time);
    }

    fn refused(&mut self, call: usize, id: NodeId, reason: Reason, sample: Sample) {
        let ingress = self.calls[call].ingress;
        self.balancers[ingress].finished(id, self.now, &sample);
        let due = self.due(call);
        let asked = &mut self.calls[call];
        asked.slot_search.failed(id, reason);
        let terms = RetryPolicy {
            idempotent: true,
            attempts: 2,
        };
        match asked.tries.retry(self.now, id, reason, terms, due, || true) {
            Ok(_) => self.send(call),
            Err(_) => self.outcome.refused += usize::from(self.counts(call)),
        }
    }
}

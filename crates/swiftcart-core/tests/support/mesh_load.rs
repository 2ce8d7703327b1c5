//! Simulation of a service under load in virtual time.
//!
//! Ingresses choose a guard, guards admit requests, and backend servers run them.
#![allow(dead_code, reason = "each test target uses a subset")]

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use swiftcart_core::*;

use super::support::member;

/// Latency target of a request.
const TARGET: Duration = Duration::from_millis(400);
/// Time after which a caller gives up.
const DEADLINE: Duration = Duration::from_millis(1_500);
/// One-way latency between two nodes.
const HOP_LATENCY: Duration = Duration::from_millis(1);
/// Time at the start of the simulation in which requests are not counted.
pub const WARMUP: Duration = Duration::from_secs(4);

/// Service and load of a simulation.
#[derive(Debug, Default, Clone)]
pub struct Workload {
    /// Number of nodes that take requests. The first `servers` nodes each have a backend server.
    pub nodes: usize,
    pub servers: usize,
    pub domains: usize,
    pub slots: u32,
    /// Mean service time of the fastest backend server. That of the slowest is three times as long.
    pub service_time: Duration,
    /// Requests per second.
    pub request_rate: f64,
    /// Rates named by the first backend servers, starting with the fastest one.
    pub named_rates: Vec<f64>,
    /// Number of guards, starting with the fastest one, that refuse every request as if full.
    pub broken_guards: usize,
    /// Time from which every backend server has this number of slots.
    pub slot_change: Option<(Duration, u32)>,
    /// Settings with which the ingresses throttle their asks, if they do.
    pub ask_throttle: Option<AskThrottleSettings>,
    pub duration: Duration,
}

/// Choice of the guard for a request.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub enum Choice {
    /// The balancer compares a few candidates.
    #[default]
    Sampled,
    /// The balancer follows its spill plan.
    Planned,
    /// The true loads of all guards are known: a free slot of the own domain, else any free slot.
    Oracle,
}

/// Failure of one domain.
#[derive(Debug, Clone, Copy)]
pub struct Outage {
    pub domain: usize,
    pub from: Duration,
    pub until: Duration,
    /// `true` if the domain's nodes restart, `false` if only the links to others are cut.
    pub restart: bool,
}

/// Distribution of the load, and failures.
#[derive(Debug, Default, Clone, Copy)]
pub struct Scenario {
    pub choice: Choice,
    /// Relative amplitude by which the demand of each domain swings, in phases of its own.
    pub swing: f64,
    /// Maximum number of requests that arrive at once, at least 1.
    pub clump: usize,
    /// Additional one-way latency between domains.
    pub far_latency: Duration,
    /// Age of the loads that guards report.
    pub report_age: Duration,
    pub outage: Option<Outage>,
}

/// Period of the swings.
const SWING_PERIOD: Duration = Duration::from_secs(15);

impl Scenario {
    /// Returns the demand of a domain relative to its mean.
    pub fn demand(&self, domain: usize, domains: usize, at: Instant) -> f64 {
        let turns = at.elapsed().as_secs_f64() / SWING_PERIOD.as_secs_f64();
        let phase = domain as f64 / domains as f64;
        1.0 + self.swing * (std::f64::consts::TAU * (turns + phase)).sin()
    }
}

impl Workload {
    /// Returns the requests per second that the backend servers can complete.
    pub fn capacity(&self) -> f64 {
        let time = |n| self.service_time.mul_f64(self.slowdown(n)).as_secs_f64();
        let rates = (0..self.servers).map(|n| f64::from(self.slots) / time(n));
        rates.sum()
    }

    fn slowdown(&self, server: usize) -> f64 {
        1.0 + 2.0 * server as f64 / (self.servers.max(2) - 1) as f64
    }
}

/// Result of a simulation.
#[derive(Debug, Default, Clone)]
pub struct Outcome {
    pub requests: usize,
    pub in_time: usize,
    pub refused: usize,
    /// Number of attempts at guards.
    pub attempts: usize,
    /// Start times of the requests at each backend server.
    pub starts: Vec<Vec<Instant>>,
    /// Requests answered by another failure domain.
    pub crossed: usize,
    /// Times and pairs of domains of the answers from another one.
    pub crossings: Vec<(Instant, usize, usize)>,
    pub causes: HashMap<SpillCause, usize>,
}

impl Outcome {
    /// Returns the share of the requests answered within the latency target.
    pub fn in_time(&self) -> f64 {
        self.in_time as f64 / self.requests.max(1) as f64
    }

    /// Returns the share of the requests answered by another failure domain.
    pub fn crossed(&self) -> f64 {
        self.crossed as f64 / self.requests.max(1) as f64
    }

    /// Returns the mean number of attempts per request.
    pub fn attempts_per_request(&self) -> f64 {
        self.attempts as f64 / self.requests.max(1) as f64
    }

    /// Returns the number of requests that the backend servers started between two times.
    pub fn started(&self, from: Duration, until: Duration) -> usize {
        let is_counted = |at: &&Instant| (from..until).contains(&at.elapsed());
        self.starts.iter().flatten().filter(is_counted).count()
    }

    /// Returns the maximum number of requests that a backend server received in any `window`.
    pub fn max_in_window(&self, server: usize, window: Duration) -> usize {
        let starts = &self.starts[server];
        let within = |from: Instant| {
            let inside = |at: &&Instant| **at >= from && **at < from + window;
            starts.iter().filter(inside).count()
        };
        starts.iter().copied().map(within).max().unwrap_or(0)
    }

    /// Returns the requests per second that a backend server received after the warm-up.
    pub fn rate(&self, server: usize, time: Duration) -> f64 {
        let counted_time = time - WARMUP;
        let is_counted = |at: &&Instant| at.elapsed() >= WARMUP && at.elapsed() < time;
        let received = self.starts[server].iter().filter(is_counted).count();
        received as f64 / counted_time.as_secs_f64()
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
    ChangeSlots(u32),
}

#[derive(Debug)]
struct Call {
    ingress: usize,
    arrived: Instant,
    draw: SpillDraw,
    slot_search: SlotSearch,
    tries: PolicyRetryState,
    sent: Instant,
    /// Latest guard that was asked.
    pick: Option<Pick>,
}

#[derive(Debug)]
struct Guard {
    admission: Admission,
    service_time: Duration,
    waiting: HashMap<Ticket, usize>,
    server: usize,
    /// Loads by time, for reports of a certain age.
    reported: VecDeque<(Instant, Load)>,
}

struct Simulation {
    load: Workload,
    scenario: Scenario,
    rng: SmallRng,
    /// Random numbers of the scenario, so that an even load does not depend on it.
    scenario_rng: SmallRng,
    now: Instant,
    next: u64,
    events: BinaryHeap<Reverse<(Instant, u64)>>,
    pending: HashMap<u64, Event>,
    views: Vec<View>,
    balancers: Vec<Balancer>,
    throttles: Vec<AskThrottle>,
    guards: HashMap<NodeId, Guard>,
    calls: Vec<Call>,
    outcome: Outcome,
}

/// Runs the simulation of an even load with one seed.
pub fn simulate(load: &Workload, seed: u64) -> Outcome {
    simulate_scenario(load, Scenario::default(), seed)
}

/// Runs the simulation of a scenario with one seed.
pub fn simulate_scenario(load: &Workload, scenario: Scenario, seed: u64) -> Outcome {
    let mut simulation = Simulation::new(load, scenario, seed);
    simulation.schedule(Duration::ZERO, Event::Arrive);
    if let Some((at, slots)) = load.slot_change {
        simulation.schedule(at, Event::ChangeSlots(slots));
    }
    while let Some(Reverse((at, number))) = simulation.events.pop() {
        if at.elapsed() >= load.duration + DEADLINE {
            break;
        }
        simulation.now = at;
        if let Some(event) = simulation.pending.remove(&number) {
            simulation.handle(event);
        }
    }
    simulation.outcome
}

impl Simulation {
    fn new(load: &Workload, scenario: Scenario, seed: u64) -> Self {
        let node_number = |n: usize| u16::try_from(n + 1).expect("few nodes");
        let domain = |n: usize| format!("domain-{}", n % load.domains);
        let members: Vec<Member> = (0..load.nodes)
            .map(|n| {
                let mut member = member(node_number(n), "sensor", &domain(n));
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
                let rate = load.named_rates.get(n).copied().and_then(ServerRate::new);
                admission.set_rate(start, rate);
                let guard = Guard {
                    admission,
                    service_time: load.service_time.mul_f64(load.slowdown(n)),
                    waiting: HashMap::new(),
                    server: n,
                    reported: VecDeque::new(),
                };
                (me.id, guard)
            });
        Self {
            rng: SmallRng::seed_from_u64(seed),
            scenario_rng: SmallRng::seed_from_u64(!seed),
            now: start,
            next: 0,
            events: BinaryHeap::new(),
            pending: HashMap::new(),
            balancers: balancers.collect(),
            throttles: vec![AskThrottle::new(load.ask_throttle.unwrap_or_default()); load.nodes],
            guards: guards.collect(),
            views,
            calls: Vec::new(),
            outcome: Outcome {
                starts: vec![Vec::new(); load.servers],
                ..Outcome::default()
            },
            load: load.clone(),
            scenario,
        }
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.next += 1;
        self.events.push(Reverse((self.now + after, self.next)));
        self.pending.insert(self.next, event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::Offer(call, guard) => self.offer(call, guard),
            Event::Done(guard, ticket, call, time) => self.done(guard, ticket, call, time),
            Event::Wake(guard) => self.wake(guard),
            Event::Answer(call, guard, sample) => self.answered(call, guard, sample),
            Event::Refused(call, guard, reason, sample) => {
                self.refused(call, guard, reason, sample);
            }
            Event::ChangeSlots(slots) => self.change_slots(slots),
        }
    }

    fn is_counted(&self, call: usize) -> bool {
        self.calls[call].arrived.elapsed() >= WARMUP
    }

    fn arrive(&mut self) {
        if self.now.elapsed() >= self.load.duration {
            return;
        }
        // Demand is thinned from its peak.
        let clump = self
            .scenario_rng
            .random_range(1..=self.scenario.clump.max(1));
        let peak = self.load.request_rate * (1.0 + self.scenario.swing);
        let mean_clump = (1 + self.scenario.clump.max(1)) as f64 / 2.0;
        let pause = -self.rng.random::<f64>().max(1e-9).ln() * mean_clump / peak;
        self.schedule(Duration::from_secs_f64(pause), Event::Arrive);
        let ingress = self.rng.random_range(0..self.load.nodes);
        let domains = self.load.domains;
        let demand = self.scenario.demand(ingress % domains, domains, self.now);
        let is_thinned = self.scenario_rng.random::<f64>() * (1.0 + self.scenario.swing) > demand;
        if is_thinned || self.is_restarting(ingress % domains) {
            return;
        }
        for _ in 0..clump {
            self.calls.push(Call {
                ingress,
                arrived: self.now,
                draw: SpillDraw::random(&mut self.scenario_rng),
                slot_search: SlotSearch::new(self.load.servers, Payload::Light),
                tries: PolicyRetryState::default(),
                sent: self.now,
                pick: None,
            });
            let call = self.calls.len() - 1;
            self.outcome.requests += usize::from(self.is_counted(call));
            match self.is_admitted(call) {
                true => self.send(call),
                false => self.outcome.refused += usize::from(self.is_counted(call)),
            }
        }
    }

    fn domain_of(&self, guard: NodeId) -> usize {
        self.guards[&guard].server % self.load.domains
    }

    /// Returns `true` if `call` and `guard` are in different domains.
    fn crosses(&self, call: usize, guard: NodeId) -> bool {
        self.calls[call].ingress % self.load.domains != self.domain_of(guard)
    }

    fn outage(&self) -> Option<Outage> {
        let at = self.now.elapsed();
        self.scenario
            .outage
            .filter(|o| o.from <= at && at < o.until)
    }

    fn is_restarting(&self, domain: usize) -> bool {
        self.outage()
            .is_some_and(|o| o.restart && o.domain == domain)
    }

    /// Returns `true` if the ingress of `call` and `guard` cannot reach each other.
    fn is_cut_off(&self, call: usize, guard: NodeId) -> bool {
        let domains = [
            self.calls[call].ingress % self.load.domains,
            self.domain_of(guard),
        ];
        self.outage().is_some_and(|o| {
            domains.contains(&o.domain) && (o.restart || self.crosses(call, guard))
        })
    }

    fn hop(&self, call: usize, guard: NodeId) -> Duration {
        match self.crosses(call, guard) {
            true => HOP_LATENCY + self.scenario.far_latency,
            false => HOP_LATENCY,
        }
    }

    /// Selects a guard by the true loads.
    fn oracle(&mut self, ingress: usize, excluded: &[NodeId]) -> Option<Pick> {
        let entry = self.views[ingress].service("sensor").expect("the service");
        let free = |c: &&Candidate| {
            let load = self.guards[&c.id].admission.load();
            load.usage() < 1.0 && !excluded.contains(&c.id)
        };
        let fastest = |all: &[Candidate]| {
            let free = all.iter().filter(free);
            free.min_by_key(|c| self.guards[&c.id].service_time)
                .copied()
        };
        let candidate = fastest(entry.near()).or_else(|| fastest(entry.far()));
        let any = entry.near()[self.rng.random_range(0..entry.near().len())];
        Some(Pick {
            id: candidate.unwrap_or(any).id,
            peer: candidate.unwrap_or(any).peer,
            rule: PickRule::Near,
            cause: None,
            free: candidate.is_some(),
        })
    }

    fn is_admitted(&mut self, call: usize) -> bool {
        let throttle = &mut self.throttles[self.calls[call].ingress];
        self.load.ask_throttle.is_none()
            || throttle.admit(self.now, AskRequest::default(), &mut self.rng)
    }

    fn next_ask(&mut self, call: usize, pick: &Pick) -> NextAsk {
        let call = &self.calls[call];
        let throttle = &mut self.throttles[call.ingress];
        let request = AskRequest::default();
        match self.load.ask_throttle {
            Some(_) => throttle.next_ask(self.now, request, &call.slot_search, pick),
            None => NextAsk::Ask,
        }
    }

    fn pick(&mut self, call: usize, excluded: &[NodeId]) -> Option<Pick> {
        let Call { ingress, draw, .. } = self.calls[call];
        let draw = match self.scenario.choice {
            Choice::Oracle => return self.oracle(ingress, excluded),
            Choice::Planned => Some(draw),
            Choice::Sampled => None,
        };
        let entry = self.views[ingress].service("sensor").expect("the service");
        let stays_near = self.load.ask_throttle.is_some()
            && self.throttles[ingress].stays_near(self.now, AskClass::default());
        let requirements = PickRequirements::default()
            .with_stays_near(stays_near)
            .with_spill(draw);
        let balancer = &self.balancers[ingress];
        balancer.pick_for(&requirements, self.now, entry, excluded, &mut self.rng)
    }

    fn due(&self, call: usize) -> Deadline {
        Deadline::new(self.calls[call].arrived, DEADLINE)
    }

    fn send(&mut self, call: usize) {
        let ingress = self.calls[call].ingress;
        let pick = loop {
            let excluded = self.calls[call].slot_search.excluded().to_vec();
            let pick = self.pick(call, &excluded);
            let slot_search = &mut self.calls[call].slot_search;
            if slot_search.switch_to_queueing(pick.as_ref()) {
                continue;
            }
            match pick.map_or(NextAsk::Ask, |pick| self.next_ask(call, &pick)) {
                NextAsk::Ask => break pick,
                NextAsk::Queue => self.calls[call].slot_search.queue_now(),
                NextAsk::Refuse => break None,
            }
        };
        let Some(pick) = pick else {
            self.outcome.refused += usize::from(self.is_counted(call));
            return;
        };
        self.outcome.attempts += usize::from(self.is_counted(call));
        self.balancers[ingress].started(pick.id);
        self.throttles[ingress].asked(self.now, AskRequest::default(), &pick);
        self.calls[call].sent = self.now;
        if let Some(cause) = pick.cause.filter(|_| self.is_counted(call)) {
            *self.outcome.causes.entry(cause).or_default() += 1;
        }
        if self.is_cut_off(call, pick.id) {
            let sample = Sample::new(HOP_LATENCY, CallResult::Unreachable);
            let refused = Event::Refused(call, pick.id, Reason::PeerUnreachable, sample);
            return self.schedule(HOP_LATENCY, refused);
        }
        self.calls[call].pick = Some(pick);
        self.schedule(self.hop(call, pick.id), Event::Offer(call, pick.id));
    }

    fn offer(&mut self, call: usize, id: NodeId) {
        let request = AdmissionRequest::new(self.due(call))
            .with_target(TARGET)
            .with_queue_wait(self.calls[call].slot_search.queue_wait());
        let now = self.now;
        let guard = self.guards.get_mut(&id).expect("a guard");
        if guard.server < self.load.broken_guards {
            return self.reply_refused(id, call, Reason::QueueFull.into());
        }
        let started = guard.admission.resume(now);
        let admit = guard.admission.offer(now, request, &mut self.rng);
        let displaced = guard.admission.displaced();
        self.start_all(id, started);
        for Refused { ticket, refusal } in displaced {
            self.refuse_queued(id, ticket, refusal);
        }
        match admit {
            Admit::Run(ticket) => self.start(id, ticket, call),
            Admit::Queue(ticket) => {
                let guard = self.guards.get_mut(&id).expect("a guard");
                guard.waiting.insert(ticket, call);
                let until = guard.admission.wait_deadline(ticket).unwrap_or(now);
                self.schedule(until.since(now), Event::Wake(id));
                self.schedule_wake(id);
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
        let time = guard.service_time.mul_f64(self.rng.random_range(0.3..1.7));
        self.outcome.starts[guard.server].push(self.now);
        self.schedule(time, Event::Done(id, ticket, call, time));
    }

    fn refuse_queued(&mut self, id: NodeId, ticket: Ticket, refusal: Refusal) {
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
        self.schedule(self.hop(call, id), Event::Refused(call, id, reason, sample));
    }

    fn sample(&mut self, id: NodeId, call: usize, result: CallResult) -> Sample {
        let time = (self.now + self.hop(call, id)).since(self.calls[call].sent);
        let Guard {
            admission,
            reported,
            ..
        } = self.guards.get_mut(&id).expect("a guard");
        reported.push_back((self.now, admission.load()));
        let is_old = |at: Instant| self.now.since(at) >= self.scenario.report_age;
        while reported.get(1).is_some_and(|(at, _)| is_old(*at)) {
            reported.pop_front();
        }
        let mut sample = Sample::new(time, result).with_load(reported[0].1);
        sample.pace = admission.pace(self.now);
        sample
    }

    fn done(&mut self, id: NodeId, ticket: Ticket, call: usize, time: Duration) {
        let guard = self.guards.get_mut(&id).expect("a guard");
        let sample = Sample::new(time, CallResult::Success).with_target(TARGET);
        let started = guard.admission.done(ticket, self.now, &sample);
        self.start_all(id, started);
        self.schedule_wake(id);
        let sample = self.sample(id, call, CallResult::Success);
        self.schedule(self.hop(call, id), Event::Answer(call, id, sample));
    }

    fn wake(&mut self, id: NodeId) {
        let guard = self.guards.get_mut(&id).expect("a guard");
        let started = guard.admission.resume(self.now);
        let late = guard.admission.expire(self.now, &mut self.rng);
        self.start_all(id, started);
        for Refused { ticket, refusal } in late {
            self.refuse_queued(id, ticket, refusal);
        }
        self.schedule_wake(id);
    }

    fn change_slots(&mut self, slots: u32) {
        let ids: Vec<NodeId> = self.guards.keys().copied().collect();
        for id in ids {
            let guard = self.guards.get_mut(&id).expect("a guard");
            let started = guard
                .admission
                .set_slots(self.now, slots, Limits::default());
            self.start_all(id, started);
        }
    }

    fn schedule_wake(&mut self, id: NodeId) {
        if let Some(at) = self.guards[&id].admission.next_start_at(self.now) {
            let after = at.since(self.now).max(Duration::from_millis(1));
            self.schedule(after, Event::Wake(id));
        }
    }

    fn answered(&mut self, call: usize, id: NodeId, sample: Sample) {
        let ingress = self.calls[call].ingress;
        if self.is_cut_off(call, id) {
            let lost = Sample::new(sample.latency, CallResult::Unreachable);
            self.balancers[ingress].finished(id, self.now, &lost);
            return;
        }
        self.balancers[ingress].finished(id, self.now, &sample);
        if self.crosses(call, id) && self.is_counted(call) {
            self.outcome.crossed += 1;
            let domains = (ingress % self.load.domains, self.domain_of(id));
            self.outcome
                .crossings
                .push((self.now, domains.0, domains.1));
        }
        let in_time = self.now.since(self.calls[call].arrived) <= TARGET;
        self.outcome.in_time += usize::from(self.is_counted(call) && in_time);
    }

    fn refused(&mut self, call: usize, id: NodeId, reason: Reason, sample: Sample) {
        let ingress = self.calls[call].ingress;
        self.balancers[ingress].finished(id, self.now, &sample);
        let due = self.due(call);
        let call_state = &mut self.calls[call];
        if let Some(pick) = call_state.pick {
            let throttle = &mut self.throttles[ingress];
            throttle.failed(self.now, AskRequest::default(), &pick, reason);
        }
        call_state.slot_search.failed(id, reason);
        let terms = RetryPolicy {
            idempotent: true,
            attempts: 2,
        };
        match call_state
            .tries
            .retry(self.now, id, reason, terms, due, || true)
        {
            Ok(_) => self.send(call),
            Err(_) => self.outcome.refused += usize::from(self.is_counted(call)),
        }
    }
}

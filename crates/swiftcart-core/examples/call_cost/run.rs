//! One run in virtual time: an event queue over balancers, admissions and backend servers.
//!
//! Calls that nobody waits for any more are not cancelled at the backend servers, so
//! wasted work costs every policy the same.

mod guard;
mod ingress;

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use swiftcart_core::*;

use crate::fleet::{Fault, PER_DOMAIN, SLOTS, Server, capacity, exponential, node, view};
use crate::policy::Policy;
use crate::report::Report;

const NODES: usize = 3 * PER_DOMAIN;
const WARM_UP: Instant = Instant::from_millis(5_000);
const END: Instant = Instant::from_millis(25_000);
const SEED: u64 = 20_261_202;

/// Names one try of one call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Try {
    call: usize,
    round: u32,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    AtGuard(Try, usize),
    Served(Try, usize),
    Answer(Try, Answer, Option<Load3>),
    Wake(usize),
    TimedOut(Try),
}

/// A load in an order that events can have.
type Load3 = (u32, u32, u32);

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Answer {
    Whole,
    Failed(Reason),
    Refused(Reason),
}

/// One call of a caller, at its ingress.
#[derive(Debug)]
struct Call {
    arrived: Instant,
    due: Deadline,
    ingress: usize,
    tries: RetryState,
    tried: Vec<NodeId>,
    /// Counts the tries sent; the answer of an earlier one is late.
    round: u32,
    sent: Instant,
    open: bool,
}

struct Ingress {
    view: View,
    balancer: Balancer,
    budget: RetryBudget,
    turn: usize,
}

struct Guard {
    admission: Option<Admission>,
    waiting: HashMap<Ticket, Try>,
    running: HashMap<Try, Job>,
    server: Server,
    /// When it will look for requests that waited too long.
    alarm: Option<Instant>,
}

/// A try that was handed over to a backend server.
#[derive(Debug, Clone, Copy)]
struct Job {
    ticket: Option<Ticket>,
    begun: Instant,
    /// Whether the backend server refused the connection.
    refused: bool,
}

struct World<'a> {
    policy: &'a Policy,
    now: Instant,
    events: BinaryHeap<Reverse<(Instant, u64, Event)>>,
    sequence: u64,
    rng: SmallRng,
    calls: Vec<Call>,
    ingresses: Vec<Ingress>,
    guards: Vec<Guard>,
    /// The mean time between two arrivals in seconds.
    gap: f64,
    report: Report,
}

/// Runs `policy` at `load` times the capacity.
pub fn run(policy: &Policy, load: f64) -> Report {
    let mut world = World::new(policy, load);
    world.at(world.now, Event::Arrive);
    while let Some(Reverse((at, _, event))) = world.events.pop() {
        if at > END {
            break;
        }
        world.now = at;
        world.step(event);
    }
    let lying = world.guards.iter().find(|g| g.server.fault == Fault::Lying);
    let lying = lying.and_then(|g| g.admission.as_ref());
    world.report.lying_limit = lying.map_or(0, Admission::limit);
    world.report.finish()
}

impl<'a> World<'a> {
    fn new(policy: &'a Policy, load: f64) -> Self {
        let start = Instant::default();
        Self {
            policy,
            now: start,
            events: BinaryHeap::new(),
            sequence: 0,
            rng: SmallRng::seed_from_u64(SEED),
            calls: Vec::new(),
            ingresses: (0..NODES).map(|i| Ingress::new(i, start, policy)).collect(),
            guards: (0..NODES).map(|i| Guard::new(i, start, policy)).collect(),
            gap: 1.0 / (capacity() * load),
            report: Report {
                load,
                seconds: END.since(WARM_UP).as_secs_f64(),
                ..Report::default()
            },
        }
    }

    fn at(&mut self, at: Instant, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::Arrive => {
                let gap = Duration::from_secs_f64(exponential(self.gap, &mut self.rng));
                self.at(self.now + gap, Event::Arrive);
                self.arrive();
            }
            Event::AtGuard(one, guard) => self.at_guard(one, guard),
            Event::Served(one, guard) => self.served(one, guard),
            Event::Answer(one, answer, load) => self.answered(one, answer, load),
            Event::Wake(guard) => self.wake(guard),
            Event::TimedOut(one) => self.timed_out(one),
        }
    }

    /// Tells whether a call counts, by its arrival.
    fn counts(&self, call: &Call) -> bool {
        call.arrived >= WARM_UP
    }
}

impl Ingress {
    fn new(i: usize, now: Instant, policy: &Policy) -> Self {
        let view = view(i, NODES, PER_DOMAIN);
        let settings = policy.balance.unwrap_or_default();
        let mut balancer = Balancer::new(node(i), settings);
        balancer.adopt(now, &view);
        Self {
            view,
            balancer,
            budget: RetryBudget::new(now, RetrySettings::default()),
            turn: i,
        }
    }
}

impl Guard {
    fn new(i: usize, now: Instant, policy: &Policy) -> Self {
        let admission = policy
            .admission
            .map(|s| Admission::new(now, s).with_slots(SLOTS));
        Self {
            admission,
            waiting: HashMap::new(),
            running: HashMap::new(),
            server: Server::new(Fault::of(i)),
            alarm: None,
        }
    }
}

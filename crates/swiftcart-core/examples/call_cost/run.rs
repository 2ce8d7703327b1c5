//! Discrete-event simulation of balancers, admission control and backend servers.
//!
//! Abandoned calls are not cancelled at the backend servers, so wasted work costs every policy
//! the same.

mod guard;
mod ingress;

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use swiftcart_core::*;

use crate::fleet::{Fault, NODES_PER_DOMAIN, SLOTS, Server, capacity, exponential, node, view};
use crate::policy::Policy;
use crate::report::Report;

/// Number of nodes in the three failure domains.
const NODES: usize = 3 * NODES_PER_DOMAIN;
/// End of the warm-up. The report leaves out calls that arrive earlier.
const WARM_UP_END: Instant = Instant::from_millis(5_000);
/// End of the simulation.
const END: Instant = Instant::from_millis(25_000);
const SEED: u64 = 20_261_202;

/// Identifier of one attempt of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    call: usize,
    number: u32,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    AtGuard(AttemptId, usize),
    Served(AttemptId, usize),
    Response(AttemptId, Reply, Option<LoadTuple>),
    CheckExpiry(usize),
    TimedOut(AttemptId),
}

/// Load as a tuple of running, queued and limit, which is ordered as events must be.
type LoadTuple = (u32, u32, u32);

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Reply {
    Complete,
    Failed(Reason),
    Refused(Reason),
}

/// Call of a caller at its ingress.
#[derive(Debug)]
struct Call {
    arrived: Instant,
    due: Deadline,
    ingress: usize,
    retry_state: RetryState,
    tried: Vec<NodeId>,
    /// Number of attempts sent. Responses to earlier attempts are ignored.
    number: u32,
    sent_at: Instant,
    is_open: bool,
}

struct Ingress {
    view: View,
    balancer: Balancer,
    budget: RetryBudget,
    /// Round-robin position among the backend servers.
    position: usize,
}

struct Guard {
    admission: Option<Admission>,
    queued: HashMap<Ticket, AttemptId>,
    running: HashMap<AttemptId, Job>,
    server: Server,
    /// Time of the next scheduled check for expired requests.
    next_check: Option<Instant>,
}

/// Attempt that was passed to a backend server.
#[derive(Debug, Clone, Copy)]
struct Job {
    ticket: Option<Ticket>,
    started_at: Instant,
    /// `true` if the backend server refused the connection.
    refused: bool,
}

struct Simulation<'a> {
    policy: &'a Policy,
    now: Instant,
    events: BinaryHeap<Reverse<(Instant, u64, Event)>>,
    sequence: u64,
    rng: SmallRng,
    calls: Vec<Call>,
    ingresses: Vec<Ingress>,
    guards: Vec<Guard>,
    /// Mean time between two arrivals, in seconds.
    mean_interarrival: f64,
    report: Report,
}

/// Simulates `policy` at `load` times the capacity, and returns the measurements.
pub fn run(policy: &Policy, load: f64) -> Report {
    let mut simulation = Simulation::new(policy, load);
    simulation.schedule(simulation.now, Event::Arrive);
    while let Some(Reverse((at, _, event))) = simulation.events.pop() {
        if at > END {
            break;
        }
        simulation.now = at;
        simulation.step(event);
    }
    let overstating = simulation
        .guards
        .iter()
        .find(|g| g.server.fault == Fault::OverstatedSlots);
    let overstating = overstating.and_then(|g| g.admission.as_ref());
    simulation.report.overstated_limit = overstating.map_or(0, Admission::limit);
    simulation.report.finish()
}

impl<'a> Simulation<'a> {
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
            mean_interarrival: 1.0 / (capacity() * load),
            report: Report {
                load,
                seconds: END.since(WARM_UP_END).as_secs_f64(),
                ..Report::default()
            },
        }
    }

    fn schedule(&mut self, at: Instant, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::Arrive => {
                let interarrival =
                    Duration::from_secs_f64(exponential(self.mean_interarrival, &mut self.rng));
                self.schedule(self.now + interarrival, Event::Arrive);
                self.on_arrival();
            }
            Event::AtGuard(attempt, guard) => self.on_guard_arrival(attempt, guard),
            Event::Served(attempt, guard) => self.on_served(attempt, guard),
            Event::Response(attempt, reply, load) => self.on_response(attempt, reply, load),
            Event::CheckExpiry(guard) => self.expire(guard),
            Event::TimedOut(attempt) => self.on_timeout(attempt),
        }
    }

    /// Returns `true` if the call arrived after the warm-up.
    fn is_measured(&self, call: &Call) -> bool {
        call.arrived >= WARM_UP_END
    }
}

impl Ingress {
    fn new(i: usize, now: Instant, policy: &Policy) -> Self {
        let view = view(i, NODES, NODES_PER_DOMAIN);
        let settings = policy.balance.unwrap_or_default();
        let mut balancer = Balancer::new(node(i), settings);
        balancer.adopt(now, &view);
        Self {
            view,
            balancer,
            budget: RetryBudget::new(now, RetrySettings::default()),
            position: i,
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
            queued: HashMap::new(),
            running: HashMap::new(),
            server: Server::new(Fault::of(i)),
            next_check: None,
        }
    }
}

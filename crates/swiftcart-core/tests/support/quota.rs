//! Simulated mesh of meters and ledgers in virtual time, with message delay and loss.

use std::collections::VecDeque;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use swiftcart_core::{
    AccountTag, AdmissionRatio, Instant, NodeId, Quota, QuotaBounds, QuotaLedger, QuotaMeter,
    RequestTiming, Usage,
};

pub const ACCOUNT: AccountTag = AccountTag(7);

pub const BOUNDS: QuotaBounds = QuotaBounds {
    window: Duration::from_secs(5),
    overage: 0.1,
    slack: 20.0,
};

const STEP: Duration = Duration::from_millis(10);

/// Size and load of the mesh, and the faults injected into it.
#[derive(Debug, Clone, Copy)]
pub struct Load {
    pub nodes: usize,
    pub quota: Quota,
    /// Requests per second over all nodes.
    pub requests: f64,
    /// Share of the requests that arrive at the first node.
    pub skew: f64,
    /// Share of the messages that are lost.
    pub loss: f64,
    /// Start and duration of a partition between the first third of the nodes and the others.
    pub partition: Option<(Duration, Duration)>,
    /// Time at which the ledger's process is killed, and the number of further nodes killed with
    /// it.
    pub killed: Option<(Duration, usize)>,
    /// Time at which the quota is lowered, and the lower quota.
    pub lowered: Option<(Duration, Quota)>,
}

impl Load {
    pub fn new(nodes: usize, rate: u32, requests: f64) -> Self {
        Self {
            nodes,
            quota: Quota { rate, burst: rate },
            requests,
            skew: 0.0,
            loss: 0.0,
            partition: None,
            killed: None,
            lowered: None,
        }
    }
}

/// Result of a simulation.
#[derive(Debug, Default)]
pub struct Outcome {
    pub requests: usize,
    pub admitted: Vec<Duration>,
    pub messages: usize,
}

impl Outcome {
    /// Returns the maximum number of requests admitted in any window that ends at or after `from`.
    pub fn max_in_window(&self, from: Duration) -> usize {
        let ends = self.admitted.iter().filter(|at| **at >= from);
        let within = |end: &Duration| {
            let window = self.admitted.iter();
            window
                .filter(|at| **at <= *end && **at + BOUNDS.window > *end)
                .count()
        };
        ends.map(within).max().unwrap_or(0)
    }
}

/// Returns the number of requests allowed in a window, including the tolerance.
pub fn bound(quota: Quota) -> usize {
    let allowed = f64::from(quota.rate) * BOUNDS.window.as_secs_f64() + f64::from(quota.burst);
    (allowed + BOUNDS.tolerance(quota)) as usize
}

enum Message {
    Usage(Vec<Usage>),
    Admit(Vec<AdmissionRatio>),
}

struct Envelope {
    due: Instant,
    from: usize,
    to: usize,
    message: Message,
}

struct Mesh {
    load: Load,
    rng: SmallRng,
    meters: Vec<QuotaMeter>,
    ledgers: Vec<QuotaLedger>,
    in_flight: VecDeque<Envelope>,
    outcome: Outcome,
}

/// Simulates a load for the given time.
pub fn simulate(load: Load, time: Duration, seed: u64) -> Outcome {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut meters: Vec<_> = (0..load.nodes)
        .map(|_| QuotaMeter::new(rng.random()))
        .collect();
    meters
        .iter_mut()
        .for_each(|meter| meter.set_nodes(load.nodes));
    let mut mesh = Mesh {
        load,
        rng,
        meters,
        ledgers: vec![QuotaLedger::new(BOUNDS); load.nodes],
        in_flight: VecDeque::new(),
        outcome: Outcome::default(),
    };
    let mut at = Duration::ZERO;
    while at < time {
        mesh.step(at);
        at += STEP;
    }
    mesh.outcome
}

impl Mesh {
    fn step(&mut self, at: Duration) {
        let now = Instant::new(at);
        self.kill_nodes(at);
        self.deliver(now);
        self.send_requests(at);
        if at.as_millis().is_multiple_of(50) {
            self.send_reports(now);
        }
    }

    fn quota(&self, at: Duration) -> Quota {
        match self.load.lowered {
            Some((from, quota)) if at >= from => quota,
            _ => self.load.quota,
        }
    }

    fn send_requests(&mut self, at: Duration) {
        let mean = self.load.requests * STEP.as_secs_f64();
        let number = mean as usize + usize::from(self.rng.random::<f64>() < mean.fract());
        for _ in 0..number {
            let node = match self.rng.random::<f64>() < self.load.skew {
                true => 0,
                false => self.rng.random_range(0..self.load.nodes),
            };
            let quota = self.quota(at);
            let result = self.meters[node].admit(
                Instant::new(at),
                ACCOUNT,
                quota,
                RequestTiming::InTime,
                &mut self.rng,
            );
            self.outcome.requests += 1;
            if result.is_ok() {
                self.outcome.admitted.push(at);
            }
        }
    }

    fn send_reports(&mut self, now: Instant) {
        for node in 0..self.load.nodes {
            let list = self.meters[node].due(now);
            if !list.is_empty() {
                self.send(now, node, self.ledger_of(node, now), Message::Usage(list));
            }
            let due = self.ledgers[node].limit_updates(now);
            if due.is_empty() {
                continue;
            }
            for other in 0..self.load.nodes {
                self.send(now, node, other, Message::Admit(due.clone()));
            }
        }
    }

    /// Returns the node whose ledger `node` reports to. A partition is detected after 2 s, and the
    /// nodes behind the partition then have a ledger of their own.
    fn ledger_of(&self, node: usize, now: Instant) -> usize {
        let first = self.load.nodes / 3;
        match self.load.partition {
            Some((at, lasts)) => {
                let detected = at + Duration::from_secs(2)..at + lasts;
                let separated = detected.contains(&now.elapsed()) && node >= first;
                if separated { first } else { 0 }
            }
            None => 0,
        }
    }

    fn send(&mut self, now: Instant, from: usize, to: usize, message: Message) {
        self.outcome.messages += 1;
        let delay = Duration::from_millis(self.rng.random_range(1..20));
        let first = self.load.nodes / 3;
        let partition = self.load.partition.is_some_and(|(at, lasts)| {
            (at..at + lasts).contains(&now.elapsed()) && (from < first) != (to < first)
        });
        if partition || (from != to && self.rng.random::<f64>() < self.load.loss) {
            return;
        }
        self.in_flight.push_back(Envelope {
            due: now + delay,
            from,
            to,
            message,
        });
    }

    fn deliver(&mut self, now: Instant) {
        let quota = self.quota(now.elapsed());
        let (due, later): (VecDeque<_>, _) = self
            .in_flight
            .drain(..)
            .partition(|envelope| envelope.due <= now);
        self.in_flight = later;
        for envelope in due {
            match envelope.message {
                Message::Usage(list) => {
                    self.set_reachable_share(envelope.to, now);
                    let ledger = &mut self.ledgers[envelope.to];
                    let from = node_id(envelope.from);
                    let answers = list
                        .iter()
                        .map(|usage| ledger.receive(now, from, usage, quota));
                    let answers = answers.collect();
                    self.send(now, envelope.to, envelope.from, Message::Admit(answers));
                }
                Message::Admit(list) => {
                    for admittance in list {
                        self.meters[envelope.to].receive(now, admittance);
                    }
                }
            }
        }
    }

    fn set_reachable_share(&mut self, node: usize, now: Instant) {
        let share = match (self.ledger_of(self.load.nodes - 1, now), node) {
            (0, _) => 1.0,
            (_, 0) => 1.0 / 3.0,
            _ => 2.0 / 3.0,
        };
        self.ledgers[node].set_reachable_share(share);
    }

    fn kill_nodes(&mut self, at: Duration) {
        let Some((when, number)) = self.load.killed.filter(|(when, _)| *when == at) else {
            return;
        };
        let _ = when;
        for node in 0..=number.min(self.load.nodes - 1) {
            self.meters[node] = QuotaMeter::new(self.rng.random());
            self.meters[node].set_nodes(self.load.nodes);
            self.ledgers[node] = QuotaLedger::new(BOUNDS);
        }
    }
}

fn node_id(node: usize) -> NodeId {
    NodeId(([10, 1, 0, 7], 7600 + node as u16).into())
}

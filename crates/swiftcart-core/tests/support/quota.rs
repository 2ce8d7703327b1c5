//! Simulated mesh of meters and ledgers in virtual time, with message delay and loss.

use std::collections::VecDeque;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use swiftcart_core::{
    AccountTag, AdmissionRatio, Instant, NodeId, Quota, QuotaBounds, QuotaLedger, QuotaMeter,
    QuotaRequest, Usage,
};

pub const ACCOUNT: AccountTag = AccountTag(7);

pub const BOUNDS: QuotaBounds = QuotaBounds {
    window: Duration::from_secs(5),
    overage: 0.1,
    slack: 20.0,
};

const STEP: Duration = Duration::from_millis(10);

/// Time over which callers return from an outage.
const RETURN_TIME: Duration = Duration::from_millis(500);

/// Time for which a request waits for room.
const MAX_WAIT: Duration = Duration::from_millis(100);

/// Maximum difference between the times at which nodes notice a change of the membership.
const MAX_VIEW_LAG: Duration = Duration::from_millis(700);

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
    /// Time at which callers return from an outage, and their number.
    pub returning: Option<(Duration, usize)>,
    /// Time at which another node becomes the ledger of the account, and the duration.
    pub moved: Option<(Duration, Duration)>,
    /// Start and duration of a stall in which the control loops of a third of the nodes send and
    /// receive nothing, while the nodes still serve requests.
    pub stalled: Option<(Duration, Duration)>,
    /// Start and duration of a stall of the ledger's node. The other nodes replace it after 2 s,
    /// and it takes the ledger back 0.3 s after the stall.
    pub frozen: Option<(Duration, Duration)>,
    /// Share of the admitted requests that find no room and do not run, and the time at which there
    /// is room for all.
    pub unserved: Option<(f64, Duration)>,
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
            returning: None,
            moved: None,
            stalled: None,
            frozen: None,
            unserved: None,
        }
    }
}

/// Result of a simulation.
#[derive(Debug, Default)]
pub struct Outcome {
    pub requests: usize,
    pub admitted: Vec<Duration>,
    pub unserved: usize,
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
    /// Nodes of the requests that wait for room in vain, and the time at which they are refused.
    waiting: VecDeque<(Duration, usize)>,
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
        waiting: VecDeque::new(),
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
        self.refuse_waiting(at);
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
        let returning = match self.load.returning {
            Some((from, number)) if (from..from + RETURN_TIME).contains(&at) => {
                number as f64 / RETURN_TIME.as_secs_f64()
            }
            _ => 0.0,
        };
        let mean = (self.load.requests + returning) * STEP.as_secs_f64();
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
                QuotaRequest::default(),
                &mut self.rng,
            );
            self.outcome.requests += 1;
            let unserved = self.load.unserved.filter(|(_, until)| at < *until);
            let is_unserved = unserved.is_some_and(|(share, _)| self.rng.random::<f64>() < share);
            match result {
                Ok(()) if is_unserved => self.waiting.push_back((at + MAX_WAIT, node)),
                Ok(()) => self.outcome.admitted.push(at),
                Err(_) => {}
            }
        }
    }

    /// Cancels the requests that have waited for room in vain.
    fn refuse_waiting(&mut self, at: Duration) {
        let due = self.waiting.partition_point(|(due, _)| *due <= at);
        for (_, node) in self.waiting.drain(..due) {
            self.meters[node].cancel_admission(Instant::new(at), ACCOUNT);
            self.outcome.unserved += 1;
        }
    }

    fn send_reports(&mut self, now: Instant) {
        for node in 0..self.load.nodes {
            if self.is_stalled(node, now) {
                continue;
            }
            let ledger = self.ledger_of(node, now);
            let meter = &mut self.meters[node];
            let due = meter.due(now).into_iter();
            let list: Vec<Usage> = due
                .filter_map(|account| meter.report(now, account, node_id(ledger)))
                .collect();
            if !list.is_empty() {
                self.send(now, node, ledger, Message::Usage(list));
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
        let lag = MAX_VIEW_LAG.mul_f64(node as f64 / self.load.nodes as f64);
        let at = now.elapsed().saturating_sub(lag);
        let detected =
            |(start, lasts)| (start + Duration::from_secs(2)..start + lasts).contains(&at);
        let separated = self.load.partition.is_some_and(detected) && node >= first;
        let moved = |(start, lasts)| (start..start + lasts).contains(&at);
        let replaced = |(start, lasts)| {
            let back = start + lasts + Duration::from_millis(300);
            node > 0 && (start + Duration::from_secs(2)..back).contains(&at)
        };
        match self.load.moved.is_some_and(moved) || self.load.frozen.is_some_and(replaced) {
            true => first + 1,
            false if separated => first,
            false => 0,
        }
    }

    /// Returns `true` if the control loop of `node` is stalled.
    fn is_stalled(&self, node: usize, now: Instant) -> bool {
        let stalled = |(start, lasts)| (start..start + lasts).contains(&now.elapsed());
        match node {
            0 => self.load.frozen.is_some_and(stalled),
            node => self.load.stalled.is_some_and(stalled) && node.is_multiple_of(3),
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
        let in_flight = std::mem::take(&mut self.in_flight);
        let (due, later): (VecDeque<_>, _) = in_flight
            .into_iter()
            .partition(|envelope| envelope.due <= now && !self.is_stalled(envelope.to, now));
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
                // Other nodes than the account's ledger do not count this node's requests.
                Message::Admit(_) if envelope.from != self.ledger_of(envelope.to, now) => {}
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

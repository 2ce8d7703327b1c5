//! A mesh of meters and ledgers in virtual time, with the delays and losses of its messages.

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

/// How the mesh is and what happens to it.
#[derive(Debug, Clone, Copy)]
pub struct Load {
    pub nodes: usize,
    pub quota: Quota,
    /// Requests a second over all nodes.
    pub asked: f64,
    /// The part of the requests that come through the first node.
    pub skew: f64,
    /// The part of the messages that are lost.
    pub lost: f64,
    /// When the nodes from the second third on are cut off from the others, and for how long.
    pub cut: Option<(Duration, Duration)>,
    /// When the ledger's process is killed, and those of how many further nodes.
    pub killed: Option<(Duration, usize)>,
    /// When the quota falls to this.
    pub lowered: Option<(Duration, Quota)>,
}

impl Load {
    pub fn new(nodes: usize, rate: u32, asked: f64) -> Self {
        Self {
            nodes,
            quota: Quota { rate, burst: rate },
            asked,
            skew: 0.0,
            lost: 0.0,
            cut: None,
            killed: None,
            lowered: None,
        }
    }
}

/// What came of a load.
#[derive(Debug, Default)]
pub struct Outcome {
    pub asked: usize,
    pub admitted: Vec<Duration>,
    pub messages: usize,
}

impl Outcome {
    /// The most requests that were admitted in any window that ends after `from`.
    pub fn most(&self, from: Duration) -> usize {
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

/// What is allowed in a window.
pub fn bound(quota: Quota) -> usize {
    let whole = f64::from(quota.rate) * BOUNDS.window.as_secs_f64() + f64::from(quota.burst);
    (whole + BOUNDS.tolerance(quota)) as usize
}

enum Message {
    Usage(Vec<Usage>),
    Admit(Vec<AdmissionRatio>),
}

struct Post {
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
    post: VecDeque<Post>,
    outcome: Outcome,
}

/// Plays a load for a time.
pub fn play(load: Load, time: Duration, seed: u64) -> Outcome {
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
        post: VecDeque::new(),
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
        self.kill(at);
        self.deliver(now);
        self.arrive(at);
        if at.as_millis().is_multiple_of(50) {
            self.tell(now);
        }
    }

    fn quota(&self, at: Duration) -> Quota {
        match self.load.lowered {
            Some((from, quota)) if at >= from => quota,
            _ => self.load.quota,
        }
    }

    fn arrive(&mut self, at: Duration) {
        let mean = self.load.asked * STEP.as_secs_f64();
        let number = mean as usize + usize::from(self.rng.random::<f64>() < mean.fract());
        for _ in 0..number {
            let node = match self.rng.random::<f64>() < self.load.skew {
                true => 0,
                false => self.rng.random_range(0..self.load.nodes),
            };
            let quota = self.quota(at);
            let asked = self.meters[node].admit(
                Instant::new(at),
                ACCOUNT,
                quota,
                RequestTiming::InTime,
                &mut self.rng,
            );
            self.outcome.asked += 1;
            if asked.is_ok() {
                self.outcome.admitted.push(at);
            }
        }
    }

    fn tell(&mut self, now: Instant) {
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

    /// The cut is noticed after two seconds, and those behind it then have a ledger of their own.
    fn ledger_of(&self, node: usize, now: Instant) -> usize {
        let first = self.load.nodes / 3;
        match self.load.cut {
            Some((at, lasts)) => {
                let noticed = at + Duration::from_secs(2)..at + lasts;
                let apart = noticed.contains(&now.elapsed()) && node >= first;
                if apart { first } else { 0 }
            }
            None => 0,
        }
    }

    fn send(&mut self, now: Instant, from: usize, to: usize, message: Message) {
        self.outcome.messages += 1;
        let delay = Duration::from_millis(self.rng.random_range(1..20));
        let first = self.load.nodes / 3;
        let cut = self.load.cut.is_some_and(|(at, lasts)| {
            (at..at + lasts).contains(&now.elapsed()) && (from < first) != (to < first)
        });
        if cut || (from != to && self.rng.random::<f64>() < self.load.lost) {
            return;
        }
        self.post.push_back(Post {
            due: now + delay,
            from,
            to,
            message,
        });
    }

    fn deliver(&mut self, now: Instant) {
        let quota = self.quota(now.elapsed());
        let (due, later): (VecDeque<_>, _) = self.post.drain(..).partition(|post| post.due <= now);
        self.post = later;
        for post in due {
            match post.message {
                Message::Usage(list) => {
                    self.set_reachable_share(post.to, now);
                    let ledger = &mut self.ledgers[post.to];
                    let from = node_id(post.from);
                    let answers = list
                        .iter()
                        .map(|usage| ledger.receive(now, from, usage, quota));
                    let answers = answers.collect();
                    self.send(now, post.to, post.from, Message::Admit(answers));
                }
                Message::Admit(list) => {
                    for admittance in list {
                        self.meters[post.to].receive(now, admittance);
                    }
                }
            }
        }
    }

    fn set_reachable_share(&mut self, node: usize, now: Instant) {
        let part = match (self.ledger_of(self.load.nodes - 1, now), node) {
            (0, _) => 1.0,
            (_, 0) => 1.0 / 3.0,
            _ => 2.0 / 3.0,
        };
        self.ledgers[node].set_reachable_share(part);
    }

    fn kill(&mut self, at: Duration) {
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

//! A network of membership machines in virtual time: delay, loss, cuts, pauses, restarts.
#![allow(dead_code)] // Each program that includes this file uses another part of it.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant as Clock};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use swiftcart_core::*;

/// The time between two ticks of one node, in milliseconds.
pub const TICK: u64 = 50;

/// What a paused node's socket holds.
const SOCKET: usize = 200;

/// The wall clock at the start, in milliseconds.
const WALL: u64 = 1_790_000_000_000;

/// One process, or the place where it ran.
pub struct Node {
    pub machine: Option<Membership>,
    pub domain: usize,
    pub paused: bool,
    pub gate: SyncLimiter,
    socket: Vec<Vec<u8>>,
    /// Sealed bytes of datagrams sent, and bytes of pulls asked for and served.
    pub sent: u64,
    pub pulled: u64,
    /// The part of both that went to another failure domain.
    pub far: u64,
    pub busy: u64,
    pub datagrams: u64,
}

/// The machines and the datagrams on their way.
pub struct Net {
    pub now: u64,
    pub nodes: Vec<Node>,
    pub loss: f64,
    /// Pairs of failure domains that are cut from each other.
    pub cuts: BTreeSet<(usize, usize)>,
    pub settings: Gossip,
    /// The time that the machines and the seals have taken.
    pub cpu: Duration,
    queue: BTreeMap<(u64, u64), (usize, Vec<u8>)>,
    order: u64,
    rng: SmallRng,
    key: MeshKey,
    seeds: Vec<NodeId>,
}

pub fn domain(at: usize) -> FailureDomain {
    FailureDomain::new(format!("domain-{at}"))
}

pub fn id(at: usize) -> NodeId {
    let [high, low] = (at as u16).to_be_bytes();
    NodeId(SocketAddr::from(([10, 0, high, low], 7400)))
}

pub fn backend(at: usize, readiness: Readiness) -> Backend {
    Backend {
        service: ServiceName::new(["booking", "sensor", "survey"][at % 3]),
        addr: SocketAddr::from((id(at).0.ip(), 8080)),
        slots: 10,
        connections: 130,
        readiness,
    }
}

impl Net {
    /// Creates one domain of each size; the first two nodes of each domain are the seeds.
    pub fn new(sizes: &[usize], seed: u64) -> Self {
        let domains = sizes.iter().enumerate();
        let nodes: Vec<Node> = domains
            .flat_map(|(d, size)| (0..*size).map(move |_| d))
            .map(|domain| Node {
                machine: None,
                domain,
                paused: false,
                gate: SyncLimiter::new(2, 5),
                socket: Vec::new(),
                sent: 0,
                pulled: 0,
                far: 0,
                busy: 0,
                datagrams: 0,
            })
            .collect();
        let starts = (0..sizes.len()).map(|d| sizes[..d].iter().sum::<usize>());
        let seeds = starts.flat_map(|at| [id(at), id(at + 1)]).collect();
        Self {
            now: 0,
            nodes,
            loss: 0.0,
            cuts: BTreeSet::new(),
            settings: Gossip::new(),
            cpu: Duration::ZERO,
            queue: BTreeMap::new(),
            order: 0,
            rng: SmallRng::seed_from_u64(seed),
            key: MeshKey::new([7; 32]),
            seeds,
        }
    }

    /// Creates a network whose nodes all run and agree.
    pub fn settled(sizes: &[usize], seed: u64) -> Self {
        let mut net = Self::new(sizes, seed);
        for at in 0..net.nodes.len() {
            net.boot(at, 0);
        }
        net.until("all agree", 60_000, Self::agree);
        net.run(10_000);
        net
    }

    /// Starts a node, `back` milliseconds behind the wall clock.
    pub fn boot(&mut self, at: usize, back: u64) {
        self.boot_with(at, back, self.seeds.clone());
    }

    /// Starts a node that knows only `seeds`.
    pub fn boot_with(&mut self, at: usize, back: u64, seeds: Vec<NodeId>) {
        let incarnation = Incarnation(WALL + self.now - back);
        let node = &mut self.nodes[at];
        let me = Member::new(id(at), domain(node.domain), incarnation);
        let me = Member {
            backend: Some(backend(at, Readiness::Ready)),
            ..me
        };
        let settings = self.settings.clone();
        let seed = self.rng.random();
        node.machine = Some(Membership::new(me, settings, seeds, seed));
        node.socket.clear();
        node.paused = false;
    }

    /// Starts a node that knows nobody and has no backend server yet.
    pub fn boot_plain(&mut self, at: usize) {
        self.boot_with(at, 0, Vec::new());
        self.nodes[at].machine = self.nodes[at].machine.take().map(|m| {
            let me = Member {
                backend: None,
                ..m.me().clone()
            };
            Membership::new(me, self.settings.clone(), Vec::new(), at as u64)
        });
    }

    pub fn kill(&mut self, at: usize) {
        self.nodes[at].machine = None;
    }

    pub fn pause(&mut self, at: usize) {
        self.nodes[at].paused = true;
    }

    /// Lets a paused node go on; it reads its socket before it looks at its timers.
    pub fn resume(&mut self, at: usize) {
        self.nodes[at].paused = false;
        for sealed in std::mem::take(&mut self.nodes[at].socket) {
            self.deliver(at, &sealed);
        }
    }

    /// Cuts a failure domain off from all others.
    pub fn cut_off(&mut self, domain: usize) {
        let others = self.nodes.iter().map(|n| n.domain).filter(|d| *d != domain);
        self.cuts = others.flat_map(|d| [(d, domain), (domain, d)]).collect();
    }

    pub fn now(&self) -> Instant {
        Instant::from_millis(self.now)
    }

    pub fn machine(&self, at: usize) -> &Membership {
        self.nodes[at].machine.as_ref().expect("the node runs")
    }

    /// Calls one machine and carries out what it asks for.
    pub fn call(&mut self, at: usize, f: impl FnOnce(&mut Membership, Instant) -> Vec<Action>) {
        let now = self.now();
        let machine = self.nodes[at].machine.as_mut();
        let clock = Clock::now();
        let actions = machine.map(|m| f(m, now)).unwrap_or_default();
        self.cpu += clock.elapsed();
        for action in actions {
            match action {
                Action::Send(to, datagram) => self.send(at, to, &datagram),
                Action::Pull(from) => self.pull(at, from),
                Action::Changed(_) | Action::Unreachable(_) | Action::Reachable(_) => {}
            }
        }
    }

    /// Iterates over the nodes that run and are not paused.
    pub fn running(&self) -> impl Iterator<Item = (usize, &Membership)> {
        let nodes = self.nodes.iter().enumerate().filter(|(_, n)| !n.paused);
        nodes.filter_map(|(at, n)| n.machine.as_ref().map(|m| (at, m)))
    }

    /// Tells whether all running nodes hold the same list.
    pub fn agree(&self) -> bool {
        let hashes: BTreeSet<u32> = self.running().map(|(_, m)| m.hash()).collect();
        hashes.len() <= 1 && self.running().all(|(_, m)| m.is_synced())
    }

    /// Tells whether every running node would route to `at`.
    pub fn all_route(&self, at: usize) -> bool {
        self.running().all(|(_, m)| m.routable(id(at)))
    }

    /// Tells whether no running node would route to `at`.
    pub fn none_routes(&self, at: usize) -> bool {
        self.running().all(|(i, m)| i == at || !m.routable(id(at)))
    }

    /// Sums a counter over all running nodes.
    pub fn sum(&self, counter: impl Fn(&MemberCounts) -> u64) -> u64 {
        self.running().map(|(_, m)| counter(&m.counts())).sum()
    }

    /// Lets `ms` milliseconds pass.
    pub fn run(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.now < end {
            self.step();
        }
    }

    /// Lets time pass until `done` holds and returns how long that took.
    pub fn until(&mut self, what: &str, limit: u64, done: impl Fn(&Self) -> bool) -> Duration {
        let start = self.now;
        while !done(self) {
            assert!(self.now - start < limit, "{what}: not within {limit} ms");
            self.run(TICK);
        }
        Duration::from_millis(self.now - start)
    }

    fn step(&mut self) {
        self.now += 1;
        while let Some(first) = self.queue.first_entry().filter(|e| e.key().0 <= self.now) {
            let (to, sealed) = first.remove();
            match self.nodes[to].paused {
                true if self.nodes[to].socket.len() < SOCKET => self.nodes[to].socket.push(sealed),
                true => {}
                false => self.deliver(to, &sealed),
            }
        }
        let phase = (self.now % TICK) as usize;
        for at in (phase..self.nodes.len()).step_by(TICK as usize) {
            if !self.nodes[at].paused {
                self.call(at, Membership::tick);
            }
        }
    }

    fn deliver(&mut self, to: usize, sealed: &[u8]) {
        let clock = Clock::now();
        let (from, datagram) = open(sealed, &self.key).expect("sealed by a node");
        self.cpu += clock.elapsed();
        self.call(to, |m, now| m.on_datagram(now, from, datagram));
    }

    fn send(&mut self, from: usize, to: NodeId, datagram: &Datagram) {
        let clock = Clock::now();
        let sealed = seal(datagram, id(from), &self.key).expect("fits a datagram");
        self.cpu += clock.elapsed();
        self.nodes[from].datagrams += 1;
        self.nodes[from].sent += sealed.len() as u64;
        let Some(at) = self.place(to) else { return };
        if self.is_cut(from, at) || self.rng.random_bool(self.loss) {
            return;
        }
        let far = u64::from(self.nodes[from].domain != self.nodes[at].domain);
        self.nodes[from].far += far * sealed.len() as u64;
        let delay = 1 + far + self.rng.random_range(0..=far);
        self.order += 1;
        self.queue
            .insert((self.now + delay, self.order), (at, sealed));
    }

    /// Serves a pull at once; it fails when the peer is gone, paused or cut off.
    fn pull(&mut self, at: usize, from: NodeId) {
        let now = self.now();
        let Some(peer) = self.place(from).filter(|p| !self.is_cut(at, *p)) else {
            return;
        };
        let buckets = self.machine(at).buckets();
        let node = &mut self.nodes[peer];
        let Some(machine) = node.machine.as_ref().filter(|_| !node.paused) else {
            return;
        };
        let admission = node.gate.admit(now);
        if let SyncAdmission::Busy { retry_after } = admission {
            node.busy += 1;
            let asker = self.nodes[at].machine.as_mut().expect("the node runs");
            return asker.postpone_pulls(now, retry_after);
        }
        let entries = machine.differing_entries(&buckets);
        let bytes = postcard::to_stdvec(&(&buckets[..], &entries)).expect("entries encode");
        node.pulled += bytes.len() as u64;
        node.gate.done();
        if self.nodes[at].domain != self.nodes[peer].domain {
            self.nodes[peer].far += bytes.len() as u64;
        }
        self.call(at, |m, now| m.merge(now, entries));
    }

    fn is_cut(&self, a: usize, b: usize) -> bool {
        let pair = (self.nodes[a].domain, self.nodes[b].domain);
        self.cuts.contains(&pair)
    }

    fn place(&self, node: NodeId) -> Option<usize> {
        let SocketAddr::V4(addr) = node.0 else {
            return None;
        };
        let [_, _, high, low] = addr.ip().octets();
        Some(usize::from(u16::from_be_bytes([high, low])))
    }
}

//! Simulated network of membership state machines in virtual time.
//!
//! The simulation covers delay, datagram loss, partitions, pauses and restarts.
#![allow(dead_code)] // Each target that includes this file uses a part of it.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant as Clock};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use swiftcart_core::*;

/// Interval between two ticks of one node, in milliseconds.
pub const TICK_MS: u64 = 50;

/// Number of datagrams that the socket of a paused node buffers.
const SOCKET_DATAGRAMS: usize = 200;

/// Wall clock at the start, in Unix milliseconds.
const START_UNIX_MS: u64 = 1_790_000_000_000;

/// Simulated node, whose process may be stopped.
pub struct Node {
    /// State of the process, or `None` while it is stopped.
    pub membership: Option<Membership>,
    pub domain: usize,
    pub paused: bool,
    pub limiter: SyncLimiter,
    /// Sealed datagrams that arrived during a pause.
    socket: Vec<Vec<u8>>,
    /// Bytes of sealed datagrams sent.
    pub datagram_bytes: u64,
    /// Bytes of requests and answers of the pulls served.
    pub pull_bytes: u64,
    /// Part of both byte counts that crossed failure domains.
    pub cross_domain_bytes: u64,
    /// Pulls rejected as busy.
    pub busy_replies: u64,
    pub datagrams: u64,
}

/// Simulated nodes and the datagrams in flight.
pub struct SimNetwork {
    /// Virtual time in milliseconds.
    pub now: u64,
    pub nodes: Vec<Node>,
    /// Probability of losing a datagram.
    pub loss_rate: f64,
    /// Pairs of source and destination failure domains between which nothing passes.
    pub partitions: BTreeSet<(usize, usize)>,
    pub settings: Gossip,
    /// CPU time spent in the state machines and in sealing and opening datagrams.
    pub cpu: Duration,
    /// Sealed datagrams in flight with their receiver, by arrival time and order of sending.
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

impl SimNetwork {
    /// Creates a stopped network with one failure domain per size.
    ///
    /// The first two nodes of each failure domain are the seeds.
    pub fn new(sizes: &[usize], seed: u64) -> Self {
        let domains = sizes.iter().enumerate();
        let nodes: Vec<Node> = domains
            .flat_map(|(d, size)| (0..*size).map(move |_| d))
            .map(|domain| Node {
                membership: None,
                domain,
                paused: false,
                limiter: SyncLimiter::new(2, 5),
                socket: Vec::new(),
                datagram_bytes: 0,
                pull_bytes: 0,
                cross_domain_bytes: 0,
                busy_replies: 0,
                datagrams: 0,
            })
            .collect();
        let starts = (0..sizes.len()).map(|d| sizes[..d].iter().sum::<usize>());
        let seeds = starts.flat_map(|at| [id(at), id(at + 1)]).collect();
        Self {
            now: 0,
            nodes,
            loss_rate: 0.0,
            partitions: BTreeSet::new(),
            settings: Gossip::new(),
            cpu: Duration::ZERO,
            queue: BTreeMap::new(),
            order: 0,
            rng: SmallRng::seed_from_u64(seed),
            key: MeshKey::new([7; 32]),
            seeds,
        }
    }

    /// Creates a network in which all nodes run and hold the same member list.
    pub fn converged(sizes: &[usize], seed: u64) -> Self {
        let mut net = Self::new(sizes, seed);
        for at in 0..net.nodes.len() {
            net.start_node(at, 0);
        }
        net.run_until("all agree", 60_000, Self::has_converged);
        net.run(10_000);
        net
    }

    /// Starts a node with its clock `clock_lag` milliseconds behind.
    pub fn start_node(&mut self, at: usize, clock_lag: u64) {
        self.start_node_with_seeds(at, clock_lag, self.seeds.clone());
    }

    /// Starts a node that knows only `seeds`.
    pub fn start_node_with_seeds(&mut self, at: usize, clock_lag: u64, seeds: Vec<NodeId>) {
        let incarnation = Incarnation(START_UNIX_MS + self.now - clock_lag);
        let node = &mut self.nodes[at];
        let me = Member::new(id(at), domain(node.domain), incarnation);
        let me = Member {
            backend: Some(backend(at, Readiness::Ready)),
            ..me
        };
        let settings = self.settings.clone();
        let seed = self.rng.random();
        node.membership = Some(Membership::new(me, settings, seeds, seed));
        node.socket.clear();
        node.paused = false;
    }

    /// Starts a node without seeds and without a backend server.
    pub fn start_node_without_backend(&mut self, at: usize) {
        self.start_node_with_seeds(at, 0, Vec::new());
        self.nodes[at].membership = self.nodes[at].membership.take().map(|m| {
            let me = Member {
                backend: None,
                ..m.me().clone()
            };
            Membership::new(me, self.settings.clone(), Vec::new(), at as u64)
        });
    }

    pub fn kill(&mut self, at: usize) {
        self.nodes[at].membership = None;
    }

    pub fn pause(&mut self, at: usize) {
        self.nodes[at].paused = true;
    }

    /// Resumes a paused node, which reads its socket before its next tick.
    pub fn resume(&mut self, at: usize) {
        self.nodes[at].paused = false;
        for sealed in std::mem::take(&mut self.nodes[at].socket) {
            self.deliver(at, &sealed);
        }
    }

    /// Partitions a failure domain from all others.
    pub fn isolate(&mut self, domain: usize) {
        let others = self.nodes.iter().map(|n| n.domain).filter(|d| *d != domain);
        self.partitions = others.flat_map(|d| [(d, domain), (domain, d)]).collect();
    }

    pub fn now(&self) -> Instant {
        Instant::from_millis(self.now)
    }

    pub fn membership(&self, at: usize) -> &Membership {
        self.nodes[at].membership.as_ref().expect("the node runs")
    }

    /// Calls the state machine of one node and carries out the returned actions.
    pub fn with_membership(
        &mut self,
        at: usize,
        f: impl FnOnce(&mut Membership, Instant) -> Vec<Action>,
    ) {
        let now = self.now();
        let membership = self.nodes[at].membership.as_mut();
        let clock = Clock::now();
        let actions = membership.map(|m| f(m, now)).unwrap_or_default();
        self.cpu += clock.elapsed();
        for action in actions {
            match action {
                Action::Send(to, datagram) => self.send(at, to, &datagram),
                Action::Pull(from) => self.pull(at, from),
                Action::Changed(_) | Action::Unreachable(_) | Action::Reachable(_) => {}
            }
        }
    }

    /// Returns an iterator over the nodes that run and are not paused.
    pub fn running(&self) -> impl Iterator<Item = (usize, &Membership)> {
        let nodes = self.nodes.iter().enumerate().filter(|(_, n)| !n.paused);
        nodes.filter_map(|(at, n)| n.membership.as_ref().map(|m| (at, m)))
    }

    /// Returns `true` if all running nodes are synced and hold the same member list.
    pub fn has_converged(&self) -> bool {
        let hashes: BTreeSet<u32> = self.running().map(|(_, m)| m.hash()).collect();
        hashes.len() <= 1 && self.running().all(|(_, m)| m.is_synced())
    }

    /// Returns `true` if every running node would route to `at`.
    pub fn all_route_to(&self, at: usize) -> bool {
        self.running().all(|(_, m)| m.routable(id(at)))
    }

    /// Returns `true` if no other running node would route to `at`.
    pub fn none_route_to(&self, at: usize) -> bool {
        self.running().all(|(i, m)| i == at || !m.routable(id(at)))
    }

    /// Returns the sum of a counter over all running nodes.
    pub fn sum_counter(&self, counter: impl Fn(&MemberCounts) -> u64) -> u64 {
        self.running().map(|(_, m)| counter(&m.counts())).sum()
    }

    /// Advances virtual time by `ms` milliseconds.
    pub fn run(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.now < end {
            self.step();
        }
    }

    /// Advances virtual time until `done` returns `true` and returns the time passed.
    ///
    /// # Panics
    ///
    /// Panics if `done` does not return `true` within `limit` milliseconds.
    pub fn run_until(&mut self, what: &str, limit: u64, done: impl Fn(&Self) -> bool) -> Duration {
        let start = self.now;
        while !done(self) {
            assert!(self.now - start < limit, "{what}: not within {limit} ms");
            self.run(TICK_MS);
        }
        Duration::from_millis(self.now - start)
    }

    fn step(&mut self) {
        self.now += 1;
        while let Some(first) = self.queue.first_entry().filter(|e| e.key().0 <= self.now) {
            let (to, sealed) = first.remove();
            match self.nodes[to].paused {
                true if self.nodes[to].socket.len() < SOCKET_DATAGRAMS => {
                    self.nodes[to].socket.push(sealed);
                }
                true => {}
                false => self.deliver(to, &sealed),
            }
        }
        let phase = (self.now % TICK_MS) as usize;
        for at in (phase..self.nodes.len()).step_by(TICK_MS as usize) {
            if !self.nodes[at].paused {
                self.with_membership(at, Membership::tick);
            }
        }
    }

    fn deliver(&mut self, to: usize, sealed: &[u8]) {
        let clock = Clock::now();
        let (from, datagram) = open(sealed, &self.key).expect("sealed by a node");
        self.cpu += clock.elapsed();
        self.with_membership(to, |m, now| m.on_datagram(now, from, datagram));
    }

    fn send(&mut self, from: usize, to: NodeId, datagram: &Datagram) {
        let clock = Clock::now();
        let sealed = seal(datagram, id(from), &self.key).expect("fits a datagram");
        self.cpu += clock.elapsed();
        self.nodes[from].datagrams += 1;
        self.nodes[from].datagram_bytes += sealed.len() as u64;
        let Some(at) = self.index_of(to) else { return };
        if self.is_partitioned(from, at) || self.rng.random_bool(self.loss_rate) {
            return;
        }
        let crosses = u64::from(self.nodes[from].domain != self.nodes[at].domain);
        self.nodes[from].cross_domain_bytes += crosses * sealed.len() as u64;
        let delay = 1 + crosses + self.rng.random_range(0..=crosses);
        self.order += 1;
        self.queue
            .insert((self.now + delay, self.order), (at, sealed));
    }

    /// Serves a pull at once; the pull fails if the peer is stopped, paused or partitioned.
    fn pull(&mut self, at: usize, from: NodeId) {
        let now = self.now();
        let Some(peer) = self.index_of(from).filter(|p| !self.is_partitioned(at, *p)) else {
            return;
        };
        let buckets = self.membership(at).buckets();
        let node = &mut self.nodes[peer];
        let Some(membership) = node.membership.as_ref().filter(|_| !node.paused) else {
            return;
        };
        let admission = node.limiter.admit(now);
        if let SyncAdmission::Busy { retry_after } = admission {
            node.busy_replies += 1;
            let requester = self.nodes[at].membership.as_mut().expect("the node runs");
            return requester.postpone_pulls(now, retry_after);
        }
        let entries = membership.differing_entries(&buckets);
        let bytes = postcard::to_stdvec(&(&buckets[..], &entries)).expect("entries encode");
        node.pull_bytes += bytes.len() as u64;
        node.limiter.done();
        if self.nodes[at].domain != self.nodes[peer].domain {
            self.nodes[peer].cross_domain_bytes += bytes.len() as u64;
        }
        self.with_membership(at, |m, now| m.merge(now, entries));
    }

    fn is_partitioned(&self, a: usize, b: usize) -> bool {
        let pair = (self.nodes[a].domain, self.nodes[b].domain);
        self.partitions.contains(&pair)
    }

    fn index_of(&self, node: NodeId) -> Option<usize> {
        let SocketAddr::V4(addr) = node.0 else {
            return None;
        };
        let [_, _, high, low] = addr.ip().octets();
        Some(usize::from(u16::from_be_bytes([high, low])))
    }
}

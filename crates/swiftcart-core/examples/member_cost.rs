//! Measures the cost and detection time of the membership protocol in a simulated network.
//!
//! `cargo run --release -p swiftcart-core --example member_cost [--herd] [NODES_PER_DOMAIN...]`
//! writes one JSON line per phase and size. With `--herd`, only the simultaneous start of all nodes
//! is measured. Byte counts cover sealed datagrams without UDP and IP headers; the datagram counts
//! give the number of headers to add. Times have a resolution of 50 ms.

#[path = "../tests/support/net.rs"]
mod net;

use std::collections::BTreeMap;
use std::time::Duration;

use net::{SimNetwork, TICK_MS, backend};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::json;
use swiftcart_core::{Membership, NodeId, Pace, Readiness};

/// Number of failure domains, as in the largest fleet to be supported.
const DOMAINS: usize = 7;

/// Number of simultaneous-start runs per size, each with its own seed.
const START_SEEDS: u64 = 3;

/// Number of failure domains in a simultaneous start.
const START_DOMAINS: usize = 5;

/// Default numbers of nodes per failure domain.
const DEFAULT_SIZES: [usize; 3] = [20, 70, 139];

/// Duration of each phase in virtual seconds.
const PHASE_SECONDS: u64 = 60;

/// Additional virtual time to detect the last deaths of a phase, in milliseconds.
const DETECTION_TAIL_MS: u64 = 10_000;

/// Virtual time after which a killed node restarts, in seconds.
const RESTART_SECONDS: u64 = 20;

/// Event that occurs once a second during a phase.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Load {
    /// No event.
    Idle,
    /// One backend server changes its readiness.
    Changes,
    /// One node dies, and a node that died earlier restarts.
    Deaths,
}

/// Resources used by all nodes so far.
#[derive(Debug, Clone, Copy)]
struct Usage {
    datagram_bytes: u64,
    pull_bytes: u64,
    datagrams: u64,
    cpu: Duration,
}

/// Tracker of killed nodes until no node routes to them.
#[derive(Debug, Default)]
struct DeathTracker {
    /// Times of death of the nodes whose death is not yet detected everywhere.
    undetected: BTreeMap<usize, u64>,
    /// Detection times in milliseconds.
    detection_times: Vec<u64>,
    /// Restart times of the stopped nodes.
    restarts: Vec<(u64, usize)>,
    /// Number of nodes that restarted before every node had detected their death.
    missed: usize,
}

impl DeathTracker {
    fn kill(&mut self, net: &mut SimNetwork, at: usize) {
        if net.nodes[at].membership.is_some() {
            net.kill(at);
            self.undetected.insert(at, net.now);
            self.restarts.push((net.now + RESTART_SECONDS * 1000, at));
        }
    }

    /// Restarts the nodes that are due.
    fn restart_due(&mut self, net: &mut SimNetwork) {
        let now = net.now;
        for (_, at) in self.restarts.extract_if(.., |(due, _)| *due <= now) {
            self.missed += usize::from(self.undetected.remove(&at).is_some());
            net.start_node(at, 0);
        }
    }

    fn check(&mut self, net: &SimNetwork) {
        let gone = |at: usize| net.none_route_to(at);
        let times = &mut self.detection_times;
        self.undetected.retain(|at, since| match gone(*at) {
            true => {
                times.push(net.now - *since);
                false
            }
            false => true,
        });
    }

    fn percentile(&self, fraction: f64) -> Option<u64> {
        let mut times = self.detection_times.clone();
        times.sort_unstable();
        let rank = (fraction * times.len() as f64).ceil() as usize;
        times.get(rank.saturating_sub(1)).copied()
    }
}

fn usage(net: &SimNetwork) -> Usage {
    Usage {
        datagram_bytes: net.nodes.iter().map(|n| n.datagram_bytes).sum(),
        pull_bytes: net.nodes.iter().map(|n| n.pull_bytes).sum(),
        datagrams: net.nodes.iter().map(|n| n.datagrams).sum(),
        cpu: net.cpu,
    }
}

/// Runs one phase and prints its result.
fn run_phase(net: &mut SimNetwork, size: usize, load: Load) {
    let mut rng = SmallRng::seed_from_u64(size as u64);
    let mut deaths = DeathTracker::default();
    let before = usage(net);
    let refuted_before = net.sum_counter(|c| c.refuted);
    for _ in 0..PHASE_SECONDS {
        let at = rng.random_range(0..net.nodes.len());
        match load {
            Load::Idle => {}
            Load::Changes => {
                let drains = rng.random_bool(0.5);
                let readiness = if drains {
                    Readiness::Draining
                } else {
                    Readiness::Ready
                };
                net.with_membership(at, |m, now| {
                    m.update_backend(now, Some(backend(at, readiness)))
                });
            }
            Load::Deaths => deaths.kill(net, at),
        }
        for _ in 0..1000 / TICK_MS {
            net.run(TICK_MS);
            deaths.check(net);
        }
        deaths.restart_due(net);
    }
    let after = usage(net);
    for _ in 0..DETECTION_TAIL_MS / TICK_MS {
        net.run(TICK_MS);
        deaths.check(net);
    }
    let node_seconds = (net.nodes.len() as u64 * PHASE_SECONDS) as f64;
    let per_node_second = |x: u64| (x as f64 / node_seconds * 10.0).round() / 10.0;
    let cpu = (after.cpu - before.cpu).as_secs_f64() * 1e6 / node_seconds;
    let line = json!({
        "phase": format!("{load:?}").to_lowercase(),
        "nodes": net.nodes.len(),
        "domain_nodes": size,
        "datagram_bytes_per_s": per_node_second(after.datagram_bytes - before.datagram_bytes),
        "datagrams_per_s": per_node_second(after.datagrams - before.datagrams),
        "pull_bytes_per_s": per_node_second(after.pull_bytes - before.pull_bytes),
        "cpu_us_per_s": (cpu * 10.0).round() / 10.0,
        "deaths": deaths.detection_times.len(),
        "undetected": deaths.undetected.len() + deaths.missed,
        "detect_p50_ms": deaths.percentile(0.5),
        "detect_p99_ms": deaths.percentile(0.99),
        "detect_max_ms": deaths.percentile(1.0),
        "refuted": net.sum_counter(|c| c.refuted).saturating_sub(refuted_before),
    });
    println!("{line}");
}

/// Starts all nodes at once, as after a power failure, and prints the cost.
///
/// Each node reads the addresses of all nodes from a directory. Backend servers announce
/// themselves within 1.5 s. Their paces are announced 2 s later, and again when the backend servers
/// are warm.
fn start_all(size: usize, domains: usize, seed: u64) {
    let mut net = SimNetwork::new(&vec![size; domains], seed);
    let nodes = net.nodes.len();
    let directory: Vec<NodeId> = (0..nodes).map(net::id).collect();
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut events: Vec<(u64, usize, Event)> = Vec::new();
    for at in 0..nodes {
        let start = rng.random_range(0..300);
        let announced = start + rng.random_range(0..1500);
        let cold_pace = announced + rng.random_range(2000..2500);
        let warm_pace = cold_pace + rng.random_range(2000..3000);
        events.push((start, at, Event::Start));
        events.push((start + rng.random_range(20..60), at, Event::DirectoryRead));
        events.push((announced, at, Event::BackendAnnounced));
        events.push((
            cold_pace,
            at,
            Event::PaceAnnounced(rng.random_range(600..1200)),
        ));
        events.push((
            warm_pace,
            at,
            Event::PaceAnnounced(rng.random_range(200..500)),
        ));
    }
    events.sort_by_key(|(at, ..)| *at);
    let mut events = events.into_iter().peekable();
    let mut agreed = None;
    let mut known = [(0.5, None), (0.9, None), (0.99, None), (1.0, None)];
    while net.now < 30_000 {
        while let Some((_, at, event)) = events.next_if(|(due, ..)| *due <= net.now) {
            match event {
                Event::Start => net.start_node_without_backend(at),
                Event::DirectoryRead => {
                    net.with_membership(at, |m, now| m.add_seeds(now, directory.clone()));
                }
                Event::BackendAnnounced => net.with_membership(at, |m, now| {
                    m.update_backend(now, Some(backend(at, Readiness::Ready)))
                }),
                Event::PaceAnnounced(pace) => {
                    net.with_membership(at, |m, now| m.announce_pace(now, Pace(pace)));
                }
            }
        }
        net.run(10);
        let known_backends = |m: &Membership| m.members().filter(|m| m.backend.is_some()).count();
        let pairs: usize = net.running().map(|(_, m)| known_backends(m)).sum();
        for (share, at) in &mut known {
            if at.is_none() && pairs as f64 >= *share * (nodes * nodes) as f64 {
                *at = Some(net.now);
            }
        }
        if agreed.is_none() && events.peek().is_none() && net.has_converged() {
            agreed = Some(net.now);
        }
    }
    let usage = usage(&net);
    let cross_domain_bytes: u64 = net.nodes.iter().map(|n| n.cross_domain_bytes).sum();
    let per_node = |bytes: u64| bytes / nodes as u64;
    let line = json!({
        "phase": "herd",
        "nodes": nodes,
        "domains": domains,
        "known_ms": known.map(|(_, at)| at),
        "agreed_ms": agreed,
        "datagram_bytes_per_node": per_node(usage.datagram_bytes),
        "datagrams_per_node": per_node(usage.datagrams),
        "pull_bytes_per_node": per_node(usage.pull_bytes),
        "far_bytes_per_node": per_node(cross_domain_bytes),
        "cpu_us_per_node": usage.cpu.as_micros() as u64 / nodes as u64,
    });
    println!("{line}");
}

/// Event of one node in a simultaneous start.
#[derive(Debug, Clone, Copy)]
enum Event {
    Start,
    DirectoryRead,
    BackendAnnounced,
    PaceAnnounced(u32),
}

/// Returns the resident memory of this process in bytes, if the system reports it.
fn resident_bytes() -> Option<u64> {
    const PAGE_BYTES: u64 = 4096;
    let statm = std::fs::read_to_string("/proc/self/statm").ok()?;
    let pages: u64 = statm.split(' ').nth(1)?.parse().ok()?;
    Some(pages * PAGE_BYTES)
}

fn main() {
    let only_starts = std::env::args().any(|a| a == "--herd");
    let args: Vec<usize> = std::env::args()
        .skip(1)
        .filter_map(|a| a.parse().ok())
        .collect();
    let sizes = if args.is_empty() {
        &DEFAULT_SIZES[..]
    } else {
        &args[..]
    };
    for size in sizes.iter().copied() {
        (1..=START_SEEDS).for_each(|seed| start_all(size, START_DOMAINS, seed));
        if only_starts {
            continue;
        }
        let before = resident_bytes();
        let mut net = SimNetwork::new(&[size; DOMAINS], 1);
        let nodes = net.nodes.len();
        (0..nodes).for_each(|at| net.start_node(at, 0));
        let join_time = net.run_until("all agree", 300_000, SimNetwork::has_converged);
        let start = usage(&net);
        net.run(60_000);
        let entries = (nodes * nodes) as u64;
        let state = resident_bytes()
            .zip(before)
            .map(|(a, b)| a.saturating_sub(b) / entries);
        let line = json!({
            "phase": "join",
            "nodes": nodes,
            "domain_nodes": size,
            "agreed_ms": join_time.as_millis() as u64,
            "bytes_per_node": (start.datagram_bytes + start.pull_bytes) / nodes as u64,
            "state_bytes_per_member": state,
        });
        println!("{line}");
        run_phase(&mut net, size, Load::Idle);
        run_phase(&mut net, size, Load::Changes);
        run_phase(&mut net, size, Load::Deaths);
    }
}

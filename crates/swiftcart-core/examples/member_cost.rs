//! Measures what membership costs and how soon it notices, over a network in virtual time.
//!
//! `cargo run --release -p swiftcart-core --example member_cost [--herd] [NODES_A_DOMAIN...]` writes
//! one JSON line for each phase and size. Bytes are sealed datagram bytes without UDP and IP
//! headers; `datagrams` tells how many headers to add. Times have a resolution of 50 ms.

#[path = "../tests/support/net.rs"]
mod net;

use std::collections::BTreeMap;
use std::time::Duration;

use net::{Net, TICK, backend};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::json;
use swiftcart_core::{Membership, NodeId, Pace, Readiness};

/// The number of failure domains, as many as the largest fleet that was asked for has.
const DOMAINS: usize = 7;

/// Herds of each size.
const HERD_SEEDS: u64 = 3;

/// The number of failure domains of a herd.
const HERD_DOMAINS: usize = 5;

/// Nodes in each failure domain unless the command line names others.
const SIZES: [usize; 3] = [20, 70, 139];

/// Virtual seconds of each phase.
const SECONDS: u64 = 60;

/// Virtual milliseconds for the last deaths of a phase to be noticed.
const TAIL: u64 = 10_000;

/// Virtual seconds after which a killed node starts again.
const RETURN: u64 = 20;

/// What happens once a second during a phase.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Load {
    /// Nothing.
    Idle,
    /// One backend server changes its readiness.
    Changes,
    /// One node dies, and one that died earlier returns.
    Deaths,
}

/// What all nodes have spent so far.
#[derive(Debug, Clone, Copy)]
struct Spent {
    bytes: u64,
    pulled: u64,
    datagrams: u64,
    cpu: Duration,
}

/// Watches killed nodes until nobody routes to them.
#[derive(Debug, Default)]
struct Deaths {
    open: BTreeMap<usize, u64>,
    /// Detection times in milliseconds.
    times: Vec<u64>,
    down: Vec<(u64, usize)>,
    /// Those that were started again before everybody had noticed.
    missed: usize,
}

impl Deaths {
    fn kill(&mut self, net: &mut Net, at: usize) {
        if net.nodes[at].machine.is_some() {
            net.kill(at);
            self.open.insert(at, net.now);
            self.down.push((net.now + RETURN * 1000, at));
        }
    }

    /// Starts those again whose time has come.
    fn revive(&mut self, net: &mut Net) {
        let now = net.now;
        for (_, at) in self.down.extract_if(.., |(due, _)| *due <= now) {
            self.missed += usize::from(self.open.remove(&at).is_some());
            net.boot(at, 0);
        }
    }

    fn check(&mut self, net: &Net) {
        let gone = |at: usize| net.none_routes(at);
        let times = &mut self.times;
        self.open.retain(|at, since| match gone(*at) {
            true => {
                times.push(net.now - *since);
                false
            }
            false => true,
        });
    }

    fn quantile(&self, q: f64) -> Option<u64> {
        let mut times = self.times.clone();
        times.sort_unstable();
        let rank = (q * times.len() as f64).ceil() as usize;
        times.get(rank.saturating_sub(1)).copied()
    }
}

fn spent(net: &Net) -> Spent {
    Spent {
        bytes: net.nodes.iter().map(|n| n.sent).sum(),
        pulled: net.nodes.iter().map(|n| n.pulled).sum(),
        datagrams: net.nodes.iter().map(|n| n.datagrams).sum(),
        cpu: net.cpu,
    }
}

/// Runs one phase and prints its line.
fn phase(net: &mut Net, size: usize, load: Load) {
    let mut rng = SmallRng::seed_from_u64(size as u64);
    let mut deaths = Deaths::default();
    let before = spent(net);
    let wrong = net.sum(|c| c.refuted);
    for _ in 0..SECONDS {
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
                net.call(at, |m, now| {
                    m.update_backend(now, Some(backend(at, readiness)))
                });
            }
            Load::Deaths => deaths.kill(net, at),
        }
        for _ in 0..1000 / TICK {
            net.run(TICK);
            deaths.check(net);
        }
        deaths.revive(net);
    }
    let after = spent(net);
    for _ in 0..TAIL / TICK {
        net.run(TICK);
        deaths.check(net);
    }
    let node_seconds = (net.nodes.len() as u64 * SECONDS) as f64;
    let per = |x: u64| (x as f64 / node_seconds * 10.0).round() / 10.0;
    let cpu = (after.cpu - before.cpu).as_secs_f64() * 1e6 / node_seconds;
    let line = json!({
        "phase": format!("{load:?}").to_lowercase(),
        "nodes": net.nodes.len(),
        "domain_nodes": size,
        "datagram_bytes_per_s": per(after.bytes - before.bytes),
        "datagrams_per_s": per(after.datagrams - before.datagrams),
        "pull_bytes_per_s": per(after.pulled - before.pulled),
        "cpu_us_per_s": (cpu * 10.0).round() / 10.0,
        "deaths": deaths.times.len(),
        "undetected": deaths.open.len() + deaths.missed,
        "detect_p50_ms": deaths.quantile(0.5),
        "detect_p99_ms": deaths.quantile(0.99),
        "detect_max_ms": deaths.quantile(1.0),
        "refuted": net.sum(|c| c.refuted).saturating_sub(wrong),
    });
    println!("{line}");
}

/// Has all nodes start at once, as after a loss of power, and prints what that costs.
///
/// A directory names the nodes of before. Backend servers announce themselves within 1.5 s, their paces
/// are told 2 s later and once more when they are warm.
fn herd(size: usize, domains: usize, seed: u64) {
    let mut net = Net::new(&vec![size; domains], seed);
    let nodes = net.nodes.len();
    let everyone: Vec<NodeId> = (0..nodes).map(net::id).collect();
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut events: Vec<(u64, usize, Event)> = Vec::new();
    for at in 0..nodes {
        let boot = rng.random_range(0..300);
        let announced = boot + rng.random_range(0..1500);
        let told = announced + rng.random_range(2000..2500);
        let warm = told + rng.random_range(2000..3000);
        events.push((boot, at, Event::Boot));
        events.push((boot + rng.random_range(20..60), at, Event::Found));
        events.push((announced, at, Event::Announced));
        events.push((told, at, Event::Told(rng.random_range(600..1200))));
        events.push((warm, at, Event::Told(rng.random_range(200..500))));
    }
    events.sort_by_key(|(at, ..)| *at);
    let mut events = events.into_iter().peekable();
    let mut agreed = None;
    let mut known = [(0.5, None), (0.9, None), (0.99, None), (1.0, None)];
    while net.now < 30_000 {
        while let Some((_, at, event)) = events.next_if(|(due, ..)| *due <= net.now) {
            match event {
                Event::Boot => net.boot_plain(at),
                Event::Found => net.call(at, |m, now| m.add_seeds(now, everyone.clone())),
                Event::Announced => net.call(at, |m, now| {
                    m.update_backend(now, Some(backend(at, Readiness::Ready)))
                }),
                Event::Told(pace) => net.call(at, |m, now| m.announce_pace(now, Pace(pace))),
            }
        }
        net.run(10);
        let offered = |m: &Membership| m.members().filter(|m| m.backend.is_some()).count();
        let pairs: usize = net.running().map(|(_, m)| offered(m)).sum();
        for (share, at) in &mut known {
            if at.is_none() && pairs as f64 >= *share * (nodes * nodes) as f64 {
                *at = Some(net.now);
            }
        }
        if agreed.is_none() && events.peek().is_none() && net.agree() {
            agreed = Some(net.now);
        }
    }
    let spent = spent(&net);
    let far: u64 = net.nodes.iter().map(|n| n.far).sum();
    let each = |bytes: u64| bytes / nodes as u64;
    let line = json!({
        "phase": "herd",
        "nodes": nodes,
        "domains": domains,
        "known_ms": known.map(|(_, at)| at),
        "agreed_ms": agreed,
        "datagram_bytes_per_node": each(spent.bytes),
        "datagrams_per_node": each(spent.datagrams),
        "pull_bytes_per_node": each(spent.pulled),
        "far_bytes_per_node": each(far),
        "cpu_us_per_node": spent.cpu.as_micros() as u64 / nodes as u64,
    });
    println!("{line}");
}

/// What happens to one node of a herd.
#[derive(Debug, Clone, Copy)]
enum Event {
    Boot,
    Found,
    Announced,
    Told(u32),
}

/// Returns the resident bytes of this process, where the system tells them.
fn resident() -> Option<u64> {
    const PAGE: u64 = 4096;
    let statm = std::fs::read_to_string("/proc/self/statm").ok()?;
    let pages: u64 = statm.split(' ').nth(1)?.parse().ok()?;
    Some(pages * PAGE)
}

fn main() {
    let only_herds = std::env::args().any(|a| a == "--herd");
    let args: Vec<usize> = std::env::args()
        .skip(1)
        .filter_map(|a| a.parse().ok())
        .collect();
    let sizes = if args.is_empty() {
        &SIZES[..]
    } else {
        &args[..]
    };
    for size in sizes.iter().copied() {
        (1..=HERD_SEEDS).for_each(|seed| herd(size, HERD_DOMAINS, seed));
        if only_herds {
            continue;
        }
        let before = resident();
        let mut net = Net::new(&[size; DOMAINS], 1);
        let nodes = net.nodes.len();
        (0..nodes).for_each(|at| net.boot(at, 0));
        let joined = net.until("all agree", 300_000, Net::agree);
        let start = spent(&net);
        net.run(60_000);
        let entries = (nodes * nodes) as u64;
        let state = resident()
            .zip(before)
            .map(|(a, b)| a.saturating_sub(b) / entries);
        let line = json!({
            "phase": "join",
            "nodes": nodes,
            "domain_nodes": size,
            "agreed_ms": joined.as_millis() as u64,
            "bytes_per_node": (start.bytes + start.pulled) / nodes as u64,
            "state_bytes_per_member": state,
        });
        println!("{line}");
        phase(&mut net, size, Load::Idle);
        phase(&mut net, size, Load::Changes);
        phase(&mut net, size, Load::Deaths);
    }
}

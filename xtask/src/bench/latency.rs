//! Latency that nodes add to a call, against calls straight to the backend server.
//!
//! Calls through nodes and direct calls alternate one by one in one run, so that both
//! see the same machine at the same time.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::json;
use swiftcart_standin::{Comparison, Load, Shape};

use super::Plan;
use super::publisher::Publisher;
use super::results::{Results, Series};
use crate::Error;
use crate::fleet::{Fleet, Role};

const BENCH: &str = "latency";
const SERVICE: &str = "sensor";

/// Calls a second, half of them direct.
const RATES: [f64; 3] = [200.0, 1000.0, 4000.0];

/// How long each rate is held, in milliseconds.
const SPAN_MS: u64 = 8000;

const START: Duration = Duration::from_secs(30);

/// A backend server with a node beside it, and a second node that calls go through.
pub(crate) struct NodePair {
    fleet: Fleet,
}

/// Measures one node and two nodes at each rate in every round.
pub(super) async fn run(plan: &Plan, results: &mut Results) -> Result<(), Error> {
    results
        .axes
        .insert(BENCH.to_owned(), "calls a second".to_owned());
    results.notes.push(format!(
        "{BENCH}: one backend server without service time, 64-byte answers; calls through nodes and \
         direct calls alternate for {SPAN_MS} ms, open loop, from the sending to the answer's end. \
         Added latency is the difference of the two percentiles."
    ));
    let pair = NodePair::start().await?;
    for round in 1..=plan.rounds {
        println!("==> {BENCH}: round {round} of {}", plan.rounds);
        for rate in RATES {
            let seed = round as u64;
            for (name, node) in pair.paths() {
                let run = pair.compare(node, rate, SPAN_MS, seed).await?;
                add(name, rate, &run, results)?;
            }
        }
    }
    Ok(())
}

impl NodePair {
    /// The path that is served.
    pub(crate) const PATH: &str = "/sensor";

    /// The instance with the backend server: its node is the guard.
    pub(crate) const GUARD: usize = 0;

    /// The instance with a node alone, which is only an ingress.
    pub(crate) const INGRESS: usize = 1;

    /// Starts the processes and waits until both nodes serve the backend server.
    pub(crate) async fn start() -> Result<Self, Error> {
        let mut fleet = Fleet::start("bench-pair", &json!({}), roles(), json!({})).await?;
        fleet.wait_ready(START).await?;
        let table = Publisher::new(fleet.platform).table(&[SERVICE]).await?;
        fleet.wait_version(table.version, START).await?;
        fleet.wait_served(Self::PATH, START).await?;
        Ok(Self { fleet })
    }

    /// Returns the processes.
    pub(crate) const fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// Returns both ways through nodes, by name.
    pub(crate) fn paths(&self) -> [(&'static str, SocketAddr); 2] {
        let calls = |i: usize| self.fleet.instances[i].addrs.calls;
        [
            ("one node", calls(Self::GUARD)),
            ("two nodes", calls(Self::INGRESS)),
        ]
    }

    /// Compares calls through `node` with direct calls, one by one in turn.
    pub(crate) async fn compare(
        &self,
        node: SocketAddr,
        rate: f64,
        ms: u64,
        seed: u64,
    ) -> Result<Comparison, Error> {
        let direct = self.fleet.instances[Self::GUARD].addrs.backend;
        let load = Load::new(vec![node])
            .with_rate(rate)
            .with_duration_ms(ms)
            .with_seed(seed)
            .with_poisson(true)
            .with_connections(64)
            .with_shape(Shape::read(Self::PATH), 1);
        Ok(load.compare(vec![direct]).await?)
    }
}

/// Returns how much longer calls through nodes took, in milliseconds: p50 and p99.
pub(crate) fn added_latency_ms(run: &Comparison) -> (f64, f64) {
    let (through, direct) = (run.a.since_send_us, run.b.since_send_us);
    let ms = |through: u64, direct: u64| (through as f64 - direct as f64) / 1000.0;
    (ms(through.p50, direct.p50), ms(through.p99, direct.p99))
}

fn add(path: &str, rate: f64, run: &Comparison, results: &mut Results) -> Result<(), Error> {
    let (through, direct) = (run.a.since_send_us, run.b.since_send_us);
    if run.a.good == 0 || run.b.good == 0 {
        return Err(Error::Late("a good answer".to_owned(), path.to_owned()));
    }
    let failed = (run.a.offered - run.a.good) as f64;
    let mut put = |subject: &str, metric: &str, unit: &str, value| {
        results.add(Series::new(BENCH, subject, metric, unit), rate, value);
    };
    let (p50, p99) = added_latency_ms(run);
    put(path, "added p50", "ms", p50);
    put(path, "added p99", "ms", p99);
    put(path, "p50", "ms", through.p50 as f64 / 1000.0);
    put(path, "p99", "ms", through.p99 as f64 / 1000.0);
    let beside = format!("direct, beside {path}");
    put(&beside, "p50", "ms", direct.p50 as f64 / 1000.0);
    put(&beside, "p99", "ms", direct.p99 as f64 / 1000.0);
    put(path, "calls without a good answer", "calls", failed);
    Ok(())
}

fn roles() -> Vec<Role> {
    let backend = json!({ "service": SERVICE, "slots": 64, "connections": 256 });
    let role = |backend| Role {
        domain: "norte".to_owned(),
        backend,
    };
    vec![role(Some(backend)), role(None)]
}

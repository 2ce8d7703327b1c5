//! Latency that nodes add to requests, compared with direct requests to the backend server.
//!
//! Requests through nodes and direct requests alternate one by one in one run, so that both are
//! measured under the same system load.

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

/// Request rates per second. Half of the requests are direct.
const RATES: [f64; 3] = [200.0, 1000.0, 4000.0];

/// Duration of the load at each rate, in milliseconds.
const RATE_DURATION_MS: u64 = 8000;

/// Timeout for each step of the start.
const START_TIMEOUT: Duration = Duration::from_secs(30);

/// Fleet of a guard with a backend server, and a second node that is only an ingress.
pub(crate) struct NodePair {
    fleet: Fleet,
}

/// Measures the paths through one node and two nodes at each rate in every round.
pub(super) async fn run(plan: &Plan, results: &mut Results) -> Result<(), Error> {
    results
        .axes
        .insert(BENCH.to_owned(), "calls a second".to_owned());
    results.notes.push(format!(
        "{BENCH}: one backend server without service time and with 64-byte responses. Requests \
         through nodes and direct requests alternate for {RATE_DURATION_MS} ms in an open loop. \
         Latency is measured from the sending of a request to the end of its response. Added \
         latency is the difference between the percentiles of the two paths."
    ));
    let pair = NodePair::start().await?;
    for round in 1..=plan.rounds {
        println!("==> {BENCH}: round {round} of {}", plan.rounds);
        for rate in RATES {
            let seed = round as u64;
            for (name, node) in pair.paths() {
                let run = pair.compare(node, rate, RATE_DURATION_MS, seed).await?;
                record_comparison(name, rate, &run, results)?;
            }
        }
    }
    Ok(())
}

impl NodePair {
    /// Request path of the service.
    pub(crate) const PATH: &str = "/sensor";

    /// Index of the instance with the backend server, whose node is the guard.
    pub(crate) const GUARD: usize = 0;

    /// Index of the instance without a backend server, whose node is only an ingress.
    pub(crate) const INGRESS: usize = 1;

    /// Starts the processes and waits until both nodes forward requests to the backend server.
    pub(crate) async fn start() -> Result<Self, Error> {
        let mut fleet = Fleet::start("bench-pair", &json!({}), roles(), json!({})).await?;
        fleet.wait_ready(START_TIMEOUT).await?;
        let table = Publisher::new(fleet.platform)
            .publish_table(&[SERVICE])
            .await?;
        fleet.wait_version(table.version, START_TIMEOUT).await?;
        fleet.wait_served(Self::PATH, START_TIMEOUT).await?;
        Ok(Self { fleet })
    }

    /// Returns the fleet with both nodes.
    pub(crate) const fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// Returns the name and the address of the first node for each path through nodes.
    pub(crate) fn paths(&self) -> [(&'static str, SocketAddr); 2] {
        let calls = |i: usize| self.fleet.instances[i].addrs.calls;
        [
            ("one node", calls(Self::GUARD)),
            ("two nodes", calls(Self::INGRESS)),
        ]
    }

    /// Compares requests through `node` with direct requests, which alternate one by one.
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

/// Returns the latency added by nodes at p50 and p99, in milliseconds.
pub(crate) fn added_latency_ms(run: &Comparison) -> (f64, f64) {
    let (through, direct) = (run.a.since_send_us, run.b.since_send_us);
    let ms = |through: u64, direct: u64| (through as f64 - direct as f64) / 1000.0;
    (ms(through.p50, direct.p50), ms(through.p99, direct.p99))
}

fn record_comparison(
    path: &str,
    rate: f64,
    run: &Comparison,
    results: &mut Results,
) -> Result<(), Error> {
    let (through, direct) = (run.a.since_send_us, run.b.since_send_us);
    if run.a.good == 0 || run.b.good == 0 {
        return Err(Error::Late(
            "a successful response".to_owned(),
            path.to_owned(),
        ));
    }
    let failed = (run.a.offered - run.a.good) as f64;
    let mut record = |subject: &str, metric: &str, unit: &str, value| {
        results.record(Series::new(BENCH, subject, metric, unit), rate, value);
    };
    let (p50, p99) = added_latency_ms(run);
    record(path, "added p50", "ms", p50);
    record(path, "added p99", "ms", p99);
    record(path, "p50", "ms", through.p50 as f64 / 1000.0);
    record(path, "p99", "ms", through.p99 as f64 / 1000.0);
    let direct_subject = format!("direct, beside {path}");
    record(&direct_subject, "p50", "ms", direct.p50 as f64 / 1000.0);
    record(&direct_subject, "p99", "ms", direct.p99 as f64 / 1000.0);
    record(path, "calls without a good answer", "calls", failed);
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

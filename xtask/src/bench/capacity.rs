//! Resource usage of each role by request rate, keyed request rate, connections and table rows.
//!
//! The capacity page uses the slopes of these measurements.

mod connections;
mod rows;

use std::time::{Duration, Instant};

use swiftcart_standin::{Load, LogStats, Shape};

use super::Plan;
use super::latency::NodePair;
use super::results::{Results, Series};
use crate::fleet::Fleet;
use crate::{Error, Usage};

/// Timeout for all nodes to become ready.
const START_TIMEOUT: Duration = Duration::from_secs(30);

/// Rates of requests without an idempotency key, per second.
const REQUEST_RATES: [f64; 5] = [250.0, 500.0, 1000.0, 2000.0, 4000.0];

/// Rates of requests with an idempotency key, per second.
const KEYED_RATES: [f64; 4] = [25.0, 50.0, 100.0, 200.0];

/// Duration of the load at each rate, in milliseconds.
const RATE_DURATION_MS: u64 = 6000;

/// Kind of requests to measure at several rates.
struct Workload {
    bench: &'static str,
    axis: &'static str,
    rates: &'static [f64],
    shape: fn(String) -> Shape,
}

const WORKLOADS: [Workload; 2] = [
    Workload {
        bench: "capacity-calls",
        axis: "calls a second",
        rates: &REQUEST_RATES,
        shape: read_shape,
    },
    Workload {
        bench: "capacity-keys",
        axis: "keyed calls a second",
        rates: &KEYED_RATES,
        shape: keyed_shape,
    },
];

/// Measures every workload, idle connections and table rows in every round.
pub(super) async fn run(plan: &Plan, results: &mut Results) -> Result<(), Error> {
    for round in 1..=plan.rounds {
        println!("==> capacity: round {round} of {}", plan.rounds);
        let pair = NodePair::start().await?;
        let fleet = pair.fleet();
        for workload in &WORKLOADS {
            results
                .axes
                .insert(workload.bench.to_owned(), workload.axis.to_owned());
            for (i, rate) in workload.rates.iter().enumerate() {
                let seed = (round * 100 + i) as u64;
                measure(fleet, workload, *rate, seed, results).await?;
            }
        }
        connections::measure(fleet, results).await?;
        drop(pair);
        rows::measure(results).await?;
    }
    Ok(())
}

async fn measure(
    fleet: &Fleet,
    workload: &Workload,
    rate: f64,
    seed: u64,
    results: &mut Results,
) -> Result<(), Error> {
    let load = Load::new(vec![fleet.instances[NodePair::INGRESS].addrs.calls])
        .with_rate(rate)
        .with_duration_ms(RATE_DURATION_MS)
        .with_poisson(true)
        .with_seed(seed)
        .with_shape((workload.shape)(NodePair::PATH.to_owned()), 1);
    let (start, before, appends_before) =
        (Instant::now(), node_usages(fleet)?, appends(fleet).await?);
    let report = load.run().await?;
    let (after, appended) = (node_usages(fleet)?, appends(fleet).await? - appends_before);
    let seconds = start.elapsed().as_secs_f64();
    let mut record = |subject: &str, metric: &str, unit: &str, value| {
        results.record(
            Series::new(workload.bench, subject, metric, unit),
            rate,
            value,
        );
    };
    for (subject, i) in [("guard", NodePair::GUARD), ("ingress", NodePair::INGRESS)] {
        let cpu = (after[i].cpu - before[i].cpu).as_secs_f64() / seconds;
        record(subject, "processor time", "% of a core", cpu * 100.0);
        record(subject, "memory", "MiB", after[i].rss_kib as f64 / 1024.0);
    }
    record(
        "callers",
        "good answers",
        "1/s",
        report.good as f64 / seconds,
    );
    record(
        "callers",
        "p99",
        "ms",
        report.latency_us.p99 as f64 / 1000.0,
    );
    record("platform", "appends", "1/s", appended / seconds);
    Ok(())
}

/// Returns the resource usage of both nodes.
fn node_usages(fleet: &Fleet) -> Result<[Usage; 2], Error> {
    let usage_of = |i| fleet.usage(i).map(Option::unwrap_or_default);
    Ok([usage_of(NodePair::GUARD)?, usage_of(NodePair::INGRESS)?])
}

/// Returns the number of appends to the platform, summed over all streams.
async fn appends(fleet: &Fleet) -> Result<f64, Error> {
    let stats: LogStats = fleet.client.json(fleet.platform, "/standin/stats").await?;
    let sum: u64 = stats.streams.values().map(|stream| stream.appends).sum();
    Ok(sum as f64)
}

fn read_shape(path: String) -> Shape {
    Shape::read(path)
}

fn keyed_shape(path: String) -> Shape {
    Shape::keyed(path)
}

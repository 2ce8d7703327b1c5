//! Slopes for the capacity page: what each role costs over calls, keys, connections and rows.

mod connections;
mod rows;

use std::time::{Duration, Instant};

use swiftcart_standin::{Load, LogStats, Shape};

use super::Plan;
use super::latency::NodePair;
use super::results::{Results, Series};
use crate::fleet::Fleet;
use crate::{Error, Usage};

const START: Duration = Duration::from_secs(30);

/// Calls a second that both roles are measured at, and keyed calls a second.
const CALLS: [f64; 5] = [250.0, 500.0, 1000.0, 2000.0, 4000.0];
const KEYS: [f64; 4] = [25.0, 50.0, 100.0, 200.0];

/// How long each rate is held, in milliseconds.
const SPAN_MS: u64 = 6000;

/// Names one group of measurements: its bench and its calls.
struct Group {
    bench: &'static str,
    axis: &'static str,
    rates: &'static [f64],
    shape: fn(String) -> Shape,
}

const GROUPS: [Group; 2] = [
    Group {
        bench: "capacity-calls",
        axis: "calls a second",
        rates: &CALLS,
        shape: read,
    },
    Group {
        bench: "capacity-keys",
        axis: "keyed calls a second",
        rates: &KEYS,
        shape: keyed,
    },
];

/// Measures every group in every round.
pub(super) async fn run(plan: &Plan, results: &mut Results) -> Result<(), Error> {
    for round in 1..=plan.rounds {
        println!("==> capacity: round {round} of {}", plan.rounds);
        let pair = NodePair::start().await?;
        let fleet = pair.fleet();
        for group in &GROUPS {
            results
                .axes
                .insert(group.bench.to_owned(), group.axis.to_owned());
            for (i, rate) in group.rates.iter().enumerate() {
                let seed = (round * 100 + i) as u64;
                measure(fleet, group, *rate, seed, results).await?;
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
    group: &Group,
    rate: f64,
    seed: u64,
    results: &mut Results,
) -> Result<(), Error> {
    let load = Load::new(vec![fleet.instances[NodePair::INGRESS].addrs.calls])
        .with_rate(rate)
        .with_duration_ms(SPAN_MS)
        .with_poisson(true)
        .with_seed(seed)
        .with_shape((group.shape)(NodePair::PATH.to_owned()), 1);
    let (start, before, log) = (Instant::now(), usages(fleet)?, appends(fleet).await?);
    let report = load.run().await?;
    let (after, appended) = (usages(fleet)?, appends(fleet).await? - log);
    let seconds = start.elapsed().as_secs_f64();
    let mut put = |subject: &str, metric: &str, unit: &str, value| {
        results.add(Series::new(group.bench, subject, metric, unit), rate, value);
    };
    for (subject, i) in [("guard", NodePair::GUARD), ("ingress", NodePair::INGRESS)] {
        let cpu = (after[i].cpu - before[i].cpu).as_secs_f64() / seconds;
        put(subject, "processor time", "% of a core", cpu * 100.0);
        put(subject, "memory", "MiB", after[i].rss_kib as f64 / 1024.0);
    }
    put(
        "callers",
        "good answers",
        "1/s",
        report.good as f64 / seconds,
    );
    put(
        "callers",
        "p99",
        "ms",
        report.latency_us.p99 as f64 / 1000.0,
    );
    put("platform", "appends", "1/s", appended / seconds);
    Ok(())
}

/// Returns what both nodes have used.
fn usages(fleet: &Fleet) -> Result<[Usage; 2], Error> {
    let of = |i| fleet.usage(i).map(Option::unwrap_or_default);
    Ok([of(NodePair::GUARD)?, of(NodePair::INGRESS)?])
}

/// Returns the appends that the platform has taken, over all streams.
async fn appends(fleet: &Fleet) -> Result<f64, Error> {
    let stats: LogStats = fleet.client.json(fleet.platform, "/standin/stats").await?;
    let sum: u64 = stats.streams.values().map(|stream| stream.appends).sum();
    Ok(sum as f64)
}

fn read(path: String) -> Shape {
    Shape::read(path)
}

fn keyed(path: String) -> Shape {
    Shape::keyed(path)
}

//! Good answers a second under more load than the backend servers can take.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::json;
use swiftcart_standin::{Load, Report, Shape};

use super::Plan;
use super::publisher::Publisher;
use super::results::{Results, Series};
use crate::Error;
use crate::fleet::{Fleet, Role};

const BENCH: &str = "overload";
const SERVICE: &str = "sensor";
const DOMAINS: [&str; 3] = ["norte", "sur", "callao"];

/// Backend servers, the slots of each, and the time of one request in milliseconds.
const BACKENDS: usize = 4;
const SLOTS: u32 = 10;
const SERVICE_MS: f64 = 20.0;

/// Requests that wait inside a backend server: enough to outlast every deadline.
const QUEUE: u32 = 200;

/// How long a caller waits for its answer, in milliseconds.
const DEADLINE_MS: u64 = 250;

/// Offered load as a multiple of what the slots can do.
const FACTORS: [f64; 6] = [0.5, 0.8, 1.0, 1.5, 2.0, 3.0];
const SPAN_MS: u64 = 4000;
const START: Duration = Duration::from_secs(30);

/// Measures each factor in every round, through nodes and directly in turn.
pub(super) async fn run(plan: &Plan, results: &mut Results) -> Result<(), Error> {
    results
        .axes
        .insert(BENCH.to_owned(), "offered load / capacity".to_owned());
    let capacity = BACKENDS as f64 * f64::from(SLOTS) * 1000.0 / SERVICE_MS;
    results.notes.push(format!(
        "{BENCH}: {BACKENDS} backend servers of {SLOTS} slots and {SERVICE_MS} ms (capacity {capacity} \
         calls a second), an inner queue of {QUEUE}, callers that wait {DEADLINE_MS} ms and do not \
         retry, {SPAN_MS} ms for each point; directly means in turn to each backend server."
    ));
    let mut fleet = Fleet::start("bench-overload", &json!({}), roles(), json!({})).await?;
    fleet.wait_ready(START).await?;
    let table = Publisher::new(fleet.platform).table(&[SERVICE]).await?;
    fleet.wait_version(table.version, START).await?;
    fleet.wait_served(&format!("/{SERVICE}"), START).await?;
    let nodes: Vec<_> = fleet.instances.iter().map(|i| i.addrs.calls).collect();
    let backends: Vec<_> = fleet.instances.iter().map(|i| i.addrs.backend).collect();
    for round in 1..=plan.rounds {
        println!("==> {BENCH}: round {round} of {}", plan.rounds);
        for factor in FACTORS {
            let rate = factor * capacity;
            add("swiftcart", factor, &offer(&nodes, rate).await?, results);
            add("directly", factor, &offer(&backends, rate).await?, results);
        }
    }
    Ok(())
}

async fn offer(targets: &[SocketAddr], rate: f64) -> Result<Report, Error> {
    let load = Load::new(targets.to_vec())
        .with_rate(rate)
        .with_duration_ms(SPAN_MS)
        .with_poisson(true)
        .with_connections(2000)
        .with_timeout_ms(DEADLINE_MS)
        .with_deadline_ms(DEADLINE_MS)
        .with_shape(Shape::read(format!("/{SERVICE}")), 1);
    Ok(load.run().await?)
}

fn add(subject: &str, factor: f64, report: &Report, results: &mut Results) {
    let mut put = |metric: &str, unit: &str, value| {
        results.add(Series::new(BENCH, subject, metric, unit), factor, value);
    };
    put("good answers", "1/s", report.goodput);
    put(
        "latency of good answers, p50",
        "ms",
        report.latency_us.p50 as f64 / 1000.0,
    );
    put(
        "latency of good answers, p99",
        "ms",
        report.latency_us.p99 as f64 / 1000.0,
    );
    put(
        "time to a failure, p50",
        "ms",
        report.failure_us.p50 as f64 / 1000.0,
    );
    let not_run = report.outcomes.get("not-run").copied().unwrap_or(0);
    put("told not-run", "calls", not_run as f64);
}

fn roles() -> Vec<Role> {
    let backend = json!({
        "service": SERVICE,
        "slots": SLOTS,
        "queue": QUEUE,
        "connections": 2000,
        "service_time": { "fixed": SERVICE_MS },
    });
    let role = |i: usize| Role {
        domain: DOMAINS[i % DOMAINS.len()].to_owned(),
        backend: Some(backend.clone()),
    };
    (0..BACKENDS).map(role).collect()
}

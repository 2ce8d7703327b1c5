//! Goodput under more load than the backend servers have capacity for.

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

/// Number of backend servers.
const BACKEND_COUNT: usize = 4;

/// Concurrency limit of each backend server.
const SLOTS: u32 = 10;

/// Service time of one request, in milliseconds.
const SERVICE_TIME_MS: f64 = 20.0;

/// Queue capacity of each backend server, in requests.
///
/// The wait in a full queue exceeds the deadline of the callers.
const QUEUE_CAPACITY: u32 = 200;

/// Timeout and deadline of each request, in milliseconds.
const DEADLINE_MS: u64 = 250;

/// Offered load as multiples of the total capacity of the backend servers.
const LOAD_FACTORS: [f64; 6] = [0.5, 0.8, 1.0, 1.5, 2.0, 3.0];

/// Duration of the load at each factor, in milliseconds.
const POINT_DURATION_MS: u64 = 4000;

/// Timeout for each step of the start.
const START_TIMEOUT: Duration = Duration::from_secs(30);

/// Measures each load factor in every round, first through nodes and then directly.
pub(super) async fn run(plan: &Plan, results: &mut Results) -> Result<(), Error> {
    results
        .axes
        .insert(BENCH.to_owned(), "offered load / capacity".to_owned());
    let capacity = BACKEND_COUNT as f64 * f64::from(SLOTS) * 1000.0 / SERVICE_TIME_MS;
    results.notes.push(format!(
        "{BENCH}: {BACKEND_COUNT} backend servers, each with {SLOTS} slots, a service time of \
         {SERVICE_TIME_MS} ms and an internal queue of {QUEUE_CAPACITY} requests. Their total \
         capacity is {capacity} requests per second. Callers have a deadline of {DEADLINE_MS} ms \
         and do not retry. Each point is measured for {POINT_DURATION_MS} ms. The subject \
         `directly` sends requests to the backend servers in round-robin order."
    ));
    let mut fleet = Fleet::start("bench-overload", &json!({}), roles(), json!({})).await?;
    fleet.wait_ready(START_TIMEOUT).await?;
    let table = Publisher::new(fleet.platform)
        .publish_table(&[SERVICE])
        .await?;
    fleet.wait_version(table.version, START_TIMEOUT).await?;
    fleet
        .wait_served(&format!("/{SERVICE}"), START_TIMEOUT)
        .await?;
    let nodes: Vec<_> = fleet.instances.iter().map(|i| i.addrs.calls).collect();
    let backends: Vec<_> = fleet.instances.iter().map(|i| i.addrs.backend).collect();
    for round in 1..=plan.rounds {
        println!("==> {BENCH}: round {round} of {}", plan.rounds);
        for factor in LOAD_FACTORS {
            let rate = factor * capacity;
            record_report("swiftcart", factor, &run_load(&nodes, rate).await?, results);
            record_report(
                "directly",
                factor,
                &run_load(&backends, rate).await?,
                results,
            );
        }
    }
    Ok(())
}

async fn run_load(targets: &[SocketAddr], rate: f64) -> Result<Report, Error> {
    let load = Load::new(targets.to_vec())
        .with_rate(rate)
        .with_duration_ms(POINT_DURATION_MS)
        .with_poisson(true)
        .with_connections(2000)
        .with_timeout_ms(DEADLINE_MS)
        .with_deadline_ms(DEADLINE_MS)
        .with_shape(Shape::read(format!("/{SERVICE}")), 1);
    Ok(load.run().await?)
}

fn record_report(subject: &str, factor: f64, report: &Report, results: &mut Results) {
    let mut record = |metric: &str, unit: &str, value| {
        results.record(Series::new(BENCH, subject, metric, unit), factor, value);
    };
    record("good answers", "1/s", report.goodput);
    record(
        "latency of good answers, p50",
        "ms",
        report.latency_us.p50 as f64 / 1000.0,
    );
    record(
        "latency of good answers, p99",
        "ms",
        report.latency_us.p99 as f64 / 1000.0,
    );
    record(
        "time to a failure, p50",
        "ms",
        report.failure_us.p50 as f64 / 1000.0,
    );
    let not_run_count = report.outcomes.get("not-run").copied().unwrap_or(0);
    record("told not-run", "calls", not_run_count as f64);
}

fn roles() -> Vec<Role> {
    let backend = json!({
        "service": SERVICE,
        "slots": SLOTS,
        "queue": QUEUE_CAPACITY,
        "connections": 2000,
        "service_time": { "fixed": SERVICE_TIME_MS },
    });
    let role = |i: usize| Role {
        domain: DOMAINS[i % DOMAINS.len()].to_owned(),
        backend: Some(backend.clone()),
    };
    (0..BACKEND_COUNT).map(role).collect()
}

//! Convergence time, control traffic and platform reads by number of nodes.
//!
//! The baselines are processes that each read the platform directly, either once a second or with
//! a long poll. Swiftcart and the baselines are measured alternately within one run.

mod followers;

use std::time::Duration;

use tokio::time::sleep;

use super::publisher::{Published, Publisher};
use super::results::{Results, Series, quantile};
use super::{Plan, check_memory};
use crate::{Error, applied_at};
use followers::{Baseline, Followers, UsageSample};

const BENCH: &str = "convergence";
const PRODUCT: &str = "swiftcart";
const SERVICES: [&str; 3] = ["sensor", "booking", "survey"];

/// Duration of the measurement without publishes.
const IDLE_PERIOD: Duration = Duration::from_secs(10);

/// Time for the nodes to discover each other before the first measurement.
const DISCOVERY_TIME: Duration = Duration::from_secs(3);

/// Number of publishes in one round.
const PUBLISHES_PER_ROUND: usize = 20;

/// Pause after each publish.
const PUBLISH_PAUSE: Duration = Duration::from_millis(300);

const BASELINES: [Baseline; 2] = [
    Baseline {
        subject: "every node polls each second",
        pause_ms: 1000,
        wait_ms: 0,
    },
    Baseline {
        subject: "every node holds a long poll",
        pause_ms: 0,
        wait_ms: 20_000,
    },
];

/// Measures Swiftcart and each baseline at every node count in every round.
pub(super) async fn run(plan: &Plan, results: &mut Results) -> Result<(), Error> {
    results.axes.insert(BENCH.to_owned(), "nodes".to_owned());
    results.notes.push(format!(
        "{BENCH}: each round makes {PUBLISHES_PER_ROUND} publishes with a pause of \
         {PUBLISH_PAUSE:?} after each. A publish has converged when the last node has logged its \
         version. The convergence time starts at the append time in the log and has a resolution \
         of one millisecond. For every subject, control bytes are datagrams with their IP and UDP \
         headers and the payload of pulls and platform reads. HTTP headers are not counted, so an \
         empty read counts as zero bytes. The control bytes of nodes include all membership \
         traffic, which the baselines do not have."
    ));
    for round in 1..=plan.rounds {
        for &size in &plan.sizes {
            println!(
                "==> {BENCH}: {size} nodes, round {round} of {}",
                plan.rounds
            );
            measure(PRODUCT, size, Followers::start_nodes(size).await?, results).await?;
            for baseline in &BASELINES {
                let followers = Followers::start_pollers(size, baseline).await?;
                measure(baseline.subject, size, followers, results).await?;
            }
        }
    }
    Ok(())
}

async fn measure(
    subject: &str,
    size: usize,
    mut followers: Followers,
    results: &mut Results,
) -> Result<(), Error> {
    let mut publisher = Publisher::new(followers.fleet().platform);
    let first = publisher.publish_table(&SERVICES).await?;
    followers.wait_applied(first.version).await?;
    sleep(DISCOVERY_TIME).await;

    let start = followers.sample().await?;
    check_memory(start.rss_kib)?;
    sleep(IDLE_PERIOD).await;
    let idle = followers.sample().await?;
    record_rates("idle", subject, size, start, idle, results);

    let mut published = Vec::new();
    for i in 0..PUBLISHES_PER_ROUND {
        published.push(
            publisher
                .publish_weight(SERVICES[i % SERVICES.len()])
                .await?,
        );
        sleep(PUBLISH_PAUSE).await;
    }
    followers.wait_applied(publisher.last_version()).await?;
    let busy = followers.sample().await?;
    record_rates("publishing", subject, size, idle, busy, results);
    record_times(subject, size, &published, &followers.logs()?, results)
}

/// Records the times from the append of each publish until the nodes applied it.
fn record_times(
    subject: &str,
    size: usize,
    published: &[Published],
    logs: &[String],
    results: &mut Results,
) -> Result<(), Error> {
    let mut all_delays = Vec::new();
    let mut slowest = Vec::new();
    for publish in published {
        let version = publish.version.0;
        let at = logs.iter().map(|log| applied_at(log, version));
        let timeout_error =
            || Error::Late(format!("version {version} in the logs"), subject.to_owned());
        let at: Vec<_> = at.collect::<Option<_>>().ok_or_else(timeout_error)?;
        let delays: Vec<_> = at
            .iter()
            .map(|at| at.saturating_sub(publish.appended_ms) as f64)
            .collect();
        slowest.push(delays.iter().copied().fold(0.0, f64::max));
        all_delays.extend(delays);
    }
    let mut record = |metric: &str, value| {
        results.record(
            Series::new(BENCH, subject, metric, "ms"),
            size as f64,
            value,
        );
    };
    record(
        "time to every node, median publish",
        quantile(&slowest, 0.5),
    );
    record("time to every node, worst publish", quantile(&slowest, 1.0));
    record("time to a node, p50", quantile(&all_delays, 0.5));
    record("time to a node, p99", quantile(&all_delays, 0.99));
    Ok(())
}

/// Records the traffic, CPU time and memory between two usage samples.
fn record_rates(
    phase: &str,
    subject: &str,
    size: usize,
    from: UsageSample,
    to: UsageSample,
    results: &mut Results,
) {
    let nodes = size as f64;
    let seconds = (to.taken_at - from.taken_at).as_secs_f64();
    let mut record = |metric: &str, unit: &str, value| {
        let metric = format!("{metric}, {phase}");
        results.record(Series::new(BENCH, subject, &metric, unit), nodes, value);
    };
    let bytes = (to.control_bytes - from.control_bytes) / nodes / seconds;
    record("control bytes of a node", "B/s", bytes);
    record(
        "reads of the platform",
        "1/s",
        (to.reads - from.reads) / seconds,
    );
    record(
        "payload from the platform",
        "B/s",
        (to.payload_bytes - from.payload_bytes) / seconds,
    );
    let cpu = (to.cpu - from.cpu).as_secs_f64() / nodes / seconds;
    record("processor time of a node", "% of a core", cpu * 100.0);
    record(
        "memory of a node, mean",
        "MiB",
        to.rss_kib as f64 / 1024.0 / nodes,
    );
    record(
        "memory of a node, greatest",
        "MiB",
        to.max_kib as f64 / 1024.0,
    );
}

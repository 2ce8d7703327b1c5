//! Convergence time, control bytes and reads of the platform, over the number of nodes.
//!
//! The baselines are processes that read the platform by themselves, once a second or
//! with a read that the platform holds. All subjects take turns within one run.

mod followers;

use std::time::Duration;

use tokio::time::sleep;

use super::publisher::{Published, Publisher};
use super::results::{Results, Series, quantile};
use super::{Plan, check_memory};
use crate::{Error, applied_at};
use followers::{Baseline, Followers, Mark};

const BENCH: &str = "convergence";
const OURS: &str = "swiftcart";
const SERVICES: [&str; 3] = ["sensor", "booking", "survey"];

/// How long nothing changes while the idle traffic is measured.
const IDLE: Duration = Duration::from_secs(10);

/// How long nodes have to find each other before the first measurement.
const SETTLE: Duration = Duration::from_secs(3);

/// Publishes in one round, and the pause after each.
const PUBLISHES: usize = 20;
const GAP: Duration = Duration::from_millis(300);

const BASELINES: [Baseline; 2] = [
    Baseline {
        subject: "every node polls each second",
        gap_ms: 1000,
        wait_ms: 0,
    },
    Baseline {
        subject: "every node holds a long poll",
        gap_ms: 0,
        wait_ms: 20_000,
    },
];

/// Measures every size in every round.
pub(super) async fn run(plan: &Plan, results: &mut Results) -> Result<(), Error> {
    results.axes.insert(BENCH.to_owned(), "nodes".to_owned());
    results.notes.push(format!(
        "{BENCH}: a round publishes {PUBLISHES} times with {GAP:?} between; a publish has converged when \
         the last node has logged it, and counts from the log's own time of the append. Times have the \
         resolution of a millisecond. Control bytes are datagrams with their IP and UDP headers, and the \
         payload of pulls and of reads from the platform, for every subject alike: the heads of HTTP \
         are left out, so that an empty read counts as nothing. A node's include all membership traffic, \
         which the baselines do not have."
    ));
    for round in 1..=plan.rounds {
        for &size in &plan.sizes {
            println!(
                "==> {BENCH}: {size} nodes, round {round} of {}",
                plan.rounds
            );
            measure(OURS, size, Followers::nodes(size).await?, results).await?;
            for baseline in &BASELINES {
                let followers = Followers::pollers(size, baseline).await?;
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
    let first = publisher.table(&SERVICES).await?;
    followers.wait(first.version).await?;
    sleep(SETTLE).await;

    let start = followers.mark().await?;
    check_memory(start.rss_kib)?;
    sleep(IDLE).await;
    let idle = followers.mark().await?;
    rates("idle", subject, size, start, idle, results);

    let mut published = Vec::new();
    for i in 0..PUBLISHES {
        published.push(publisher.weight(SERVICES[i % SERVICES.len()]).await?);
        sleep(GAP).await;
    }
    followers.wait(publisher.last()).await?;
    let busy = followers.mark().await?;
    rates("publishing", subject, size, idle, busy, results);
    times(subject, size, &published, &followers.logs()?, results)
}

/// Adds how long each publish took to come into force.
fn times(
    subject: &str,
    size: usize,
    published: &[Published],
    logs: &[String],
    results: &mut Results,
) -> Result<(), Error> {
    let mut each = Vec::new();
    let mut last = Vec::new();
    for publish in published {
        let version = publish.version.0;
        let at = logs.iter().map(|log| applied_at(log, version));
        let late = || Error::Late(format!("version {version} in the logs"), subject.to_owned());
        let at: Vec<_> = at.collect::<Option<_>>().ok_or_else(late)?;
        let taken: Vec<_> = at
            .iter()
            .map(|at| at.saturating_sub(publish.at) as f64)
            .collect();
        last.push(taken.iter().copied().fold(0.0, f64::max));
        each.extend(taken);
    }
    let mut add = |metric: &str, value| {
        results.add(
            Series::new(BENCH, subject, metric, "ms"),
            size as f64,
            value,
        );
    };
    add("time to every node, median publish", quantile(&last, 0.5));
    add("time to every node, worst publish", quantile(&last, 1.0));
    add("time to a node, p50", quantile(&each, 0.5));
    add("time to a node, p99", quantile(&each, 0.99));
    Ok(())
}

/// Adds what was used between two marks.
fn rates(phase: &str, subject: &str, size: usize, from: Mark, to: Mark, results: &mut Results) {
    let nodes = size as f64;
    let seconds = (to.at - from.at).as_secs_f64();
    let mut add = |metric: &str, unit: &str, value| {
        let metric = format!("{metric}, {phase}");
        results.add(Series::new(BENCH, subject, &metric, unit), nodes, value);
    };
    let bytes = (to.control - from.control) / nodes / seconds;
    add("control bytes of a node", "B/s", bytes);
    add(
        "reads of the platform",
        "1/s",
        (to.reads - from.reads) / seconds,
    );
    add(
        "payload from the platform",
        "B/s",
        (to.payload - from.payload) / seconds,
    );
    let cpu = (to.cpu - from.cpu).as_secs_f64() / nodes / seconds;
    add("processor time of a node", "% of a core", cpu * 100.0);
    add(
        "memory of a node, mean",
        "MiB",
        to.rss_kib as f64 / 1024.0 / nodes,
    );
    add(
        "memory of a node, greatest",
        "MiB",
        to.most_kib as f64 / 1024.0,
    );
}

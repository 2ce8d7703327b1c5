//! Failures and overload, and idempotency keys that are repeated through several nodes.

use std::time::{Duration, Instant};

use serde_json::json;
use swiftcart_standin::{BackendFaults, Load, Report, Restart, Shape};
use tokio::task::JoinHandle;
use tokio::time::sleep;

use super::audit;
use super::calls::{KEYED_MS, load, mixed, shape, targets};
use super::figures::Figures;
use crate::fleet::Fleet;
use crate::{Error, Kind, Mesh};

/// Longest time in which a draining backend server may still get new requests.
const DRAIN_LIMIT: Duration = Duration::from_secs(5);

/// Calls per second and duration of the load under failures.
const RATE: f64 = 250.0;
const DURATION_MS: u64 = 14_000;

/// Overload as a multiple of the capacity of the slots, its duration, and the deadline of its
/// calls.
const OVERLOAD_FACTOR: f64 = 1.5;
const OVERLOAD_MS: u64 = 3000;
const DEADLINE_MS: u64 = 500;

/// Interval between two failures, and the longest time to detect a restart.
const FAILURE_INTERVAL: Duration = Duration::from_secs(3);

/// Sends every key concurrently through three nodes.
pub(super) async fn repeated_keys(
    mesh: &Mesh,
    fleet: &Fleet,
    figures: &mut Figures,
) -> Result<(), Error> {
    let reports = send_repeated_keys(mesh, fleet, &fleet.running(), 40.0, 5000, 0x03).await?;
    for (i, report) in reports.iter().enumerate() {
        figures.calls(
            &format!(
                "calls with the same keys, in rotation {} of the nodes",
                i + 1
            ),
            report,
        );
    }
    let ledger = audit::ledger(fleet).await?;
    audit::check_keys(figures, &ledger);
    let first = &reports[0].told;
    let settled = first.iter().filter(|told| {
        let same = |report: &Report| {
            report
                .told
                .iter()
                .any(|t| t.key == told.key && t.verdict == "good")
        };
        reports.iter().any(same)
    });
    let settled = settled.count();
    figures.guarantee(
        "every repeated key gets a valid response through at least one node",
        format!("{settled} of {}", first.len()),
        settled == first.len(),
    );
    Ok(())
}

/// Sends requests without keys above the capacity of the backend servers, and checks that refused
/// requests were not executed.
pub(super) async fn overload(
    mesh: &Mesh,
    fleet: &Fleet,
    figures: &mut Figures,
) -> Result<(), Error> {
    let work = mesh.service(Kind::Keyed);
    let capacity = f64::from(mesh.slots) * work.backends as f64 * 1000.0 / KEYED_MS;
    let load = load(
        targets(fleet, &fleet.running()),
        OVERLOAD_FACTOR * capacity,
        OVERLOAD_MS,
        0x09,
    )
    .with_deadline_ms(DEADLINE_MS)
    .with_shape(Shape::post(work.prefix), 1);
    let report = load.run().await?;
    let ledger = audit::ledger(fleet).await?;
    figures.calls(
        &format!("calls without keys at {OVERLOAD_FACTOR} times the capacity"),
        &report,
    );
    figures.figure(
        "valid responses per second, and the capacity",
        format!("{:.0} of {capacity:.0}", report.goodput),
    );
    audit::check(figures, &[&report], &ledger);
    audit::check_once(figures, &report, &ledger);
    let refused = report.outcomes.get("not-run").copied().unwrap_or(0);
    figures.guarantee(
        "excess requests are refused instead of waiting",
        format!("{refused} reported as not-run"),
        refused > 0,
    );
    Ok(())
}

/// Crashes, kills and drains nodes and backend servers under load.
pub(super) async fn inject(
    mesh: &Mesh,
    fleet: &mut Fleet,
    figures: &mut Figures,
) -> Result<(), Error> {
    let killed_instance = mesh.indices(Kind::Read)[0];
    let killed_node = mesh.indices(Kind::Keyed)[0];
    let drained = mesh.indices(Kind::Read)[1];
    let mut remaining = fleet.running();
    remaining.retain(|i| ![killed_instance, killed_node].contains(i));

    let mixed_calls = start(mixed(
        mesh,
        targets(fleet, &remaining),
        RATE,
        DURATION_MS,
        0x04,
    ));
    let keyed_calls = load(targets(fleet, &remaining), 30.0, DURATION_MS, 0x05)
        .with_shape(shape(mesh, Kind::Keyed), 1)
        .with_retries(4);
    let keyed_calls = start(keyed_calls);

    sleep(FAILURE_INTERVAL).await;
    let crashed = mesh.indices(Kind::Keyed)[1];
    crash_and_restart(fleet, crashed, figures).await?;
    fleet.kill(killed_instance);
    figures.figure(
        "killed with SIGKILL",
        format!(
            "node and backend server {}",
            fleet.instances[killed_instance].name
        ),
    );
    sleep(FAILURE_INTERVAL).await;
    if let Some(mut child) = fleet.instances[killed_node].node.take() {
        child.kill();
    }
    figures.figure(
        "killed with SIGKILL",
        format!(
            "node {}, while its backend server keeps running",
            fleet.instances[killed_node].name
        ),
    );
    sleep(FAILURE_INTERVAL).await;
    let backend = fleet.instances[drained].addrs.backend;
    let faults = json!({ "readiness": "draining" });
    fleet
        .client
        .put(backend, "/standin/faults", &faults)
        .await?;
    let (mixed_calls, keyed_calls) = (join(mixed_calls).await?, join(keyed_calls).await?);

    figures.calls("calls under failures, without retries", &mixed_calls);
    figures.calls(
        "calls with a key under failures, with retries",
        &keyed_calls,
    );
    let stats = audit::stats(fleet, drained).await?;
    let last = Duration::from_millis(stats.drain_last_ms);
    figures.guarantee(
        format!("a draining backend server gets no new requests after {DRAIN_LIMIT:?}"),
        format!(
            "last new request {} ms after the start of the drain, {} in total",
            stats.drain_last_ms, stats.drain_starts
        ),
        last <= DRAIN_LIMIT,
    );
    let ledger = audit::ledger(fleet).await?;
    audit::check(figures, &[&mixed_calls, &keyed_calls], &ledger);
    audit::check_keys(figures, &ledger);
    figures.figure("not counted", "executions on the killed backend server");
    let none = json!({});
    fleet.client.put(backend, "/standin/faults", &none).await
}

/// Crashes a backend server during execution and restarts it under the same id.
///
/// Checks that its node detects the restart.
async fn crash_and_restart(fleet: &Fleet, i: usize, figures: &mut Figures) -> Result<(), Error> {
    let backend = fleet.instances[i].addrs.backend;
    let faults = BackendFaults::new().with_restart(Restart::Later);
    let put = |faults: BackendFaults| {
        let faults = json!(faults);
        async move { fleet.client.put(backend, "/standin/faults", &faults).await }
    };
    put(faults).await?;
    let start = Instant::now();
    let labels = [("outcome", "restarted")];
    let name = "swiftcart_announcements_total";
    while fleet.scrape(i).await?.sum(name, &labels) < 1.0 && start.elapsed() < FAILURE_INTERVAL {
        sleep(Duration::from_millis(5)).await;
    }
    let took = start.elapsed();
    figures.guarantee(
        "a restart of a backend server under the same id is detected immediately",
        format!("{} ms after the restart was requested", took.as_millis()),
        took < FAILURE_INTERVAL,
    );
    put(BackendFaults::new()).await
}

/// Restarts the killed nodes and backend servers.
pub(super) async fn restart_killed(
    mesh: &Mesh,
    fleet: &mut Fleet,
    figures: &mut Figures,
) -> Result<(), Error> {
    let indices = [mesh.indices(Kind::Read)[0], mesh.indices(Kind::Keyed)[0]];
    for i in indices {
        if fleet.instances[i].node.is_none() {
            fleet.start_node(i)?;
        }
        if fleet.instances[i].backend.is_none() {
            fleet.start_backend(i)?;
        }
    }
    let time = fleet.wait_ready(Duration::from_secs(20)).await?;
    figures.figure(
        "killed nodes ready again after",
        format!("{} ms", time.as_millis()),
    );
    Ok(())
}

/// Sends the same keys concurrently through three rotations of the nodes.
async fn send_repeated_keys(
    mesh: &Mesh,
    fleet: &Fleet,
    indices: &[usize],
    rate: f64,
    ms: u64,
    seed: u64,
) -> Result<Vec<Report>, Error> {
    let rotated = |by: usize| {
        let mut indices = indices.to_vec();
        indices.rotate_left(by);
        // The same seed produces the same keys at the same times.
        let load = load(targets(fleet, &indices), rate, ms, seed);
        start(load.with_shape(shape(mesh, Kind::Keyed), 1).with_retries(6))
    };
    let mut reports = Vec::new();
    for run in [0, 1, 4].map(rotated) {
        reports.push(join(run).await?);
    }
    Ok(reports)
}

/// Task of a load that runs in the background.
pub(crate) type Run = JoinHandle<Result<Report, swiftcart_standin::Error>>;

/// Starts `load` in a background task.
pub(crate) fn start(load: Load) -> Run {
    tokio::spawn(load.run())
}

/// Waits for the end of a load and returns its report.
pub(crate) async fn join(run: Run) -> Result<Report, Error> {
    let result = run.await;
    Ok(result.map_err(|e| Error::Program("load".to_owned(), e.into()))??)
}

//! Failures under load: kills, a drain, and keys that are sent again through other nodes.

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

/// Longest time in which a backend server that drains may still get new work.
const DRAIN: Duration = Duration::from_secs(5);

/// Calls a second and the length of the load under failures.
const RATE: f64 = 250.0;
const SPAN_MS: u64 = 14_000;

/// The overload as a multiple of what the slots can do, its length, and the time that
/// callers give.
const OVERLOAD: f64 = 1.5;
const OVERLOAD_MS: u64 = 3000;
const DEADLINE_MS: u64 = 500;

/// Pause between two failures.
const PAUSE: Duration = Duration::from_secs(3);

/// Sends every key through three nodes at the same time.
pub(super) async fn keys(mesh: &Mesh, fleet: &Fleet, figures: &mut Figures) -> Result<(), Error> {
    let reports = repeated(mesh, fleet, &fleet.running(), 40.0, 5000, 0x03).await?;
    for (i, report) in reports.iter().enumerate() {
        figures.calls(
            &format!("the same keys, through other nodes ({})", i + 1),
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
        "every key that is sent again gets a good answer through some node",
        format!("{settled} of {}", first.len()),
        settled == first.len(),
    );
    Ok(())
}

/// Asks for more work than the backend servers can do, without keys, and checks that the
/// refusals are true.
pub(super) async fn overload(
    mesh: &Mesh,
    fleet: &Fleet,
    figures: &mut Figures,
) -> Result<(), Error> {
    let work = mesh.service(Kind::Keyed);
    let capacity = f64::from(mesh.slots) * work.backends as f64 * 1000.0 / KEYED_MS;
    let load = load(
        targets(fleet, &fleet.running()),
        OVERLOAD * capacity,
        OVERLOAD_MS,
        0x09,
    )
    .with_deadline_ms(DEADLINE_MS)
    .with_shape(Shape::post(work.prefix), 1);
    let report = load.run().await?;
    let ledger = audit::ledger(fleet).await?;
    figures.calls(
        &format!("work without keys at {OVERLOAD} times the capacity"),
        &report,
    );
    figures.figure(
        "good answers a second, and the capacity",
        format!("{:.0} of {capacity:.0}", report.goodput),
    );
    audit::check(figures, &[&report], &ledger);
    audit::check_once(figures, &report, &ledger);
    let told = report.outcomes.get("not-run").copied().unwrap_or(0);
    figures.guarantee(
        "too much work is refused, not left to wait",
        format!("{told} told not-run"),
        told > 0,
    );
    Ok(())
}

/// Kills, drains and kills again while callers call.
pub(super) async fn failures(
    mesh: &Mesh,
    fleet: &mut Fleet,
    figures: &mut Figures,
) -> Result<(), Error> {
    let whole = mesh.numbers(Kind::Read)[0];
    let node = mesh.numbers(Kind::Keyed)[0];
    let drained = mesh.numbers(Kind::Read)[1];
    let mut left = fleet.running();
    left.retain(|i| ![whole, node].contains(i));

    let single = start(mixed(mesh, targets(fleet, &left), RATE, SPAN_MS, 0x04));
    let keyed = load(targets(fleet, &left), 30.0, SPAN_MS, 0x05)
        .with_shape(shape(mesh, Kind::Keyed), 1)
        .with_retries(4);
    let keyed = start(keyed);

    sleep(PAUSE).await;
    let again = mesh.numbers(Kind::Keyed)[1];
    start_again(fleet, again, figures).await?;
    fleet.kill(whole);
    figures.figure(
        "killed with SIGKILL",
        format!("node and backend server {}", fleet.instances[whole].name),
    );
    sleep(PAUSE).await;
    if let Some(mut child) = fleet.instances[node].node.take() {
        child.kill();
    }
    figures.figure(
        "killed with SIGKILL",
        format!(
            "node {}, its backend server lives",
            fleet.instances[node].name
        ),
    );
    sleep(PAUSE).await;
    let backend = fleet.instances[drained].addrs.backend;
    let faults = json!({ "readiness": "draining" });
    fleet
        .client
        .put(backend, "/standin/faults", &faults)
        .await?;
    let (single, keyed) = (join(single).await?, join(keyed).await?);

    figures.calls("calls under failures, never sent again", &single);
    figures.calls("keyed calls under failures, sent again", &keyed);
    let stats = audit::stats(fleet, drained).await?;
    let last = Duration::from_millis(stats.drain_last_ms);
    figures.guarantee(
        format!("a backend server that drains gets no new work after {DRAIN:?}"),
        format!(
            "last new work {} ms after the drain, {} in all",
            stats.drain_last_ms, stats.drain_starts
        ),
        last <= DRAIN,
    );
    let ledger = audit::ledger(fleet).await?;
    audit::check(figures, &[&single, &keyed], &ledger);
    audit::check_keys(figures, &ledger);
    figures.figure(
        "not counted",
        "executions at the backend server that was killed",
    );
    let none = json!({});
    fleet.client.put(backend, "/standin/faults", &none).await
}

/// Has a backend server crash with what it is running and start again under its id.
async fn start_again(fleet: &Fleet, i: usize, figures: &mut Figures) -> Result<(), Error> {
    let backend = fleet.instances[i].addrs.backend;
    let faults = BackendFaults::new().with_restart(Restart::Later);
    let put = |faults: BackendFaults| {
        let faults = json!(faults);
        async move { fleet.client.put(backend, "/standin/faults", &faults).await }
    };
    put(faults).await?;
    let start = Instant::now();
    let heard = [("outcome", "restarted")];
    let name = "swiftcart_announcements_total";
    while fleet.scrape(i).await?.sum(name, &heard) < 1.0 && start.elapsed() < PAUSE {
        sleep(Duration::from_millis(5)).await;
    }
    let took = start.elapsed();
    figures.guarantee(
        "a backend server that starts again under its id is known for a new one at once",
        format!("{} ms after its start", took.as_millis()),
        took < PAUSE,
    );
    put(BackendFaults::new()).await
}

/// Brings back what was killed.
pub(super) async fn recover(
    mesh: &Mesh,
    fleet: &mut Fleet,
    figures: &mut Figures,
) -> Result<(), Error> {
    let numbers = [mesh.numbers(Kind::Read)[0], mesh.numbers(Kind::Keyed)[0]];
    for i in numbers {
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

/// Sends the same keys through three rotations of the nodes.
async fn repeated(
    mesh: &Mesh,
    fleet: &Fleet,
    numbers: &[usize],
    rate: f64,
    ms: u64,
    seed: u64,
) -> Result<Vec<Report>, Error> {
    let rotated = |by: usize| {
        let mut numbers = numbers.to_vec();
        numbers.rotate_left(by);
        // The same seed gives the same keys at the same times.
        let load = load(targets(fleet, &numbers), rate, ms, seed);
        start(load.with_shape(shape(mesh, Kind::Keyed), 1).with_retries(6))
    };
    let mut reports = Vec::new();
    for run in [0, 1, 4].map(rotated) {
        reports.push(join(run).await?);
    }
    Ok(reports)
}

pub(crate) type Run = JoinHandle<Result<Report, swiftcart_standin::Error>>;

pub(crate) fn start(load: Load) -> Run {
    tokio::spawn(load.run())
}

pub(crate) async fn join(run: Run) -> Result<Report, Error> {
    let ended = run.await;
    Ok(ended.map_err(|e| Error::Program("load".to_owned(), e.into()))??)
}

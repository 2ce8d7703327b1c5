//! Demo of a complete mesh on one system: separate processes, a published table, load and failures.

mod added;
pub(crate) mod audit;
pub(crate) mod calls;
pub(crate) mod failures;
pub(crate) mod figures;
pub(crate) mod publishing;
mod restart;
mod tool;

use std::time::{Duration, Instant};

use getopts::Options;
use serde_json::json;

use crate::fleet::Fleet;
use crate::{Error, Kind, Mesh, Verdict};
use figures::{Figures, seconds};

/// Longest time until the mesh is ready.
const START_TIMEOUT: Duration = Duration::from_secs(30);

/// Runs the demo on the mesh that `args` select and prints a report.
pub(crate) async fn run(args: Vec<String>) -> Result<Verdict, Error> {
    let Some(mesh) = parse_args(&args)? else {
        return Ok(Verdict::Passed);
    };
    let start = Instant::now();
    let mut figures = Figures::default();
    let result = run_sections(&mesh, &mut figures).await;
    println!(
        "\nDemo report for mesh {}: {}{figures}",
        mesh.name,
        seconds(start.elapsed())
    );
    result?;
    for guarantee in figures.broken() {
        println!("guarantee violated: {guarantee}");
    }
    Ok(figures.verdict())
}

async fn run_sections(mesh: &Mesh, figures: &mut Figures) -> Result<(), Error> {
    figures.section("Start");
    let start = Instant::now();
    let name = format!("demo-{}", mesh.name);
    let mut fleet = Fleet::start(&name, &json!({}), calls::roles(mesh), json!({})).await?;
    println!("    settings and logs: {}", fleet.dir().display());
    fleet.wait_ready(START_TIMEOUT).await?;
    figures.figure(
        "number of nodes, each with a backend server",
        mesh.instances().to_string(),
    );
    figures.figure("time until all nodes were ready", seconds(start.elapsed()));

    figures.section("Publish");
    publishing::first(mesh, &mut fleet, figures).await?;
    for kind in [Kind::Read, Kind::Keyed, Kind::Upload] {
        fleet
            .wait_served(mesh.service(kind).prefix, START_TIMEOUT)
            .await?;
    }

    figures.section("Calls of every kind without failures");
    steady_state(mesh, &fleet, figures).await?;

    figures.section("New weights under load");
    publishing::change_weights(mesh, &mut fleet, figures).await?;
    publishing::conflict(mesh, &mut fleet, figures).await?;

    figures.section("Idempotency keys repeated through other nodes");
    failures::repeated_keys(mesh, &fleet, figures).await?;

    figures.section("Overload");
    failures::overload(mesh, &fleet, figures).await?;

    figures.section("Failures under load");
    failures::inject(mesh, &mut fleet, figures).await?;
    failures::restart_killed(mesh, &mut fleet, figures).await?;

    figures.section("Graceful restart under load");
    restart::graceful_restart(mesh, &mut fleet, figures).await?;

    drop(fleet);

    figures.section("Added latency");
    added::added_latency(figures).await
}

/// Measures calls of every kind while no failure is injected.
async fn steady_state(mesh: &Mesh, fleet: &Fleet, figures: &mut Figures) -> Result<(), Error> {
    let all = calls::targets(fleet, &fleet.running());
    for (kind, rate, seed) in [
        (Kind::Read, 300.0, 0x11),
        (Kind::Keyed, 40.0, 0x12),
        (Kind::Upload, 10.0, 0x13),
    ] {
        let load = calls::load(all.clone(), rate, 3000, seed);
        let report = load.with_shape(calls::shape(mesh, kind), 1).run().await?;
        let service = mesh.service(kind).name;
        figures.calls(&format!("calls of {service}"), &report);
        audit::check_all_good(
            figures,
            &format!("all calls of {service} get valid responses"),
            &report,
        );
        audit::check(figures, &[&report], &audit::ledger(fleet).await?);
    }
    Ok(())
}

fn parse_args(args: &[String]) -> Result<Option<Mesh>, Error> {
    let mut options = Options::new();
    options
        .optopt("", "mesh", "mesh to run: lima (default) or bogota", "NAME")
        .optflag("h", "help", "print this text");
    let matches = options
        .parse(args)
        .map_err(|e| Error::Usage(e.to_string()))?;
    if matches.opt_present("help") {
        println!("{}", options.usage("Usage: cargo xtask demo [--mesh NAME]"));
        return Ok(None);
    }
    match (&matches.free[..], matches.opt_str("mesh")) {
        ([], None) => Ok(Some(Mesh::LIMA)),
        ([], Some(name)) => name.parse().map(Some),
        ([word, ..], _) => Err(Error::Usage(word.clone())),
    }
}

//! A whole mesh on this machine: real processes, a real table, load and failures.

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

/// Longest time for the mesh to start.
const START: Duration = Duration::from_secs(30);

/// Runs the demo on the mesh that `args` name and prints its report.
pub(crate) async fn run(args: Vec<String>) -> Result<Verdict, Error> {
    let Some(mesh) = mesh(&args)? else {
        return Ok(Verdict::Passed);
    };
    let start = Instant::now();
    let mut figures = Figures::default();
    let ended = show(&mesh, &mut figures).await;
    println!(
        "\nReport of the demo, mesh {}: {}{figures}",
        mesh.name,
        seconds(start.elapsed())
    );
    ended?;
    for guarantee in figures.broken() {
        println!("a promise broke: {guarantee}");
    }
    Ok(figures.verdict())
}

async fn show(mesh: &Mesh, figures: &mut Figures) -> Result<(), Error> {
    figures.section("Start");
    let start = Instant::now();
    let name = format!("demo-{}", mesh.name);
    let mut fleet = Fleet::start(&name, &json!({}), calls::roles(mesh), json!({})).await?;
    println!("    settings and logs: {}", fleet.dir().display());
    fleet.wait_ready(START).await?;
    figures.figure("nodes and backend servers", mesh.instances().to_string());
    figures.figure("time until all nodes were ready", seconds(start.elapsed()));

    figures.section("Publish");
    publishing::first(mesh, &mut fleet, figures).await?;
    for kind in [Kind::Read, Kind::Keyed, Kind::Upload] {
        fleet.wait_served(mesh.service(kind).prefix, START).await?;
    }

    figures.section("Calls of every kind");
    calm(mesh, &fleet, figures).await?;

    figures.section("New weights under load");
    publishing::weights(mesh, &mut fleet, figures).await?;
    publishing::race(mesh, &mut fleet, figures).await?;

    figures.section("Keys sent again through other nodes");
    failures::keys(mesh, &fleet, figures).await?;

    figures.section("Too much work");
    failures::overload(mesh, &fleet, figures).await?;

    figures.section("Failures under load");
    failures::failures(mesh, &mut fleet, figures).await?;
    failures::recover(mesh, &mut fleet, figures).await?;

    figures.section("Planned stop under load");
    restart::restart(mesh, &mut fleet, figures).await?;

    drop(fleet);

    figures.section("Added latency");
    added::latency(figures).await
}

/// Calls of every kind while nothing fails.
async fn calm(mesh: &Mesh, fleet: &Fleet, figures: &mut Figures) -> Result<(), Error> {
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
            &format!("calls of {service} get good answers"),
            &report,
        );
        audit::check(figures, &[&report], &audit::ledger(fleet).await?);
    }
    Ok(())
}

fn mesh(args: &[String]) -> Result<Option<Mesh>, Error> {
    let mut options = Options::new();
    options
        .optopt(
            "",
            "mesh",
            "the mesh to run: lima (default) or bogota",
            "NAME",
        )
        .optflag("h", "help", "print this text");
    let found = options
        .parse(args)
        .map_err(|e| Error::Usage(e.to_string()))?;
    if found.opt_present("help") {
        println!("{}", options.usage("Usage: cargo xtask demo [--mesh NAME]"));
        return Ok(None);
    }
    match (&found.free[..], found.opt_str("mesh")) {
        ([], None) => Ok(Some(Mesh::LIMA)),
        ([], Some(name)) => name.parse().map(Some),
        ([word, ..], _) => Err(Error::Usage(word.clone())),
    }
}

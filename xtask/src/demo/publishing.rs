//! Publishing under load: the first table, a weight change and two conflicting publishes.

use std::fs;
use std::path::Path;
use std::time::Duration;

use swiftcart_core::{Offset, Version};
use swiftcart_platform::Platform;

use super::audit;
use super::calls::{mixed, targets};
use super::figures::{Figures, seconds};
use super::tool::{Publish, Tool, example_table};
use crate::fleet::Fleet;
use crate::{Error, Kind, Mesh};

/// Longest time until an accepted version is in force on every node.
const CONVERGENCE_LIMIT: Duration = Duration::from_secs(5);

/// Share of the reads that the changed weights give to the next release, and the maximum
/// deviation of the measured share.
const NEXT_SHARE: f64 = 0.25;
const TOLERANCE: f64 = 0.06;

/// Calls per second and duration of the load during the weight change.
///
/// Both set the minimum number of reads that the share is measured over.
const RATE: f64 = 300.0;
const DURATION_MS: u64 = 8000;

/// Publishes the table of the mesh through the operators' tool.
pub(crate) async fn first(
    mesh: &Mesh,
    fleet: &mut Fleet,
    figures: &mut Figures,
) -> Result<(), Error> {
    let tool = Tool::new(fleet);
    let sheet = example_table(mesh.name);
    tool.check(&sheet).await?;
    let version = accepted(tool.publish(&sheet, "first").await?)?;
    check_convergence(fleet, figures, "the first table", version).await
}

/// Changes weights under load and measures the resulting shares of the reads.
pub(crate) async fn change_weights(
    mesh: &Mesh,
    fleet: &mut Fleet,
    figures: &mut Figures,
) -> Result<(), Error> {
    let tool = Tool::new(fleet);
    let sheet = fleet.dir().join("weights.csv");
    let all = targets(fleet, &fleet.running());
    let calls = tokio::spawn(mixed(mesh, all, RATE, DURATION_MS, 0x02).run());
    tool.pull(&sheet).await?;
    let (old, new) = (mesh.service(Kind::Read), mesh.service(Kind::Next));
    set_weight(&sheet, old.name, "75")?;
    set_weight(&sheet, new.name, "25")?;
    let version = accepted(tool.publish(&sheet, "weights").await?)?;
    check_convergence(fleet, figures, "new weights under load", version).await?;
    let before = count_reads(mesh, fleet).await?;
    let report = calls
        .await
        .map_err(|e| Error::Program("load".to_owned(), e.into()))??;
    let after = count_reads(mesh, fleet).await?;
    let (old, new) = (after.0 - before.0, after.1 - before.1);
    let share = new as f64 / (old + new).max(1) as f64;
    figures.calls("calls during the change", &report);
    audit::check_all_good(figures, "a weight change causes no failed calls", &report);
    figures.guarantee(
        format!("the next release gets its share of {NEXT_SHARE} of the reads"),
        format!("{share:.3} of {} reads", old + new),
        (share - NEXT_SHARE).abs() < TOLERANCE,
    );
    Ok(())
}

/// Publishes two sheets concurrently that change the same row of the same base version.
pub(crate) async fn conflict(
    mesh: &Mesh,
    fleet: &mut Fleet,
    figures: &mut Figures,
) -> Result<(), Error> {
    let tool = Tool::new(fleet);
    let (one, two) = (fleet.dir().join("one.csv"), fleet.dir().join("two.csv"));
    let row = mesh.service(Kind::Next).name;
    for (sheet, weight) in [(&one, "30"), (&two, "40")] {
        tool.pull(sheet).await?;
        set_weight(sheet, row, weight)?;
    }
    let (one, two) = tokio::join!(tool.publish(&one, "one"), tool.publish(&two, "two"));
    let results = [one?, two?];
    let accepted = results
        .iter()
        .filter(|e| matches!(e, Publish::Accepted(_)))
        .count();
    let named = results.iter().find_map(|e| match e {
        Publish::Rejected(text) => Some(text.contains(row)),
        Publish::Accepted(_) => None,
    });
    figures.guarantee(
        "one of two conflicting publishes is accepted, the other is rejected and names the row",
        format!("{accepted} accepted, row named: {}", named.unwrap_or(false)),
        accepted == 1 && named == Some(true),
    );
    Ok(())
}

fn accepted(publish: Publish) -> Result<Version, Error> {
    match publish {
        Publish::Accepted(version) => Ok(version),
        Publish::Rejected(text) => Err(Error::Tool("swiftcart table publish".to_owned(), text)),
    }
}

/// Measures the time from the append of a version to the log until the version is in force on the
/// last node.
async fn check_convergence(
    fleet: &mut Fleet,
    figures: &mut Figures,
    what: &str,
    version: Version,
) -> Result<(), Error> {
    fleet.wait_version(version, CONVERGENCE_LIMIT * 4).await?;
    let platform = Platform::new(fleet.platform);
    let offset = Offset(version.0 - 1);
    let page = platform.read("config", offset, 1, Duration::ZERO).await;
    let failed = |cause: String| Error::Http(fleet.platform, "config".to_owned(), cause);
    let page = page.map_err(|e| failed(e.to_string()))?;
    let at = page.entries.first().map_or(0, |entry| entry.at_ms);
    let last = fleet.wait_applied(version, CONVERGENCE_LIMIT).await?;
    let last = last.saturating_sub(at);
    let time = Duration::from_millis(last);
    figures.guarantee(
        format!(
            "{what} is in force on every node within {}",
            seconds(CONVERGENCE_LIMIT)
        ),
        format!(
            "{last} ms after acceptance on {} nodes",
            fleet.running().len()
        ),
        time <= CONVERGENCE_LIMIT,
    );
    Ok(())
}

/// Returns the number of reads executed by the current and by the next release.
async fn count_reads(mesh: &Mesh, fleet: &Fleet) -> Result<(u64, u64), Error> {
    let mut sums = [0, 0];
    for (sum, kind) in sums.iter_mut().zip([Kind::Read, Kind::Next]) {
        for i in mesh.indices(kind) {
            if fleet.instances[i].backend.is_some() {
                *sum += audit::stats(fleet, i).await?.runs.started;
            }
        }
    }
    Ok((sums[0], sums[1]))
}

/// Sets the weight of the route to `service` in the CSV file `sheet`.
fn set_weight(sheet: &Path, service: &str, weight: &str) -> Result<(), Error> {
    let failed = |e| Error::File(sheet.to_owned(), e);
    let text = fs::read_to_string(sheet).map_err(failed)?;
    let change = |line: &str| {
        let mut cells: Vec<_> = line.split(',').collect();
        if cells[..].first() == Some(&"route") && cells.get(1) == Some(&service) {
            cells[3] = weight;
        }
        cells.join(",") + "\n"
    };
    let text: String = text.lines().map(change).collect();
    fs::write(sheet, text).map_err(failed)
}

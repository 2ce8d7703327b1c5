//! Publishing under load: the first table, a change of weights, two operators at once.

use std::fs;
use std::path::Path;
use std::time::Duration;

use swiftcart_core::{Offset, Version};
use swiftcart_platform::Platform;

use super::audit;
use super::calls::{mixed, targets};
use super::figures::{Figures, seconds};
use super::tool::{Publish, Tool, example};
use crate::fleet::Fleet;
use crate::{Error, Kind, Mesh};

/// Longest time for an accepted version to be in force on every node.
const CONVERGENCE: Duration = Duration::from_secs(5);

/// The share that the changed weights give to the next release, and how far off a
/// measured share may be.
const SHARE: f64 = 0.25;
const TOLERANCE: f64 = 0.06;

/// Reads that a share is measured over, at least.
const RATE: f64 = 300.0;
const CHANGE_MS: u64 = 8000;

/// Publishes the mesh's table through the operators' tool.
pub(crate) async fn first(
    mesh: &Mesh,
    fleet: &mut Fleet,
    figures: &mut Figures,
) -> Result<(), Error> {
    let tool = Tool::new(fleet);
    let sheet = example(mesh.name);
    tool.check(&sheet).await?;
    let version = accepted(tool.publish(&sheet, "first").await?)?;
    converged(fleet, figures, "the first table", version).await
}

/// Changes weights while callers call, and measures the shares afterwards.
pub(crate) async fn weights(
    mesh: &Mesh,
    fleet: &mut Fleet,
    figures: &mut Figures,
) -> Result<(), Error> {
    let tool = Tool::new(fleet);
    let sheet = fleet.dir().join("weights.csv");
    let all = targets(fleet, &fleet.running());
    let calls = tokio::spawn(mixed(mesh, all, RATE, CHANGE_MS, 0x02).run());
    tool.pull(&sheet).await?;
    let (old, new) = (mesh.service(Kind::Read), mesh.service(Kind::Next));
    edit(&sheet, old.name, "75")?;
    edit(&sheet, new.name, "25")?;
    let version = accepted(tool.publish(&sheet, "weights").await?)?;
    converged(fleet, figures, "new weights under load", version).await?;
    let before = reads(mesh, fleet).await?;
    let report = calls
        .await
        .map_err(|e| Error::Program("load".to_owned(), e.into()))??;
    let after = reads(mesh, fleet).await?;
    let (old, new) = (after.0 - before.0, after.1 - before.1);
    let share = new as f64 / (old + new).max(1) as f64;
    figures.calls("calls during the change", &report);
    audit::check_all_good(figures, "a change of weights loses no call", &report);
    figures.guarantee(
        format!("the next release gets its share of {SHARE}"),
        format!("{share:.3} of {} reads", old + new),
        (share - SHARE).abs() < TOLERANCE,
    );
    Ok(())
}

/// Publishes two sheets that were made from the same version and change the same row.
pub(crate) async fn race(
    mesh: &Mesh,
    fleet: &mut Fleet,
    figures: &mut Figures,
) -> Result<(), Error> {
    let tool = Tool::new(fleet);
    let (one, two) = (fleet.dir().join("one.csv"), fleet.dir().join("two.csv"));
    let row = mesh.service(Kind::Next).name;
    for (sheet, weight) in [(&one, "30"), (&two, "40")] {
        tool.pull(sheet).await?;
        edit(sheet, row, weight)?;
    }
    let (one, two) = tokio::join!(tool.publish(&one, "one"), tool.publish(&two, "two"));
    let ended = [one?, two?];
    let accepted = ended
        .iter()
        .filter(|e| matches!(e, Publish::Accepted(_)))
        .count();
    let told = ended.iter().find_map(|e| match e {
        Publish::Rejected(text) => Some(text.contains(row)),
        Publish::Accepted(_) => None,
    });
    figures.guarantee(
        "of two operators who edit the same row, one is accepted and the other is told the row",
        format!("{accepted} accepted, row told: {}", told.unwrap_or(false)),
        accepted == 1 && told == Some(true),
    );
    Ok(())
}

fn accepted(publish: Publish) -> Result<Version, Error> {
    match publish {
        Publish::Accepted(version) => Ok(version),
        Publish::Rejected(text) => Err(Error::Tool("swiftcart table publish".to_owned(), text)),
    }
}

/// Adds the time from the log's append to the last node that has the version in force.
async fn converged(
    fleet: &mut Fleet,
    figures: &mut Figures,
    what: &str,
    version: Version,
) -> Result<(), Error> {
    fleet.wait_version(version, CONVERGENCE * 4).await?;
    let platform = Platform::new(fleet.platform);
    let offset = Offset(version.0 - 1);
    let page = platform.read("config", offset, 1, Duration::ZERO).await;
    let failed = |cause: String| Error::Http(fleet.platform, "config".to_owned(), cause);
    let page = page.map_err(|e| failed(e.to_string()))?;
    let at = page.entries.first().map_or(0, |entry| entry.at_ms);
    let last = fleet.applied(version, CONVERGENCE).await?;
    let last = last.saturating_sub(at);
    let time = Duration::from_millis(last);
    figures.guarantee(
        format!(
            "{what} is in force on every node within {}",
            seconds(CONVERGENCE)
        ),
        format!(
            "{last} ms after acceptance on {} nodes",
            fleet.running().len()
        ),
        time <= CONVERGENCE,
    );
    Ok(())
}

/// Returns the executions of reads by the present and by the next release.
async fn reads(mesh: &Mesh, fleet: &Fleet) -> Result<(u64, u64), Error> {
    let mut sums = [0, 0];
    for (sum, kind) in sums.iter_mut().zip([Kind::Read, Kind::Next]) {
        for i in mesh.numbers(kind) {
            if fleet.instances[i].backend.is_some() {
                *sum += audit::stats(fleet, i).await?.runs.started;
            }
        }
    }
    Ok((sums[0], sums[1]))
}

/// Sets the weight of the route to `service`, as an operator would in a spreadsheet.
fn edit(sheet: &Path, service: &str, weight: &str) -> Result<(), Error> {
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

//! A planned stop under load, with uploads in flight.

use std::time::{Duration, Instant};

use serde_json::json;
use tokio::time::sleep;

use super::audit;
use super::calls::{load, mixed, shape, targets};
use super::figures::{Figures, seconds};
use crate::fleet::Fleet;
use crate::{Error, Kind, Mesh};

/// Uploads in flight through the node that stops.
const UPLOADS: u64 = 12;

/// The time within which they are sent, in milliseconds.
const BURST_MS: u64 = 96;

/// How long each of them is worked on, in milliseconds.
const SLOW_MS: u64 = 1500;

const LIMIT: Duration = Duration::from_secs(15);

/// Stops a node gracefully and starts it again, while callers call.
pub(super) async fn restart(
    mesh: &Mesh,
    fleet: &mut Fleet,
    figures: &mut Figures,
) -> Result<(), Error> {
    let uploads = mesh.numbers(Kind::Upload);
    let stopped = uploads[0];
    let before = fleet.state(stopped).await?.version;
    slow(fleet, &uploads, SLOW_MS).await?;
    let mut others = fleet.running();
    others.retain(|&i| i != stopped);
    let rate = 1000.0 * UPLOADS as f64 / BURST_MS as f64;
    let burst = load(targets(fleet, &[stopped]), rate, BURST_MS, 0x07)
        .with_poisson(false)
        .with_shape(shape(mesh, Kind::Upload), 1);
    let burst = tokio::spawn(burst.run());
    // Nothing else calls yet, so that what is in work came through this node.
    let held = in_flight(fleet, &uploads).await?;
    let around = tokio::spawn(mixed(mesh, targets(fleet, &others), 150.0, 9000, 0x06).run());

    let start = Instant::now();
    stop(fleet, stopped).await?;
    let took = start.elapsed();
    slow(fleet, &uploads, 0).await?;
    fleet.start_node(stopped)?;
    let ready = fleet.wait_ready(LIMIT).await?;
    let after = fleet.state(stopped).await?.version;
    let failed = |e: tokio::task::JoinError| Error::Program("load".to_owned(), e.into());
    let (burst, around) = (
        burst.await.map_err(failed)??,
        around.await.map_err(failed)??,
    );

    figures.figure(
        "uploads in flight when the node was asked to stop",
        held.to_string(),
    );
    figures.figure("time to stop", seconds(took));
    figures.figure("time to be ready again", seconds(ready));
    figures.calls("uploads through the node that stops", &burst);
    figures.calls("calls through the other nodes meanwhile", &around);
    audit::check_all_good(
        figures,
        "a planned stop cuts off no upload in flight",
        &burst,
    );
    audit::check_all_good(
        figures,
        "a planned stop loses no call through other nodes",
        &around,
    );
    figures.guarantee(
        "a node that starts again is not below its version",
        format!("version {after} after version {before}"),
        after >= before,
    );
    Ok(())
}

async fn slow(fleet: &Fleet, numbers: &[usize], ms: u64) -> Result<(), Error> {
    for &i in numbers {
        let backend = fleet.instances[i].addrs.backend;
        let faults = json!({ "slow_ms": ms });
        fleet
            .client
            .put(backend, "/standin/faults", &faults)
            .await?;
    }
    Ok(())
}

/// Waits until the uploads are being worked on, and returns how many are.
async fn in_flight(fleet: &Fleet, numbers: &[usize]) -> Result<u64, Error> {
    let start = Instant::now();
    loop {
        let mut active = 0;
        for &i in numbers {
            active += audit::stats(fleet, i).await?.active;
        }
        if active >= UPLOADS {
            return Ok(active);
        }
        if start.elapsed() > LIMIT {
            return Err(Error::Late(
                "uploads in flight".to_owned(),
                format!("{active}"),
            ));
        }
        sleep(Duration::from_millis(5)).await;
    }
}

/// Asks a node to stop and waits until its process has ended by itself.
async fn stop(fleet: &mut Fleet, i: usize) -> Result<(), Error> {
    let Some(mut node) = fleet.instances[i].node.take() else {
        return Ok(());
    };
    node.terminate()?;
    let start = Instant::now();
    while node.ended()?.is_none() {
        if start.elapsed() > LIMIT {
            return Err(Error::Late(
                "a planned stop".to_owned(),
                fleet.instances[i].name.clone(),
            ));
        }
        sleep(Duration::from_millis(5)).await;
    }
    Ok(())
}

//! Graceful restart of a node under load, with uploads in flight.

use std::time::{Duration, Instant};

use serde_json::json;
use tokio::time::sleep;

use super::audit;
use super::calls::{load, mixed, shape, targets};
use super::figures::{Figures, seconds};
use crate::fleet::Fleet;
use crate::{Error, Kind, Mesh};

/// Number of uploads in flight through the node that stops.
const UPLOAD_COUNT: u64 = 12;

/// Time within which all uploads are sent, in milliseconds.
const BURST_MS: u64 = 96;

/// Delay that each backend server adds to an upload, in milliseconds.
const DELAY_MS: u64 = 1500;

/// Longest time for each step of the restart.
const STEP_TIMEOUT: Duration = Duration::from_secs(15);

/// Stops a node gracefully under load and starts it again.
pub(super) async fn graceful_restart(
    mesh: &Mesh,
    fleet: &mut Fleet,
    figures: &mut Figures,
) -> Result<(), Error> {
    let uploads = mesh.indices(Kind::Upload);
    let stopped = uploads[0];
    let before = fleet.state(stopped).await?.version;
    set_delay(fleet, &uploads, DELAY_MS).await?;
    let mut others = fleet.running();
    others.retain(|&i| i != stopped);
    let rate = 1000.0 * UPLOAD_COUNT as f64 / BURST_MS as f64;
    let burst = load(targets(fleet, &[stopped]), rate, BURST_MS, 0x07)
        .with_poisson(false)
        .with_shape(shape(mesh, Kind::Upload), 1);
    let burst = tokio::spawn(burst.run());
    // No other load runs yet, so all uploads in flight came through this node.
    let active = in_flight(fleet, &uploads).await?;
    let other_calls = tokio::spawn(mixed(mesh, targets(fleet, &others), 150.0, 9000, 0x06).run());

    let start = Instant::now();
    stop_node(fleet, stopped).await?;
    let took = start.elapsed();
    set_delay(fleet, &uploads, 0).await?;
    fleet.start_node(stopped)?;
    let ready = fleet.wait_ready(STEP_TIMEOUT).await?;
    let after = fleet.state(stopped).await?.version;
    let failed = |e: tokio::task::JoinError| Error::Program("load".to_owned(), e.into());
    let (burst, other_calls) = (
        burst.await.map_err(failed)??,
        other_calls.await.map_err(failed)??,
    );

    figures.figure(
        "uploads in flight when the node was asked to stop",
        active.to_string(),
    );
    figures.figure("time to stop", seconds(took));
    figures.figure("time to be ready again", seconds(ready));
    figures.calls("uploads through the node that stops", &burst);
    figures.calls(
        "calls through the other nodes during the restart",
        &other_calls,
    );
    audit::check_all_good(
        figures,
        "a graceful stop interrupts no upload in flight",
        &burst,
    );
    audit::check_all_good(
        figures,
        "a graceful stop causes no failed calls through other nodes",
        &other_calls,
    );
    figures.guarantee(
        "a restarted node is not behind its previous version",
        format!("version {after} after the restart, version {before} before"),
        after >= before,
    );
    Ok(())
}

/// Sets the delay that the backend servers add to each request.
async fn set_delay(fleet: &Fleet, indices: &[usize], ms: u64) -> Result<(), Error> {
    for &i in indices {
        let backend = fleet.instances[i].addrs.backend;
        let faults = json!({ "slow_ms": ms });
        fleet
            .client
            .put(backend, "/standin/faults", &faults)
            .await?;
    }
    Ok(())
}

/// Waits until all uploads are in flight and returns their number.
async fn in_flight(fleet: &Fleet, indices: &[usize]) -> Result<u64, Error> {
    let start = Instant::now();
    loop {
        let mut active = 0;
        for &i in indices {
            active += audit::stats(fleet, i).await?.active;
        }
        if active >= UPLOAD_COUNT {
            return Ok(active);
        }
        if start.elapsed() > STEP_TIMEOUT {
            return Err(Error::Late(
                "uploads in flight".to_owned(),
                format!("{active}"),
            ));
        }
        sleep(Duration::from_millis(5)).await;
    }
}

/// Sends SIGTERM to a node and waits until its process has exited.
async fn stop_node(fleet: &mut Fleet, i: usize) -> Result<(), Error> {
    let Some(mut node) = fleet.instances[i].node.take() else {
        return Ok(());
    };
    node.terminate()?;
    let start = Instant::now();
    while node.ended()?.is_none() {
        if start.elapsed() > STEP_TIMEOUT {
            return Err(Error::Late(
                "a graceful stop".to_owned(),
                fleet.instances[i].name.clone(),
            ));
        }
        sleep(Duration::from_millis(5)).await;
    }
    Ok(())
}

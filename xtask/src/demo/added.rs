//! Latency that the nodes add, compared with direct calls to the backend server.

use super::figures::Figures;
use crate::Error;
use crate::bench::{NodePair, added_latency_ms};

/// Required maximum of the added latency at p99, in milliseconds.
const P99_GOAL_MS: f64 = 0.36;

/// Calls per second, half of which are direct.
const RATE: f64 = 400.0;
const DURATION_MS: u64 = 4000;
const SEED: u64 = 0x08;

/// Compares calls through one node and through two nodes with alternating direct calls.
///
/// The backend servers of the mesh take a random service time for each call, which would hide
/// the latency that the nodes add. The comparison therefore uses a separate backend server
/// without a service time.
pub(super) async fn added_latency(figures: &mut Figures) -> Result<(), Error> {
    let pair = NodePair::start().await?;
    for (name, node) in pair.paths() {
        let run = pair.compare(node, RATE, DURATION_MS, SEED).await?;
        let (p50, p99) = added_latency_ms(&run);
        let value = format!(
            "p50 {p50:.3} ms, p99 {p99:.3} ms (goal at p99: {P99_GOAL_MS} ms; {} and {} calls)",
            run.a.good, run.b.good,
        );
        figures.figure(format!("latency added by {name}"), value);
    }
    Ok(())
}

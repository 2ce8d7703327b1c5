//! Latency that the nodes add, against calls straight to the backend server.

use super::figures::Figures;
use crate::Error;
use crate::bench::{NodePair, added_latency_ms};

/// The users' goal for the latency added at p99, in milliseconds.
const GOAL_MS: f64 = 0.36;

/// Calls a second, half of them direct.
const RATE: f64 = 400.0;
const SPAN_MS: u64 = 4000;
const SEED: u64 = 0x08;

/// Compares calls through one node and through two with direct calls, one by one in turn.
///
/// The mesh's backend servers take a random time for each call, which would drown what the
/// nodes add; so this is measured at a backend server of its own that takes none.
pub(super) async fn latency(figures: &mut Figures) -> Result<(), Error> {
    let pair = NodePair::start().await?;
    for (name, node) in pair.paths() {
        let run = pair.compare(node, RATE, SPAN_MS, SEED).await?;
        let (p50, p99) = added_latency_ms(&run);
        let value = format!(
            "p50 {p50:.3} ms, p99 {p99:.3} ms (goal at p99: {GOAL_MS} ms; {} and {} calls)",
            run.a.good, run.b.good,
        );
        figures.figure(format!("added by {name}"), value);
    }
    Ok(())
}

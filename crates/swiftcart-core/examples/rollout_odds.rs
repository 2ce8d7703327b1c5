//! Prints how often a trial stops a good release or accepts a bad one, over many seeds.
//!
//! `cargo run --release -p swiftcart-core --example rollout_odds [SEEDS]`

#[path = "../tests/support/rollout.rs"]
mod rollout;

use std::time::Duration;

use rollout::{Defect, Disturbance, Simulation};
use swiftcart_core::RolloutStage;

fn main() {
    let seeds = std::env::args()
        .nth(1)
        .and_then(|n| n.parse().ok())
        .unwrap_or(200);
    let big = Simulation::default();
    let small = Simulation {
        old: 5,
        new: 5,
        rate: 150.0,
        ..big
    };
    println!(
        "mesh defect disturbance: completed stopped other | exposed/bound max, 50th to last max, left min"
    );
    let defects = [
        Defect::None,
        Defect::Errors(0.5),
        Defect::Errors(0.25),
        Defect::Slow(0.5, 8.0),
        Defect::Slow(0.5, 4.0),
        Defect::Slow(0.3, 5.0),
        Defect::Late(0.5, 4.5),
        Defect::Late(0.5, 9.0),
        Defect::UnderLoad(0.5),
        Defect::OneRoute(0.5),
    ];
    let disturbances = [
        Disturbance::None,
        Disturbance::Grey(0.15, 0.4),
        Disturbance::Grey(0.6, 0.4),
        Disturbance::Slow(0.16, 5.0),
        Disturbance::Slow(0.4, 12.0),
        Disturbance::OneBad(0.4),
    ];
    for (name, mesh) in [("big", big), ("small", small)] {
        for defect in defects {
            for disturbance in disturbances {
                print_row(
                    name,
                    Simulation {
                        defect,
                        disturbance,
                        ..mesh
                    },
                    seeds,
                );
            }
        }
    }
}

fn print_row(name: &str, simulation: Simulation, seeds: u64) {
    let results: Vec<_> = (0..seeds)
        .map(|seed| Simulation { seed, ..simulation }.run())
        .collect();
    let count = |stage| {
        results
            .iter()
            .filter(|result| result.stage == stage)
            .count()
    };
    let completed = count(RolloutStage::Completed);
    let stopped = count(RolloutStage::Stopped);
    let bound = |total: u64| 0.1 * total as f64 + 50.0;
    let exposed = results
        .iter()
        .map(|result| result.exposed as f64 / bound(result.total));
    let stop_delay = results
        .iter()
        .map(|result| result.stop_delay)
        .max()
        .unwrap_or(Duration::ZERO);
    let left = results
        .iter()
        .map(|result| result.left)
        .min()
        .unwrap_or(Duration::ZERO);
    println!(
        "{name} {:?} {:?}: {completed} {stopped} {} | {:.2} {:.2} s {:.2} s",
        simulation.defect,
        simulation.disturbance,
        results.len() - completed - stopped,
        exposed.fold(0.0, f64::max),
        stop_delay.as_secs_f64(),
        left.as_secs_f64(),
    );
}

//! Measures the call policies: the time of each decision, and what they make of overload and faults.
//!
//! Prints one JSON object a line. `cost` lines hold nanoseconds on this machine; `run`
//! lines come from virtual time with a fixed seed and are the same on every machine.
//!
//! `cargo run --release -p swiftcart-core --example call_cost [cost|compare|tune]`

mod cost;
mod fleet;
mod policy;
mod report;
mod run;

use policy::Policy;

/// Offered load as a share of the capacity that the faults leave.
const LOADS: &[f64] = &[0.5, 1.0, 2.0, 5.0];

/// The loads at which settings are weighed: just full, and overload.
const TUNE_LOADS: &[f64] = &[0.8, 2.0];

fn main() {
    let part = std::env::args().nth(1);
    let wants = |name: &str| part.as_deref().is_none_or(|part| part == name);
    if wants("cost") {
        cost::print();
    }
    if wants("compare") {
        Policy::compared().iter().for_each(|p| measure(p, LOADS));
    }
    if wants("tune") {
        Policy::tuned().iter().for_each(|p| measure(p, TUNE_LOADS));
    }
}

fn measure(policy: &Policy, loads: &[f64]) {
    let run = |load: &f64| run::run(policy, *load);
    let runs: Vec<_> = loads.iter().map(run).collect();
    let peak = runs.iter().map(|run| run.goodput).fold(0.0, f64::max);
    for run in &runs {
        run.print(policy.name, peak);
    }
}

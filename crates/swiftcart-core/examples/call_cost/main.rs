//! Benchmark of the call policies: time per decision, and goodput under overload and faults.
//!
//! Prints one JSON object per line. `cost` lines hold nanoseconds measured on the local
//! instance. `run` lines come from a simulation in virtual time with a fixed seed, so they are
//! the same on every instance.
//!
//! `cargo run --release -p swiftcart-core --example call_cost [cost|compare|tune]`

mod cost;
mod fleet;
mod policy;
mod report;
mod run;

use policy::Policy;

/// Offered loads, relative to the capacity that remains under the faults.
const COMPARE_LOADS: &[f64] = &[0.5, 1.0, 2.0, 5.0];

/// Offered loads for the comparison of settings: near capacity, and overload.
const TUNE_LOADS: &[f64] = &[0.8, 2.0];

fn main() {
    let part = std::env::args().nth(1);
    let is_selected = |name: &str| part.as_deref().is_none_or(|part| part == name);
    if is_selected("cost") {
        cost::print();
    }
    if is_selected("compare") {
        Policy::baselines()
            .iter()
            .for_each(|p| measure(p, COMPARE_LOADS));
    }
    if is_selected("tune") {
        Policy::tuning_variants()
            .iter()
            .for_each(|p| measure(p, TUNE_LOADS));
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

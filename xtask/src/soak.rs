//! Fault-injection runs of the real processes, generated from seeds.
//!
//! Each run starts a mesh and injects a random schedule of overlapping faults while callers send
//! requests of every kind. It then checks the following invariants:
//!
//! * The answers that callers received agree with the executions that backend servers counted.
//! * No node moves back to an older configuration version.
//! * The mesh serves all requests again once the faults have ended.
//!
//! [`REGRESSIONS`] lists every seed that has failed before, with the cause of the failure.

mod plan;
mod proxy;
mod run;

use std::time::{Duration, Instant};

use getopts::Options;
use rand::rngs::SmallRng;
use rand::{RngCore, SeedableRng};

use crate::{Error, Verdict};

pub use plan::{Fault, ScheduledFault, draw_faults};
pub use proxy::{Proxy, TrafficMode};

/// Seeds that have failed before, each with its cause.
///
/// A run without `--seed` and `--minutes` starts with these seeds.
pub const REGRESSIONS: &[(u64, &str)] = &[];

/// Default number of seeds, limited by the time available in a CI run.
const DEFAULT_SEEDS: u64 = 2;

/// Runs the seeds selected by `args` and prints one result line for each.
pub(crate) async fn run(args: Vec<String>) -> Result<Verdict, Error> {
    let mut options = Options::new();
    options
        .optmulti("", "seed", "run this seed; repeatable", "N")
        .optopt("", "seeds", "run the seeds 1 to N (default: 2)", "N")
        .optopt("", "minutes", "run random seeds for M minutes", "M")
        .optflag("h", "help", "print this text");
    let usage = |e: getopts::Fail| Error::Usage(e.to_string());
    let matches = options.parse(args).map_err(usage)?;
    if matches.opt_present("help") {
        println!("{}", options.usage("Usage: cargo xtask soak [OPTIONS]"));
        return Ok(Verdict::Passed);
    }
    let minutes: Option<u64> = matches.opt_get("minutes").map_err(usage_error)?;
    let seeds: u64 = matches
        .opt_get_default("seeds", DEFAULT_SEEDS)
        .map_err(usage_error)?;
    let requested = matches.opt_strs("seed");
    match (requested.is_empty(), minutes) {
        (false, _) => {
            let parsed: Result<Vec<u64>, _> = requested.iter().map(|text| text.parse()).collect();
            run_seeds(parsed.map_err(usage_error)?).await
        }
        (true, Some(minutes)) => {
            let end = Instant::now() + Duration::from_secs(60 * minutes);
            let random = std::iter::repeat_with(random_seed);
            run_seeds(random.take_while(move |_| Instant::now() < end)).await
        }
        (true, None) => {
            let known = REGRESSIONS.iter().map(|(seed, _)| *seed);
            run_seeds(known.chain(1..=seeds)).await
        }
    }
}

/// Runs the seeds one after the other and prints those that violated an invariant.
async fn run_seeds(seeds: impl IntoIterator<Item = u64>) -> Result<Verdict, Error> {
    let (mut completed, mut faults, mut failed) = (0, 0, Vec::new());
    for seed in seeds {
        let start = Instant::now();
        let outcome = run::run_seed(seed).await?;
        completed += 1;
        faults += outcome.faults;
        let result = match outcome.violations.is_empty() {
            true => "held",
            false => "BROKEN",
        };
        println!(
            "seed {seed}: {result}, {} faults, {} calls, {:.1} s",
            outcome.faults,
            outcome.calls,
            start.elapsed().as_secs_f64()
        );
        for violation in &outcome.violations {
            println!("    {violation}");
        }
        if !outcome.violations.is_empty() {
            println!(
                "    reproduce with: cargo xtask soak --seed {seed}; logs: {}",
                outcome.logs.display()
            );
            failed.push(seed);
        }
    }
    println!("{completed} seeds, {faults} faults, broken: {failed:?}");
    Ok(failed.is_empty().into())
}

/// Returns a random seed of at most 32 bits, short enough to type.
fn random_seed() -> u64 {
    u64::from(SmallRng::from_os_rng().next_u32())
}

fn usage_error(err: impl std::fmt::Display) -> Error {
    Error::Usage(err.to_string())
}

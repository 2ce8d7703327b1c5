//! Randomized runs of the real programs under faults from outside, each drawn from a seed.
//!
//! A run starts a mesh, draws a series of overlapping faults, and sends calls of every kind
//! meanwhile. It checks what callers were told against what backend servers counted, that no
//! node moves back to an older version, and that the mesh serves everything once the faults
//! are over. A seed that ever failed stands in [`REGRESSIONS`], with its cause.

mod plan;
mod proxy;
mod run;

use std::time::{Duration, Instant};

use getopts::Options;
use rand::rngs::SmallRng;
use rand::{RngCore, SeedableRng};

use crate::{Error, Verdict};

pub use plan::{Fault, Step, draw};
pub use proxy::{Proxy, Wire};

/// Seeds that failed once, with the cause; every run of several seeds begins with them.
pub const REGRESSIONS: &[(u64, &str)] = &[];

/// Seeds of a run that asks for no number: what fits into a CI run.
const SEEDS: u64 = 2;

/// Runs the soak that `args` ask for and prints a line for each seed.
pub(crate) async fn run(args: Vec<String>) -> Result<Verdict, Error> {
    let mut options = Options::new();
    options
        .optmulti("", "seed", "play this seed; repeatable", "N")
        .optopt("", "seeds", "play the seeds 1 to N (default: 2)", "N")
        .optopt("", "minutes", "play fresh seeds for so long", "M")
        .optflag("h", "help", "print this text");
    let usage = |e: getopts::Fail| Error::Usage(e.to_string());
    let found = options.parse(args).map_err(usage)?;
    if found.opt_present("help") {
        println!("{}", options.usage("Usage: cargo xtask soak [OPTIONS]"));
        return Ok(Verdict::Passed);
    }
    let minutes: Option<u64> = found.opt_get("minutes").map_err(bad)?;
    let seeds: u64 = found.opt_get_default("seeds", SEEDS).map_err(bad)?;
    let given = found.opt_strs("seed");
    match (given.is_empty(), minutes) {
        (false, _) => {
            let parsed: Result<Vec<u64>, _> = given.iter().map(|text| text.parse()).collect();
            play(parsed.map_err(bad)?).await
        }
        (true, Some(minutes)) => {
            let end = Instant::now() + Duration::from_secs(60 * minutes);
            let fresh = std::iter::repeat_with(fresh_seed);
            play(fresh.take_while(move |_| Instant::now() < end)).await
        }
        (true, None) => {
            let known = REGRESSIONS.iter().map(|(seed, _)| *seed);
            play(known.chain(1..=seeds)).await
        }
    }
}

/// Plays seeds one after the other and tells how many broke a promise.
async fn play(seeds: impl IntoIterator<Item = u64>) -> Result<Verdict, Error> {
    let (mut played, mut faults, mut failed) = (0, 0, Vec::new());
    for seed in seeds {
        let start = Instant::now();
        let ended = run::seed(seed).await?;
        played += 1;
        faults += ended.faults;
        let verdict = match ended.broken.is_empty() {
            true => "held",
            false => "BROKEN",
        };
        println!(
            "seed {seed}: {verdict}, {} faults, {} calls, {:.1} s",
            ended.faults,
            ended.calls,
            start.elapsed().as_secs_f64()
        );
        for guarantee in &ended.broken {
            println!("    {guarantee}");
        }
        if !ended.broken.is_empty() {
            println!(
                "    again: cargo xtask soak --seed {seed}; logs: {}",
                ended.logs.display()
            );
            failed.push(seed);
        }
    }
    println!("{played} seeds, {faults} faults, broken: {failed:?}");
    Ok(failed.is_empty().into())
}

/// Draws a seed that a person can type.
fn fresh_seed() -> u64 {
    u64::from(SmallRng::from_os_rng().next_u32())
}

fn bad(err: impl std::fmt::Display) -> Error {
    Error::Usage(err.to_string())
}

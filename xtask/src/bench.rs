//! The `bench` chore: measures Swiftcart against baselines and writes comparable results.

mod capacity;
mod convergence;
mod fit;
mod latency;
mod options;
mod overload;
mod plot;
mod poller;
mod publisher;
mod report;
mod results;

use std::path::{Path, PathBuf};

pub use fit::Fit;
pub(crate) use latency::{NodePair, added_latency_ms};
pub use options::{BenchCommand, Plan};
pub use poller::Poller;
pub use report::compare;
pub use results::{Measurement, Results, RunEnvironment, Series, median, quantile};

use crate::command::root;
use crate::{Error, Verdict, proc};

/// Maximum number of nodes of one measurement. All of the nodes run on one computer.
const MAX_NODES: usize = 300;

/// Runs the bench command given by `args`.
///
/// # Errors
///
/// Returns an [`Error`] if the arguments are invalid, a measurement fails or a file cannot be
/// read or written.
pub async fn run(args: Vec<String>) -> Result<Verdict, Error> {
    match BenchCommand::parse(&args)? {
        BenchCommand::Help(text) => println!("{text}"),
        BenchCommand::Compare(old, new) => {
            println!("{}", compare(&Results::read(&old)?, &Results::read(&new)?));
        }
        BenchCommand::Run(plan) => measure(&plan).await?,
    }
    Ok(Verdict::Passed)
}

/// Runs the benches selected by `plan` and writes the report.
///
/// If a bench fails, the results measured before the failure are still written.
async fn measure(plan: &Plan) -> Result<(), Error> {
    if let Some(size) = plan.sizes.iter().find(|&&size| size > MAX_NODES) {
        return Err(Error::Usage(format!("--sizes {size}")));
    }
    let mut results = Results::new()?;
    let dir = output_dir(plan, &results);
    let outcome = run_benches(plan, &mut results).await;
    if let Err(e) = &outcome {
        results
            .notes
            .push(format!("The run stopped before all benches finished: {e}"));
    }
    report::write(&results, &dir)?;
    println!("results: {}", dir.join("report.md").display());
    outcome
}

async fn run_benches(plan: &Plan, results: &mut Results) -> Result<(), Error> {
    if plan.latency {
        latency::run(plan, results).await?;
    }
    if plan.overload {
        overload::run(plan, results).await?;
    }
    if plan.capacity {
        capacity::run(plan, results).await?;
    }
    if plan.convergence {
        convergence::run(plan, results).await?;
    }
    Ok(())
}

fn output_dir(plan: &Plan, results: &Results) -> PathBuf {
    let default_dir = || {
        let setting = &results.setting;
        let name = format!("{}-{}", setting.at, setting.commit);
        root().join("bench-results").join(name)
    };
    plan.out.as_deref().map_or_else(default_dir, Path::to_owned)
}

/// Returns an error if the processes of a run use more than half of the system memory.
fn check_memory(used_kib: u64) -> Result<(), Error> {
    let limit_kib = proc::memory_kib()? / 2;
    match used_kib <= limit_kib {
        true => Ok(()),
        false => Err(Error::Memory(used_kib / 1024, limit_kib / 1024)),
    }
}

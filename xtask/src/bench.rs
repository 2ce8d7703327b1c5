//! Measures the system against its baselines and writes results that can be compared.

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
pub use options::{Plan, Request};
pub use poller::Poller;
pub use report::compare;
pub use results::{Point, Results, Series, Setting, median, quantile};

use crate::command::root;
use crate::{Error, Verdict, proc};

/// The most nodes that one machine is asked to carry.
const MOST_NODES: usize = 300;

/// Runs what `args` ask for.
///
/// # Errors
///
/// Returns an [`Error`] when a measurement cannot be made.
pub async fn run(args: Vec<String>) -> Result<Verdict, Error> {
    match Request::parse(&args)? {
        Request::Help(text) => println!("{text}"),
        Request::Compare(old, new) => {
            println!("{}", compare(&Results::read(&old)?, &Results::read(&new)?));
        }
        Request::Run(plan) => measure(&plan).await?,
    }
    Ok(Verdict::Passed)
}

/// Measures what `plan` names; what was measured before a failure is written all the same.
async fn measure(plan: &Plan) -> Result<(), Error> {
    if let Some(size) = plan.sizes.iter().find(|&&size| size > MOST_NODES) {
        return Err(Error::Usage(format!("--sizes {size}")));
    }
    let mut results = Results::new()?;
    let dir = folder(plan, &results);
    let measured = benches(plan, &mut results).await;
    if let Err(e) = &measured {
        results.notes.push(format!("The run stopped early: {e}"));
    }
    report::write(&results, &dir)?;
    println!("results: {}", dir.join("report.md").display());
    measured
}

async fn benches(plan: &Plan, results: &mut Results) -> Result<(), Error> {
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

fn folder(plan: &Plan, results: &Results) -> PathBuf {
    let named = || {
        let setting = &results.setting;
        let name = format!("{}-{}", setting.at, setting.commit);
        root().join("bench-results").join(name)
    };
    plan.out.as_deref().map_or_else(named, Path::to_owned)
}

/// Fails when processes of a run use more than half of the machine's memory.
fn check_memory(used_kib: u64) -> Result<(), Error> {
    let half = proc::memory_kib()? / 2;
    match used_kib <= half {
        true => Ok(()),
        false => Err(Error::Memory(used_kib / 1024, half / 1024)),
    }
}

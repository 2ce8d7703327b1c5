//! Development tasks of the repository, each a subcommand of `cargo xtask`.

pub mod bench;
mod check;
mod child;
mod command;
mod demo;
mod error;
mod events;
mod fleet;
mod http;
mod live;
mod mesh;
mod packages;
mod ports;
mod proc;
mod prom;
mod red;
mod soak;
mod spec;
mod summary;
mod test;
mod verdict;

pub use child::Child;
pub use error::Error;
pub use events::applied_at;
pub use fleet::{Addresses, Fleet, Instance, Role, State};
pub use mesh::{Kind, Mesh, Service};
pub use ports::Ports;
pub use proc::Usage;
pub use prom::Scrape;
pub use red::{KnownFailure, KnownFailures};
pub use soak::{Fault, Proxy, REGRESSIONS, ScheduledFault, TrafficMode, draw_faults};
pub use spec::{Model, SearchOutcome, read_models};
pub use summary::TestSummary;
pub use verdict::Verdict;

const HELP: &str = "\
Development tasks of the repository.

Usage: cargo xtask COMMAND [OPTIONS]

Commands:
  test     run all checks: packages, format, lint, docs, models, tests and a short soak
  demo     run a whole mesh locally and print a report; `--mesh lima|bogota`
  check    check only format, lint and docs
  bench    measure against the baselines; `bench --help` lists the options
  soak     run the real processes under random faults; `soak --help` lists the options
  spec     check the models in specs/, with all guards and with each guard removed
  help     print this text

Exit codes: 0 passed, 1 failed, 2 could not run";

/// Runs the subcommand named by the first element of `args`.
///
/// # Errors
///
/// Returns an [`Error`] when the subcommand could not run to completion.
pub fn run(args: &[String]) -> Result<Verdict, Error> {
    match args.split_first().map(|(name, rest)| (name.as_str(), rest)) {
        Some(("demo", rest)) => live::run(rest, demo::run),
        Some(("bench", rest)) => live::run(rest, bench::run),
        Some(("soak", rest)) => live::run(rest, soak::run),
        Some(("poller", rest)) => live::poll(rest),
        Some(("test", [])) => test::run(),
        Some(("check", [])) => check::run(),
        Some(("spec", [])) => spec::run(),
        None | Some(("help" | "--help" | "-h", _)) => {
            println!("{HELP}");
            Ok(Verdict::Passed)
        }
        Some(("test" | "check" | "spec", [extra, ..])) => Err(Error::Usage(extra.clone())),
        Some((name, _)) => Err(Error::Usage(name.to_owned())),
    }
}

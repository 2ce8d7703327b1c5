//! Chores of the repository, each behind one command of `cargo xtask`.

mod check;
mod command;
mod error;
mod packages;
mod red;
mod spec;
mod summary;
mod test;
mod verdict;

pub use error::Error;
pub use red::{KnownRed, Ledger};
pub use spec::{Model, SpecRun, read_models};
pub use summary::Summary;
pub use verdict::Verdict;

const HELP: &str = "\
Chores of the repository.

Usage: cargo xtask COMMAND [OPTIONS]

Commands:
  test     everything that decides: packages, format, lint, docs, models, tests
  check    format, lint and docs only
  spec     check the models in specs/, with each guard in place and taken out
  help     print this text

Exit codes: 0 passed, 1 failed, 2 could not run";

/// Runs the chore that `args` name.
///
/// # Errors
///
/// Returns an [`Error`] when the chore could not run to a verdict.
pub fn run(args: &[String]) -> Result<Verdict, Error> {
    match args.split_first().map(|(name, rest)| (name.as_str(), rest)) {
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

//! Format, lint and documentation checks.

use crate::command::{cargo, succeeds};
use crate::{Error, Verdict};

/// Runs all checks, even after one has failed.
pub(crate) fn run() -> Result<Verdict, Error> {
    let format = run_step(&["fmt", "--all", "--check"])?;
    let lint = run_step(&[
        "clippy",
        "--workspace",
        "--all-targets",
        "--locked",
        "--quiet",
        "--",
        "-D",
        "warnings",
    ])?;
    let docs = run_step(&["doc", "--workspace", "--no-deps", "--locked", "--quiet"])?;
    Ok(format & lint & docs)
}

fn run_step(args: &[&str]) -> Result<Verdict, Error> {
    let name = format!("cargo {}", args.join(" "));
    println!("==> {name}");
    let mut command = cargo(args);
    command.env("RUSTDOCFLAGS", "-D warnings");
    let passed = succeeds(&name, &mut command)?;
    if !passed {
        println!("FAILED: {name}");
    }
    Ok(passed.into())
}

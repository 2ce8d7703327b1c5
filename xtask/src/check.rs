//! Format, lint and docs.

use crate::command::{cargo, succeeds};
use crate::{Error, Verdict};

/// Runs each check, also after an earlier one failed.
pub(crate) fn run() -> Result<Verdict, Error> {
    let format = step(&["fmt", "--all", "--check"])?;
    let lint = step(&[
        "clippy",
        "--workspace",
        "--all-targets",
        "--locked",
        "--quiet",
        "--",
        "-D",
        "warnings",
    ])?;
    let docs = step(&["doc", "--workspace", "--no-deps", "--locked", "--quiet"])?;
    Ok(format & lint & docs)
}

fn step(args: &[&str]) -> Result<Verdict, Error> {
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

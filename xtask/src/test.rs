//! The command that decides: everything that has to hold, in one run.

use std::io::{self, BufRead, BufReader, PipeReader};
use std::process::Command;

use crate::command::{cargo, root, succeeds};
use crate::{Error, Ledger, Summary, Verdict, check, packages, spec};

const RED_FILE: &str = "KNOWN-RED.txt";

/// The soak that every run plays: seed 1, about 20 s, behind the seeds that ever failed.
const SOAK: [&str; 4] = ["xtask", "soak", "--seeds", "1"];

/// Runs the checks, the models, every test and a short soak.
pub(crate) fn run() -> Result<Verdict, Error> {
    packages::ensure()?;
    let ledger = Ledger::read(&root().join(RED_FILE))?;
    let checks = check::run()?;
    let models = spec::run()?;
    let (summary, succeeded) = tests()?;
    let tests = judge(&summary, succeeded, &ledger);
    let soak = soak()?;
    let verdict = checks & models & tests & soak;
    report(checks, "format, lint and docs");
    report(models, "models");
    report(tests, "tests");
    report(soak, "soak");
    println!("{summary}");
    Ok(verdict)
}

fn report(verdict: Verdict, what: &str) {
    match verdict {
        Verdict::Passed => println!("passed: {what}"),
        Verdict::Failed => println!("FAILED: {what}"),
    }
}

/// Runs the tests of the workspace; the flag tells whether cargo saw no failure.
fn tests() -> Result<(Summary, bool), Error> {
    let args = ["test", "--workspace", "--locked", "--no-fail-fast"];
    let name = format!("cargo {}", args.join(" "));
    println!("==> {name}");
    let mut command = cargo(&args);
    command.env("CARGO_TERM_COLOR", "never");
    let failed = |e| Error::Program(name.clone(), e);
    let output = merged(&mut command).map_err(failed)?;
    let mut child = command.spawn().map_err(failed)?;
    // The command holds the pipe's other end open.
    drop(command);
    let summary = read(output).map_err(failed)?;
    let status = child.wait().map_err(failed)?;
    Ok((summary, status.success()))
}

/// Plays the soak's first seeds in a program of its own, which builds the mesh for release.
///
/// The tests may have built this program anew, so that its own file is no longer there.
fn soak() -> Result<Verdict, Error> {
    let name = format!("cargo {}", SOAK.join(" "));
    println!("==> {name}");
    let played = succeeds(&name, &mut cargo(&SOAK))?;
    Ok(played.into())
}

/// Sends both outputs into one pipe, so that each test stands after its target's name.
fn merged(command: &mut Command) -> io::Result<PipeReader> {
    let (reader, writer) = io::pipe()?;
    command.stdout(writer.try_clone()?).stderr(writer);
    Ok(reader)
}

fn read(output: PipeReader) -> io::Result<Summary> {
    let mut summary = Summary::default();
    for line in BufReader::new(output).split(b'\n') {
        let line = line?;
        let line = String::from_utf8_lossy(&line);
        println!("{line}");
        summary.line(&line);
    }
    Ok(summary)
}

fn judge(summary: &Summary, succeeded: bool, ledger: &Ledger) -> Verdict {
    let uncovered = summary.uncovered(ledger);
    for test in &uncovered {
        println!("FAILED: {test}");
    }
    if summary.is_broken() {
        println!("FAILED: a test target did not build or ended without a result");
    }
    let known = known(summary, ledger);
    let explained = succeeded || !summary.red().is_empty();
    Verdict::from(uncovered.is_empty() && !summary.is_broken() && explained) & known
}

/// Prints what became of each listed test; one that does not exist fails the run.
fn known(summary: &Summary, ledger: &Ledger) -> Verdict {
    let mut verdict = Verdict::Passed;
    for entry in &ledger.0 {
        let red = summary.red().iter().any(|test| entry.names(test));
        let (test, cause, issue) = (&entry.test, &entry.cause, &entry.issue);
        if red {
            println!("known red: {test} | {cause} | {issue}");
        } else if summary.ran(ledger, test) {
            println!("known red passes, take it off {RED_FILE}: {test}");
        } else {
            println!("FAILED: {RED_FILE} names a test that does not exist: {test}");
            verdict = Verdict::Failed;
        }
    }
    verdict
}

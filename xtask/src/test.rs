//! The `test` subcommand: all checks of a CI run.

use std::io::{self, BufRead, BufReader, PipeReader};
use std::process::Command;

use crate::command::{cargo, root, succeeds};
use crate::{Error, KnownFailures, TestSummary, Verdict, check, packages, spec};

const KNOWN_RED_FILE: &str = "KNOWN-RED.txt";

/// Arguments of the soak: seed 1, about 20 s, after all seeds that have failed before.
const SOAK_ARGS: [&str; 4] = ["xtask", "soak", "--seeds", "1"];

/// Runs the checks, the models, all tests and a short soak.
pub(crate) fn run() -> Result<Verdict, Error> {
    packages::ensure()?;
    let known_failures = KnownFailures::read(&root().join(KNOWN_RED_FILE))?;
    let checks = check::run()?;
    let models = spec::run()?;
    let (summary, succeeded) = run_tests()?;
    let tests = judge_tests(&summary, succeeded, &known_failures);
    let soak = run_soak()?;
    let verdict = checks & models & tests & soak;
    report(checks, "format, lint and docs");
    report(models, "models");
    report(tests, "tests");
    report(soak, "soak");
    println!("{summary}");
    Ok(verdict)
}

fn report(verdict: Verdict, part: &str) {
    match verdict {
        Verdict::Passed => println!("passed: {part}"),
        Verdict::Failed => println!("FAILED: {part}"),
    }
}

/// Runs the tests of the workspace; the flag is `true` if cargo succeeded.
fn run_tests() -> Result<(TestSummary, bool), Error> {
    let args = ["test", "--workspace", "--locked", "--no-fail-fast"];
    let name = format!("cargo {}", args.join(" "));
    println!("==> {name}");
    let mut command = cargo(&args);
    command.env("CARGO_TERM_COLOR", "never");
    let failed = |e| Error::Program(name.clone(), e);
    let output = merge_outputs(&mut command).map_err(failed)?;
    let mut child = command.spawn().map_err(failed)?;
    // Closes the command's write end of the pipe; the reader would otherwise never see its end.
    drop(command);
    let summary = read_summary(output).map_err(failed)?;
    let status = child.wait().map_err(failed)?;
    Ok((summary, status.success()))
}

/// Runs the soak in a separate `cargo` process, which builds the mesh in release mode.
///
/// The tests may have rebuilt this program, so its own executable may no longer exist.
fn run_soak() -> Result<Verdict, Error> {
    let name = format!("cargo {}", SOAK_ARGS.join(" "));
    println!("==> {name}");
    let succeeded = succeeds(&name, &mut cargo(&SOAK_ARGS))?;
    Ok(succeeded.into())
}

/// Redirects stdout and stderr to one pipe, so that test results follow the name of their target.
fn merge_outputs(command: &mut Command) -> io::Result<PipeReader> {
    let (reader, writer) = io::pipe()?;
    command.stdout(writer.try_clone()?).stderr(writer);
    Ok(reader)
}

fn read_summary(output: PipeReader) -> io::Result<TestSummary> {
    let mut summary = TestSummary::default();
    for line in BufReader::new(output).split(b'\n') {
        let line = line?;
        let line = String::from_utf8_lossy(&line);
        println!("{line}");
        summary.add_line(&line);
    }
    Ok(summary)
}

fn judge_tests(summary: &TestSummary, succeeded: bool, known_failures: &KnownFailures) -> Verdict {
    let unlisted_failures = summary.unlisted_failures(known_failures);
    for test in &unlisted_failures {
        println!("FAILED: {test}");
    }
    if summary.is_incomplete() {
        println!("FAILED: a test target did not build or ended without a result");
    }
    let known = check_known_failures(summary, known_failures);
    let explained = succeeded || !summary.failures().is_empty();
    Verdict::from(unlisted_failures.is_empty() && !summary.is_incomplete() && explained) & known
}

/// Prints the result of each listed test; an entry without a matching test fails the run.
fn check_known_failures(summary: &TestSummary, known_failures: &KnownFailures) -> Verdict {
    let mut verdict = Verdict::Passed;
    for entry in &known_failures.0 {
        let has_failed = summary.failures().iter().any(|test| entry.matches(test));
        let (test, cause, issue) = (&entry.test, &entry.cause, &entry.issue);
        if has_failed {
            println!("known red: {test} | {cause} | {issue}");
        } else if summary.has_run(known_failures, test) {
            println!("known red passes, remove it from {KNOWN_RED_FILE}: {test}");
        } else {
            println!("FAILED: {KNOWN_RED_FILE} names a test that does not exist: {test}");
            verdict = Verdict::Failed;
        }
    }
    verdict
}

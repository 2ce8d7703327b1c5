//! Runner for chores that start Swiftcart processes from a release build.
//!
//! The processes are terminated when the chore ends, fails or is interrupted.

use std::env;
use std::future::Future;
use std::os::unix::process::CommandExt;
use std::process::Command;

use tokio::runtime::Runtime;
use tokio::signal::unix::{SignalKind, signal};

use crate::bench::Poller;
use crate::command::{cargo, succeeds};
use crate::fleet::release_binary;
use crate::{Error, Verdict, packages};

/// Environment variable that marks the release build of this program.
const RELEASE_BUILD_VAR: &str = "SWIFTCART_XTASK_BUILT";

/// Builds the workspace for release, then runs `chore` in the release build of this program.
///
/// This program generates the callers' load. In a debug build, the measurements would include
/// its own overhead.
pub(crate) fn run<F>(
    args: &[String],
    chore: impl FnOnce(Vec<String>) -> F,
) -> Result<Verdict, Error>
where
    F: Future<Output = Result<Verdict, Error>>,
{
    match env::var_os(RELEASE_BUILD_VAR) {
        Some(_) => runtime()?.block_on(run_until_signal(chore(args.to_vec()))),
        None => build_and_run(),
    }
}

/// Polls the platform until the process is terminated, as the baseline of the benchmark.
pub(crate) fn poll(args: &[String]) -> Result<Verdict, Error> {
    let poller = Poller::parse(args)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|e| Error::Program("poller".to_owned(), e))?;
    runtime.block_on(poller.run());
    Ok(Verdict::Passed)
}

fn build_and_run() -> Result<Verdict, Error> {
    packages::ensure()?;
    println!("==> cargo build --release");
    let build = [
        "build",
        "--release",
        "--workspace",
        "--bins",
        "--locked",
        "--quiet",
    ];
    if !succeeds("cargo build", &mut cargo(&build))? {
        return Ok(Verdict::Failed);
    }
    let mut command = Command::new(release_binary("xtask"));
    command
        .args(env::args_os().skip(1))
        .env(RELEASE_BUILD_VAR, "1");
    // Replaces this process, so that signals reach the process that owns the children.
    Err(Error::Program("xtask".to_owned(), command.exec()))
}

fn runtime() -> Result<Runtime, Error> {
    Runtime::new().map_err(|e| Error::Program("xtask".to_owned(), e))
}

/// Runs `chore` until it completes or SIGINT or SIGTERM arrives.
///
/// The future is dropped in both cases, which terminates its child processes.
async fn run_until_signal(
    chore: impl Future<Output = Result<Verdict, Error>>,
) -> Result<Verdict, Error> {
    let listen = |kind| signal(kind).map_err(|e| Error::Program("xtask".to_owned(), e));
    let mut interrupt = listen(SignalKind::interrupt())?;
    let mut terminate = listen(SignalKind::terminate())?;
    tokio::select! {
        result = chore => result,
        _ = interrupt.recv() => Err(Error::Interrupted),
        _ = terminate.recv() => Err(Error::Interrupted),
    }
}

//! Chores that run processes of the product: built for release, ended on every way out.

use std::env;
use std::future::Future;
use std::os::unix::process::CommandExt;
use std::process::Command;

use tokio::runtime::Runtime;
use tokio::signal::unix::{SignalKind, signal};

use crate::bench::Poller;
use crate::command::{cargo, succeeds};
use crate::fleet::program;
use crate::{Error, Verdict, packages};

/// Set in the environment of the release build of this program.
const BUILT: &str = "SWIFTCART_XTASK_BUILT";

/// Builds everything for release, then runs `chore` in the release build of this program.
///
/// The callers' load runs inside this program: a debug build would be measured itself.
pub(crate) fn run<F>(
    args: &[String],
    chore: impl FnOnce(Vec<String>) -> F,
) -> Result<Verdict, Error>
where
    F: Future<Output = Result<Verdict, Error>>,
{
    match env::var_os(BUILT) {
        Some(_) => runtime()?.block_on(until_signal(chore(args.to_vec()))),
        None => build_and_run(),
    }
}

/// Polls the platform until the process is ended: the bench's baseline.
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
    let mut command = Command::new(program("xtask"));
    command.args(env::args_os().skip(1)).env(BUILT, "1");
    // In place of this process, so that a signal reaches the one that holds the children.
    Err(Error::Program("xtask".to_owned(), command.exec()))
}

fn runtime() -> Result<Runtime, Error> {
    Runtime::new().map_err(|e| Error::Program("xtask".to_owned(), e))
}

/// Runs `chore` until it ends or a signal asks to stop; what it holds is dropped either way.
async fn until_signal(
    chore: impl Future<Output = Result<Verdict, Error>>,
) -> Result<Verdict, Error> {
    let listen = |kind| signal(kind).map_err(|e| Error::Program("xtask".to_owned(), e));
    let mut interrupt = listen(SignalKind::interrupt())?;
    let mut terminate = listen(SignalKind::terminate())?;
    tokio::select! {
        ended = chore => ended,
        _ = interrupt.recv() => Err(Error::Interrupted),
        _ = terminate.recv() => Err(Error::Interrupted),
    }
}

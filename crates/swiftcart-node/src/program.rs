//! The daemon's way from its command line to its end, shared by every program around a node.

use std::path::Path;
use std::process::ExitCode;

use slog::{Logger, error, info, warn};
use tokio::runtime::{Builder, Runtime};
use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::args::Args;
use crate::edge::PlatformAdapters;
use crate::logging::{Event, close as close_log, open as open_log};
use crate::node::Node;
use crate::settings::Settings;

/// The exit code when the command line or the settings are refused.
const REFUSED: u8 = 2;

/// The exit code when the node cannot run.
const FAILED: u8 = 1;

/// The signals that a node answers.
struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

/// Runs the program `name` by the command line of this process until it is asked to stop.
///
/// `edges` says what the node has of the platform besides the log.
pub fn run_program(
    name: &'static str,
    edges: impl FnOnce(&Settings) -> PlatformAdapters,
) -> ExitCode {
    match Args::parse(std::env::args_os().skip(1)) {
        Ok(Args::Help(text)) => say(&text),
        Ok(Args::Version) => say(&format!("{name} {}\n", env!("CARGO_PKG_VERSION"))),
        Ok(Args::Check(file)) => with_settings(name, &file, |_| ExitCode::SUCCESS),
        Ok(Args::Run(file)) => with_settings(name, &file, |settings| {
            let edges = edges(&settings);
            run(&file, settings, edges)
        }),
        Err(err) => refuse(name, &err),
    }
}

fn say(text: &str) -> ExitCode {
    print!("{text}");
    ExitCode::SUCCESS
}

fn refuse(name: &str, err: &dyn std::error::Error) -> ExitCode {
    eprintln!("{name}: {err}");
    ExitCode::from(REFUSED)
}

fn with_settings(name: &str, file: &Path, then: impl FnOnce(Settings) -> ExitCode) -> ExitCode {
    match Settings::load(file) {
        Ok(settings) => then(settings),
        Err(err) => refuse(name, &err),
    }
}

fn run(file: &Path, settings: Settings, edges: PlatformAdapters) -> ExitCode {
    let (logger, guard) = open_log(settings.log.level);
    let code = match runtime(settings.threads) {
        Ok(runtime) => runtime.block_on(serve(file, settings, edges, logger)),
        Err(err) => fail(&logger, &err),
    };
    close_log(guard);
    code
}

/// Creates the runtime; one thread needs no others and less memory.
fn runtime(threads: u32) -> std::io::Result<Runtime> {
    match threads {
        1 => Builder::new_current_thread().enable_all().build(),
        0 => Builder::new_multi_thread().enable_all().build(),
        n => Builder::new_multi_thread()
            .worker_threads(n as usize)
            .enable_all()
            .build(),
    }
}

async fn serve(
    file: &Path,
    settings: Settings,
    edges: PlatformAdapters,
    logger: Logger,
) -> ExitCode {
    let mut signals = match Signals::new() {
        Ok(signals) => signals,
        Err(err) => return fail(&logger, &err),
    };
    let node = match Node::start_with(settings, edges, logger.clone()).await {
        Ok(node) => node,
        Err(err) => return fail(&logger, &err),
    };
    signals.until_stop(|| reload(file, &node, &logger)).await;
    tokio::select! {
        () = node.stop() => ExitCode::SUCCESS,
        () = signals.until_stop(|| {}) => {
            warn!(logger, ""; "event" => Event::Killed);
            ExitCode::from(FAILED)
        }
    }
}

/// Reads the settings again; what differs is in force after the next start.
fn reload(file: &Path, node: &Node, logger: &Logger) {
    match Settings::load(file) {
        Ok(new) => {
            let changed = new != node.shared().settings;
            info!(logger, ""; "event" => Event::Reloaded, "changed" => changed,
                "in_force" => if changed { "after a restart" } else { "already" });
        }
        Err(err) => {
            warn!(logger, ""; "event" => Event::Reloaded, "error" => %err,
                "in_force" => "the settings before");
        }
    }
}

fn fail(logger: &Logger, err: &dyn std::error::Error) -> ExitCode {
    error!(logger, ""; "event" => Event::Failed, "error" => %err);
    ExitCode::from(FAILED)
}

impl Signals {
    fn new() -> std::io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }

    /// Waits for a signal to stop; calls `reload` for each one to reload.
    async fn until_stop(&mut self, reload: impl Fn()) {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => return,
                _ = self.interrupt.recv() => return,
                Some(()) = self.hangup.recv() => reload(),
            }
        }
    }
}

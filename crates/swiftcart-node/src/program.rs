//! Main function of the programs that run a node: command line, runtime and signals.

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

/// Exit code for an invalid command line or invalid settings.
const EXIT_REFUSED: u8 = 2;

/// Exit code for a node that cannot start or that a second signal ends.
const EXIT_FAILED: u8 = 1;

/// Unix signals that a node handles.
struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

/// Runs the program `name` with the command line of this process until a signal stops it.
///
/// `adapters` returns the platform adapters of the node, depending on its settings.
pub fn run_program(
    name: &'static str,
    adapters: impl FnOnce(&Settings) -> PlatformAdapters,
) -> ExitCode {
    match Args::parse(std::env::args_os().skip(1)) {
        Ok(Args::Help(text)) => print_text(&text),
        Ok(Args::Version) => print_text(&format!("{name} {}\n", env!("CARGO_PKG_VERSION"))),
        Ok(Args::Check(file)) => with_settings(name, &file, |_| ExitCode::SUCCESS),
        Ok(Args::Run(file)) => with_settings(name, &file, |settings| {
            let adapters = adapters(&settings);
            run(&file, settings, adapters)
        }),
        Err(err) => refuse(name, &err),
    }
}

fn print_text(text: &str) -> ExitCode {
    print!("{text}");
    ExitCode::SUCCESS
}

fn refuse(name: &str, err: &dyn std::error::Error) -> ExitCode {
    eprintln!("{name}: {err}");
    ExitCode::from(EXIT_REFUSED)
}

fn with_settings(name: &str, file: &Path, then: impl FnOnce(Settings) -> ExitCode) -> ExitCode {
    match Settings::load(file) {
        Ok(settings) => then(settings),
        Err(err) => refuse(name, &err),
    }
}

fn run(file: &Path, settings: Settings, adapters: PlatformAdapters) -> ExitCode {
    let (logger, guard) = open_log(settings.log.level);
    let code = match runtime(settings.threads) {
        Ok(runtime) => runtime.block_on(serve(file, settings, adapters, logger)),
        Err(err) => fail(&logger, &err),
    };
    close_log(guard);
    code
}

/// Creates the runtime for the given number of threads, where 0 means one per processor.
///
/// A single thread uses the current-thread runtime, which needs less memory.
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
    adapters: PlatformAdapters,
    logger: Logger,
) -> ExitCode {
    let mut signals = match Signals::new() {
        Ok(signals) => signals,
        Err(err) => return fail(&logger, &err),
    };
    let node = match Node::start_with(settings, adapters, logger.clone()).await {
        Ok(node) => node,
        Err(err) => return fail(&logger, &err),
    };
    signals.until_stop(|| reload(file, &node, &logger)).await;
    tokio::select! {
        () = node.stop() => ExitCode::SUCCESS,
        () = signals.until_stop(|| {}) => {
            warn!(logger, ""; "event" => Event::Killed);
            ExitCode::from(EXIT_FAILED)
        }
    }
}

/// Reads the settings again. Changes take effect after a restart.
fn reload(file: &Path, node: &Node, logger: &Logger) {
    match Settings::load(file) {
        Ok(new) => {
            let changed = new != node.shared().settings;
            info!(logger, ""; "event" => Event::Reloaded, "changed" => changed,
                "in_force" => if changed { "after a restart" } else { "already" });
        }
        Err(err) => {
            warn!(logger, ""; "event" => Event::Reloaded, "error" => %err,
                "in_force" => "the previous settings");
        }
    }
}

fn fail(logger: &Logger, err: &dyn std::error::Error) -> ExitCode {
    error!(logger, ""; "event" => Event::Failed, "error" => %err);
    ExitCode::from(EXIT_FAILED)
}

impl Signals {
    fn new() -> std::io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }

    /// Waits for a signal to stop. Calls `reload` for each hangup signal.
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

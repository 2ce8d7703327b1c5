//! `swiftcartd`, the node beside a backend server.

use std::path::Path;
use std::process::ExitCode;

use slog::{Logger, error, warn};
use swiftcart_node::{Args, Event, Node, Settings, open_log};
use tokio::signal::unix::{Signal, SignalKind, signal};

/// The exit code when the command line or the settings are refused.
const REFUSED: u8 = 2;

/// The exit code when the node cannot run.
const FAILED: u8 = 1;

fn main() -> ExitCode {
    match Args::parse(std::env::args_os().skip(1)) {
        Ok(Args::Help(text)) => say(&text),
        Ok(Args::Version) => say(concat!("swiftcartd ", env!("CARGO_PKG_VERSION"), "\n")),
        Ok(Args::Check(file)) => with_settings(&file, |_| ExitCode::SUCCESS),
        Ok(Args::Run(file)) => with_settings(&file, run),
        Err(err) => refuse(&err),
    }
}

fn say(text: &str) -> ExitCode {
    print!("{text}");
    ExitCode::SUCCESS
}

fn refuse(err: &dyn std::error::Error) -> ExitCode {
    eprintln!("swiftcartd: {err}");
    ExitCode::from(REFUSED)
}

fn with_settings(file: &Path, then: impl FnOnce(Settings) -> ExitCode) -> ExitCode {
    match Settings::load(file) {
        Ok(settings) => then(settings),
        Err(err) => refuse(&err),
    }
}

fn run(settings: Settings) -> ExitCode {
    let (logger, guard) = open_log(settings.log.level);
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build();
    let code = match runtime {
        Ok(runtime) => runtime.block_on(serve(settings, logger)),
        Err(err) => fail(&logger, &err),
    };
    drop(guard);
    code
}

async fn serve(settings: Settings, logger: Logger) -> ExitCode {
    let signals = signal(SignalKind::terminate())
        .and_then(|term| signal(SignalKind::interrupt()).map(|int| (term, int)));
    let (mut term, mut int) = match signals {
        Ok(signals) => signals,
        Err(err) => return fail(&logger, &err),
    };
    let node = match Node::start(settings, logger.clone()).await {
        Ok(node) => node,
        Err(err) => return fail(&logger, &err),
    };
    either(&mut term, &mut int).await;
    tokio::select! {
        () = node.stop() => ExitCode::SUCCESS,
        () = either(&mut term, &mut int) => {
            warn!(logger, ""; "event" => Event::Killed);
            ExitCode::from(FAILED)
        }
    }
}

async fn either(term: &mut Signal, int: &mut Signal) {
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
}

fn fail(logger: &Logger, err: &dyn std::error::Error) -> ExitCode {
    error!(logger, ""; "event" => Event::Failed, "error" => %err);
    ExitCode::from(FAILED)
}

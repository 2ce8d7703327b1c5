//! The command line that the three programs share.

use std::fs;
use std::future::Future;
use std::net::SocketAddr;
use std::process::ExitCode;

use getopts::{Matches, Options};
use serde::de::DeserializeOwned;
use tokio::signal::unix::{SignalKind, signal};

use crate::Error;

/// Holds the parsed command line of a stand-in program.
#[derive(Debug)]
pub struct Args {
    matches: Matches,
}

impl Args {
    /// Parses the process's arguments, or returns `None` after printing the help.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Args`] for an argument that no stand-in knows.
    pub fn parse(summary: &str) -> Result<Option<Self>, Error> {
        let mut opts = Options::new();
        opts.optopt(
            "a",
            "addr",
            "address to listen on, port 0 for any",
            "IP:PORT",
        )
        .optopt(
            "s",
            "settings",
            "settings as JSON, or a file that holds them",
            "JSON|FILE",
        )
        .optflag("h", "help", "print this help");
        let matches = opts.parse(std::env::args().skip(1))?;
        if matches.opt_present("help") {
            println!("{}", opts.usage(summary));
            return Ok(None);
        }
        Ok(Some(Self { matches }))
    }

    /// Returns the address to listen on; `127.0.0.1:0` unless it is given.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Addr`] when it is no address.
    pub fn addr(&self) -> Result<SocketAddr, Error> {
        match self.matches.opt_str("addr") {
            Some(text) => text.parse().map_err(|_| Error::Addr(text)),
            None => Ok(SocketAddr::from(([127, 0, 0, 1], 0))),
        }
    }

    /// Returns the settings, or the defaults when none are given.
    ///
    /// # Errors
    ///
    /// Returns [`Error::File`] or [`Error::Settings`] when they cannot be read.
    pub fn settings<T: DeserializeOwned>(&self) -> Result<T, Error> {
        let text = match self.matches.opt_str("settings") {
            None => "{}".to_owned(),
            Some(text) if text.trim_start().starts_with('{') => text,
            Some(path) => fs::read_to_string(&path).map_err(|err| Error::File(path, err))?,
        };
        Ok(serde_json::from_str(&text)?)
    }
}

/// Runs a stand-in program and turns its error into a line and an exit code.
#[must_use]
pub fn exit(result: Result<(), Error>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("error cause={:?}", err.to_string());
            ExitCode::FAILURE
        }
    }
}

/// Completes when the process is asked to stop (SIGTERM or SIGINT).
///
/// # Errors
///
/// Returns [`Error::Output`] when the signals cannot be awaited.
pub fn stop_signal() -> Result<impl Future<Output = ()>, Error> {
    let mut term = signal(SignalKind::terminate())?;
    let mut int = signal(SignalKind::interrupt())?;
    Ok(async move {
        tokio::select! {
            _ = term.recv() => {}
            _ = int.recv() => {}
        }
    })
}

//! Command line of the three stand-in programs.

use std::fs;
use std::future::Future;
use std::net::SocketAddr;
use std::process::ExitCode;

use getopts::{Matches, Options};
use serde::de::DeserializeOwned;
use tokio::signal::unix::{SignalKind, signal};

use crate::Error;

/// Parsed command line of a stand-in program.
#[derive(Debug)]
pub struct Args {
    matches: Matches,
}

impl Args {
    /// Parses the arguments of the process.
    ///
    /// Returns `None` after printing the help text for `--help`.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Args`] for an unknown or malformed argument.
    pub fn parse(summary: &str) -> Result<Option<Self>, Error> {
        let mut opts = Options::new();
        opts.optopt(
            "a",
            "addr",
            "address to listen on; port 0 selects a free port",
            "IP:PORT",
        )
        .optopt(
            "s",
            "settings",
            "settings as JSON, or the path of a JSON file",
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

    /// Returns the address to listen on, `127.0.0.1:0` by default.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Addr`] when the argument is not a socket address.
    pub fn addr(&self) -> Result<SocketAddr, Error> {
        match self.matches.opt_str("addr") {
            Some(text) => text.parse().map_err(|_| Error::Addr(text)),
            None => Ok(SocketAddr::from(([127, 0, 0, 1], 0))),
        }
    }

    /// Returns the settings, with defaults for the fields that are not given.
    ///
    /// # Errors
    ///
    /// Returns [`Error::File`] when the settings file cannot be read, and [`Error::Settings`] when
    /// the settings do not match the expected fields.
    pub fn settings<T: DeserializeOwned>(&self) -> Result<T, Error> {
        let text = match self.matches.opt_str("settings") {
            None => "{}".to_owned(),
            Some(text) if text.trim_start().starts_with('{') => text,
            Some(path) => fs::read_to_string(&path).map_err(|err| Error::File(path, err))?,
        };
        Ok(serde_json::from_str(&text)?)
    }
}

/// Converts the result of a stand-in program to an exit code and logs its error to stderr.
#[must_use]
pub fn exit_code(result: Result<(), Error>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("error cause={:?}", err.to_string());
            ExitCode::FAILURE
        }
    }
}

/// Returns a future that completes when the process receives SIGTERM or SIGINT.
///
/// # Errors
///
/// Returns [`Error::Output`] when the signal handlers cannot be installed.
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

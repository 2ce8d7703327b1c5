//! Errors of commands and their exit codes.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use quick_error::quick_error;
use swiftcart_core::{Offset, PublishId, ServiceName, Version};
use swiftcart_platform::PlatformError;

use crate::{AccountError, Exit, Fault, SettingsError};

/// Maximum number of sheet faults that a message lists; it only counts the rest.
const MAX_LISTED_FAULTS: usize = 50;

quick_error! {
    /// Failure of a command. The message says what to do about it.
    #[derive(Debug)]
    pub enum Error {
        /// An option is unknown, lacks its value or is given twice.
        Option(e: getopts::Fail) {
            from()
            display("{e}; see swiftcart --help")
            source(e)
        }
        /// The command is unknown.
        UnknownCommand(words: String) {
            display("unknown command {words:?}; see swiftcart --help")
        }
        /// An argument is missing.
        MissingArgument(what: &'static str) {
            display("{what} is missing; see --help of the command")
        }
        /// There are more arguments than the command takes.
        ExtraArgument(argument: String) {
            display("unexpected argument {argument:?}; see --help of the command")
        }
        /// The value of an option is not valid.
        InvalidValue(option: &'static str, value: String, hint: &'static str) {
            display("--{option}: {value:?} is not valid; {hint}")
        }
        /// A required setting is neither on the command line nor in the settings file.
        MissingSetting(what: &'static str, hint: &'static str) {
            display("{what} is not set; {hint}")
        }
        /// The settings file is not valid.
        Settings(e: SettingsError) {
            from()
            display("{e}")
            source(e)
        }
        /// A file cannot be read or written.
        File(path: PathBuf, e: io::Error) {
            display("{}: {e}", path.display())
            source(e)
        }
        /// The output file exists already.
        FileExists(path: PathBuf) {
            display("{} already exists; use --force to overwrite it", path.display())
        }
        /// The file is too large to be a sheet.
        FileTooLarge(path: PathBuf, limit: u64) {
            display("{}: larger than {limit} bytes, the limit for a sheet", path.display())
        }
        /// The sheet has invalid cells.
        Sheet(path: PathBuf, faults: Vec<Fault>) {
            display("{}", format_faults(path, faults))
        }
        /// The sheet has no base version.
        MissingBase(path: PathBuf) {
            display("{}: no row of kind base; pull the table again or give --base N", path.display())
        }
        /// A service given by `--only` is in neither the sheet nor the base version.
        UnknownService(name: ServiceName) {
            display("--only: neither the sheet nor the table has a service {name:?}; correct the name", name = name.as_str())
        }
        /// The version was never accepted, or its records have expired.
        UnknownVersion(version: Version, current: Version) {
            display("version {version} was not accepted or is no longer kept; the current version is {current}")
        }
        /// The platform is unreachable; nothing was published.
        Platform(addr: SocketAddr, e: PlatformError) {
            display("platform {addr}: {e}; nothing was changed, try again later")
            source(e)
        }
        /// The oldest records have expired and no checkpoint covers them.
        NoCheckpoint(first: Offset) {
            display("records before offset {first} have expired and no checkpoint covers them")
        }
        /// Records expired faster than they were read.
        Expired {
            display("records expire faster than they can be read; try again")
        }
        /// The log has a record of a rule that this release does not know.
        NewerRule(rule: u16) {
            display("the log has records of rule {rule}, which this release does not know; upgrade swiftcart")
        }
        /// The publish does not fit into one record.
        PublishTooLarge(bytes: usize, limit: usize) {
            display("the publish has {bytes} bytes, more than the limit of {limit}; publish fewer services at once with --only")
        }
        /// The platform may or may not have appended the publish.
        OutcomeUnknown(id: PublishId, e: PlatformError) {
            display("outcome unknown ({e}): run the same command again with --id {id} to resolve it; the sheet is published at most once")
            source(e)
        }
        /// The id belongs to a publish with other edits.
        IdReused(id: PublishId) {
            display("--id {id} was used for a publish with other edits; leave --id out for a new publish")
        }
        /// The operating system provides no random numbers.
        Random(e: rand::rand_core::OsError) {
            from()
            display("could not generate a random id ({e}); choose one with --id HEX")
            source(e)
        }
        /// No node answered the request for its membership list.
        NodesUnreachable(tried: Vec<SocketAddr>) {
            display("none of the nodes {tried:?} answered; name another node with --node IP:PORT")
        }
        /// No log file has a line of the request.
        RequestNotFound(id: String, files: usize) {
            display("none of the {files} files has a line of the request {id:?}; \
                give the logs of all nodes from the time of the request, and the id as the caller sent it")
        }
        /// The account change does not apply to the current table.
        Account(e: AccountError) {
            from()
            display("{e}")
            source(e)
        }
        /// The async runtime could not be started.
        Runtime(e: io::Error) {
            display("the runtime did not start: {e}")
            source(e)
        }
    }
}

impl Error {
    /// Returns the exit code for this failure.
    #[must_use]
    pub const fn exit(&self) -> Exit {
        match self {
            Self::Option(_)
            | Self::UnknownCommand(_)
            | Self::MissingArgument(_)
            | Self::ExtraArgument(_) => Exit::Usage,
            Self::InvalidValue(..) | Self::MissingSetting(..) | Self::Settings(_) => Exit::Usage,
            Self::FileTooLarge(..) | Self::Sheet(..) | Self::MissingBase(_) => Exit::Usage,
            Self::UnknownService(_) | Self::UnknownVersion(..) | Self::IdReused(_) => Exit::Usage,
            Self::PublishTooLarge(..) | Self::FileExists(_) => Exit::Usage,
            Self::Platform(..) => Exit::Unreachable,
            Self::OutcomeUnknown(..) | Self::Account(AccountError::OutcomeUnknown(..)) => {
                Exit::Unknown
            }
            Self::Account(_) => Exit::Usage,
            Self::File(..) | Self::NoCheckpoint(_) | Self::Expired | Self::NewerRule(_) => {
                Exit::Failed
            }
            Self::Random(_) | Self::NodesUnreachable(_) | Self::Runtime(_) => Exit::Failed,
            Self::RequestNotFound(..) => Exit::Failed,
        }
    }
}

fn format_faults(path: &std::path::Path, faults: &[Fault]) -> String {
    let line = |fault: &Fault| format!("{}:{fault}", path.display());
    let mut lines: Vec<_> = faults.iter().take(MAX_LISTED_FAULTS).map(line).collect();
    match faults.len().saturating_sub(MAX_LISTED_FAULTS) {
        0 => {}
        more => lines.push(format!("{}: and {more} more faults", path.display())),
    }
    lines.join("\n")
}

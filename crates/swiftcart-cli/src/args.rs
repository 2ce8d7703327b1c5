//! The command line.

mod accounts;
mod help;
mod value;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use getopts::{Matches, Options, ParsingStyle};
use swiftcart_core::{PublishId, ServiceName, Version};

use crate::{AccountChange, Error, MAX_NODES, Settings};
use value::{ADDR, FORMAT, NODE, file, limit, publish_id, seconds, value, version};

/// The time that `--wait` waits unless it is given a number of seconds.
pub const DEFAULT_WAIT: Duration = Duration::from_secs(30);

/// The number of publishes that `history` shows unless it is given one.
pub const DEFAULT_LIMIT: usize = 20;

/// The most publishes that `history` shows.
pub const MAX_LIMIT: usize = 10_000;

/// Holds the whole command line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Invocation {
    /// The settings file with the command line's options laid over it.
    pub settings: Settings,
    /// Whether to print JSON instead of text.
    pub json: bool,
    /// What to do.
    pub command: Command,
}

/// What the operator asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// Print this help.
    Help(String),
    /// Print the program's version.
    About,
    /// Write the table as a sheet.
    Pull(Pull),
    /// Check a sheet without the platform.
    Check(PathBuf),
    /// Compare a sheet with a version.
    Diff(Diff),
    /// Publish a sheet.
    Publish(Publishing),
    /// Show the last publishes; this many.
    History(usize),
    /// Show which nodes have which version.
    Status,
    /// Tell from log files what became of a request.
    Explain(Explain),
    /// Show the client accounts.
    Accounts,
    /// Change a client account.
    Account(AccountChange),
}

/// Options of `explain`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Explain {
    /// The request's id.
    pub id: String,
    /// The log files of the nodes.
    pub files: Vec<PathBuf>,
}

/// Options of `table pull`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Pull {
    /// The version to write, or the current one.
    pub version: Option<Version>,
    /// The form to write.
    pub format: Format,
    /// The file to write, or standard output.
    pub output: Option<PathBuf>,
    /// Whether to overwrite the file.
    pub force: bool,
}

/// Options of `table diff`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Diff {
    /// The sheet.
    pub file: PathBuf,
    /// The version to compare with, or the current one.
    pub against: Option<Version>,
    /// Which rows of the sheet count.
    pub scope: Scope,
}

/// Options of `table publish`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Publishing {
    /// The sheet.
    pub file: PathBuf,
    /// The id, to settle an earlier publish; drawn at random otherwise.
    pub id: Option<PublishId>,
    /// The version that the sheet was made from, in place of the sheet's own.
    pub base: Option<Version>,
    /// How long to wait until the version is in force everywhere.
    pub wait: Option<Duration>,
    /// Which rows of the sheet count.
    pub scope: Scope,
}

/// Says which rows of a sheet count and whether missing ones are removed.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Scope {
    /// The services to look at; all that the sheet names when empty.
    pub only: BTreeSet<ServiceName>,
    /// Whether rows of these services that the sheet lacks are removed.
    pub prune: bool,
}

/// The form of a pulled table.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Format {
    /// A sheet for a spreadsheet.
    #[default]
    Csv,
    /// JSON for scripts.
    Json,
}

impl Invocation {
    /// Reads the command line, without the program's name, and the settings file it names.
    ///
    /// # Errors
    ///
    /// The command line or the settings file is not valid.
    pub fn parse(args: &[String]) -> Result<Self, Error> {
        let mut leading = help::globals();
        leading
            .optflag("V", "version", "")
            .parsing_style(ParsingStyle::StopAtFirstFree);
        let head = leading.parse(args)?;
        let words: Vec<_> = head.free.iter().map(String::as_str).collect();
        let (command, rest) = match words[..] {
            _ if head.opt_present("version") => return Ok(Self::plain(Command::About)),
            [] if head.opt_present("help") => return Ok(Self::plain(Command::Help(help::all()))),
            [] => return Err(Error::Missing("the command")),
            ["help", ..] => return Ok(Self::plain(Command::Help(help::all()))),
            ["table", "pull", ..] => (help::Name::Pull, 2),
            ["table", "check", ..] => (help::Name::Check, 2),
            ["table", "diff", ..] => (help::Name::Diff, 2),
            ["table", "publish", ..] => (help::Name::Publish, 2),
            ["history", ..] => (help::Name::History, 1),
            ["status", ..] => (help::Name::Status, 1),
            ["explain", ..] => (help::Name::Explain, 1),
            ["table" | "account", "--help" | "-h", ..] => {
                return Ok(Self::plain(Command::Help(help::all())));
            }
            ["account", word, ..] => match accounts::Name::of(word) {
                Some(name) => (help::Name::Account(name), 2),
                None => return Err(Error::Command(format!("account {word}"))),
            },
            ["table", word, ..] => return Err(Error::Command(format!("table {word}"))),
            [word, ..] => return Err(Error::Command(word.into())),
        };
        let own = command.options().parse(joined(&head.free[rest..]))?;
        match head.opt_present("help") || own.opt_present("help") {
            true => Ok(Self::plain(Command::Help(command.help()))),
            false => Self::build(command, &head, &own),
        }
    }

    fn plain(command: Command) -> Self {
        Self {
            settings: Settings::default(),
            json: false,
            command,
        }
    }

    fn build(name: help::Name, head: &Matches, own: &Matches) -> Result<Self, Error> {
        let settings = settings(head, own)?;
        let json = head.opt_present("json") || own.opt_present("json");
        let command = match name {
            help::Name::Pull => Command::Pull(pull(own, json)?),
            help::Name::Check => Command::Check(file(own)?),
            help::Name::Diff => Command::Diff(diff(own)?),
            help::Name::Publish => Command::Publish(publishing(own)?),
            help::Name::History => Command::History(limit(own)?),
            help::Name::Status => Command::Status,
            help::Name::Explain => Command::Explain(explain(own)?),
            help::Name::Account(name) => accounts::command(name, own)?,
        };
        match own.free.get(name.arguments()) {
            Some(extra) => Err(Error::Extra(extra.clone())),
            None => Ok(Self {
                settings,
                json,
                command,
            }),
        }
    }
}

/// Joins `--wait 60`, which the parser takes only as `--wait=60`.
fn joined(args: &[String]) -> Vec<String> {
    let is_number = |arg: &String| arg.parse::<u64>().is_ok();
    let mut joined: Vec<String> = Vec::new();
    for arg in args {
        match joined.last_mut() {
            Some(last) if last == "--wait" && is_number(arg) => *last = format!("--wait={arg}"),
            _ => joined.push(arg.clone()),
        }
    }
    joined
}

/// Lays the command line's options over the settings file.
fn settings(head: &Matches, own: &Matches) -> Result<Settings, Error> {
    let either = |name: &str| own.opt_str(name).or_else(|| head.opt_str(name));
    let mut settings = match either("settings") {
        Some(path) => Settings::load(path.as_ref())?,
        None => Settings::default(),
    };
    if let Some(text) = either("platform") {
        settings.platform = Some(value("platform", &text, ADDR)?);
    }
    if let Some(text) = either("timeout") {
        settings.timeout = seconds("timeout", &text)?;
    }
    if own.opt_defined("author") {
        settings.author = own.opt_str("author").or(settings.author);
    }
    let names = [head.opt_strs("node"), own.opt_strs("node")].concat();
    if names.len() > MAX_NODES {
        return Err(Error::Value("node", names.len().to_string(), NODE));
    }
    let nodes = names.iter().map(|text| value("node", text, NODE));
    let nodes: Vec<SocketAddr> = nodes.collect::<Result<_, _>>()?;
    if !nodes.is_empty() {
        settings.nodes = nodes;
    }
    Ok(settings)
}

fn pull(own: &Matches, json: bool) -> Result<Pull, Error> {
    let format = match own.opt_str("format").as_deref() {
        None if json => Format::Json,
        None | Some("csv") => Format::Csv,
        Some("json") => Format::Json,
        Some(other) => return Err(Error::Value("format", other.into(), FORMAT)),
    };
    Ok(Pull {
        version: version(own, "version")?,
        format,
        output: own.opt_str("output").map(PathBuf::from),
        force: own.opt_present("force"),
    })
}

fn diff(own: &Matches) -> Result<Diff, Error> {
    Ok(Diff {
        file: file(own)?,
        against: version(own, "against")?,
        scope: scope(own),
    })
}

fn publishing(own: &Matches) -> Result<Publishing, Error> {
    let id = own.opt_str("id");
    let wait = match own.opt_str("wait") {
        Some(text) => Some(seconds("wait", &text)?),
        None => own.opt_present("wait").then_some(DEFAULT_WAIT),
    };
    Ok(Publishing {
        file: file(own)?,
        id: id.map(|text| publish_id(&text)).transpose()?,
        base: version(own, "base")?,
        wait,
        scope: scope(own),
    })
}

fn explain(own: &Matches) -> Result<Explain, Error> {
    match &own.free[..] {
        [] => Err(Error::Missing("the request's id")),
        [_] => Err(Error::Missing("the log file")),
        [id, files @ ..] => Ok(Explain {
            id: id.clone(),
            files: files.iter().map(PathBuf::from).collect(),
        }),
    }
}

fn scope(own: &Matches) -> Scope {
    let only = own.opt_strs("only").into_iter().map(ServiceName::new);
    Scope {
        only: only.collect(),
        prune: own.opt_present("prune"),
    }
}

/// Adds the options that every command has.
fn add_globals(options: &mut Options) -> &mut Options {
    options
        .optopt("p", "platform", "the platform's log", "IP:PORT")
        .optmulti("n", "node", "a node's admin address; repeatable", "IP:PORT")
        .optopt(
            "s",
            "settings",
            "JSON file with platform, nodes, author, timeout_ms",
            "FILE",
        )
        .optopt("", "timeout", "time for the platform to answer", "SECS")
        .optflag("j", "json", "print JSON for scripts")
        .optflag("h", "help", "print this help")
}

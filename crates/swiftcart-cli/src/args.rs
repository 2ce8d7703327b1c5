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
use value::{ADDR_HINT, FORMAT_HINT, NODE_HINT, file, limit, publish_id, seconds, value, version};

/// The time that `--wait` waits unless it is given a number of seconds.
pub const DEFAULT_WAIT: Duration = Duration::from_secs(30);

/// The number of publishes that `history` shows unless it is given one.
pub const DEFAULT_HISTORY_LIMIT: usize = 20;

/// The most publishes that `history` shows.
pub const MAX_HISTORY_LIMIT: usize = 10_000;

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
    Version,
    /// Write the table as a sheet.
    Pull(PullOptions),
    /// Check a sheet without the platform.
    Check(PathBuf),
    /// Compare a sheet with a version.
    Diff(DiffOptions),
    /// Publish a sheet.
    Publish(PublishOptions),
    /// Show the last publishes; this many.
    History(usize),
    /// Show which nodes have which version.
    Status,
    /// Tell from log files what became of a request.
    Explain(ExplainOptions),
    /// Show the client accounts.
    Accounts,
    /// Change a client account.
    Account(AccountChange),
}

/// Options of `explain`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ExplainOptions {
    /// The request's id.
    pub id: String,
    /// The log files of the nodes.
    pub files: Vec<PathBuf>,
}

/// Options of `table pull`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PullOptions {
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
pub struct DiffOptions {
    /// The sheet.
    pub file: PathBuf,
    /// The version to compare with, or the current one.
    pub against: Option<Version>,
    /// Which rows of the sheet count.
    pub scope: Scope,
}

/// Options of `table publish`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PublishOptions {
    /// The sheet.
    pub file: PathBuf,
    /// The id, to settle an earlier publish; drawn at random otherwise.
    pub id: Option<PublishId>,
    /// The version that the sheet was made from, in place of the base row.
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
        let mut global_options = help::globals();
        global_options
            .optflag("V", "version", "")
            .parsing_style(ParsingStyle::StopAtFirstFree);
        let globals = global_options.parse(args)?;
        let words: Vec<_> = globals.free.iter().map(String::as_str).collect();
        let (command, rest) = match words[..] {
            _ if globals.opt_present("version") => return Ok(Self::plain(Command::Version)),
            [] if globals.opt_present("help") => {
                return Ok(Self::plain(Command::Help(help::all())));
            }
            [] => return Err(Error::MissingArgument("the command")),
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
                None => return Err(Error::UnknownCommand(format!("account {word}"))),
            },
            ["table", word, ..] => return Err(Error::UnknownCommand(format!("table {word}"))),
            [word, ..] => return Err(Error::UnknownCommand(word.into())),
        };
        let matches = command
            .options()
            .parse(join_wait_value(&globals.free[rest..]))?;
        match globals.opt_present("help") || matches.opt_present("help") {
            true => Ok(Self::plain(Command::Help(command.help()))),
            false => Self::build(command, &globals, &matches),
        }
    }

    fn plain(command: Command) -> Self {
        Self {
            settings: Settings::default(),
            json: false,
            command,
        }
    }

    fn build(name: help::Name, globals: &Matches, matches: &Matches) -> Result<Self, Error> {
        let settings = settings(globals, matches)?;
        let json = globals.opt_present("json") || matches.opt_present("json");
        let command = match name {
            help::Name::Pull => Command::Pull(pull(matches, json)?),
            help::Name::Check => Command::Check(file(matches)?),
            help::Name::Diff => Command::Diff(diff(matches)?),
            help::Name::Publish => Command::Publish(publishing(matches)?),
            help::Name::History => Command::History(limit(matches)?),
            help::Name::Status => Command::Status,
            help::Name::Explain => Command::Explain(explain(matches)?),
            help::Name::Account(name) => accounts::command(name, matches)?,
        };
        match matches.free.get(name.arguments()) {
            Some(extra) => Err(Error::ExtraArgument(extra.clone())),
            None => Ok(Self {
                settings,
                json,
                command,
            }),
        }
    }
}

/// Joins `--wait 60`, which the parser takes only as `--wait=60`.
fn join_wait_value(args: &[String]) -> Vec<String> {
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
fn settings(globals: &Matches, matches: &Matches) -> Result<Settings, Error> {
    let either = |name: &str| matches.opt_str(name).or_else(|| globals.opt_str(name));
    let mut settings = match either("settings") {
        Some(path) => Settings::load(path.as_ref())?,
        None => Settings::default(),
    };
    if let Some(text) = either("platform") {
        settings.platform = Some(value("platform", &text, ADDR_HINT)?);
    }
    if let Some(text) = either("timeout") {
        settings.timeout = seconds("timeout", &text)?;
    }
    if matches.opt_defined("author") {
        settings.author = matches.opt_str("author").or(settings.author);
    }
    let names = [globals.opt_strs("node"), matches.opt_strs("node")].concat();
    if names.len() > MAX_NODES {
        return Err(Error::InvalidValue(
            "node",
            names.len().to_string(),
            NODE_HINT,
        ));
    }
    let nodes = names.iter().map(|text| value("node", text, NODE_HINT));
    let nodes: Vec<SocketAddr> = nodes.collect::<Result<_, _>>()?;
    if !nodes.is_empty() {
        settings.nodes = nodes;
    }
    Ok(settings)
}

fn pull(matches: &Matches, json: bool) -> Result<PullOptions, Error> {
    let format = match matches.opt_str("format").as_deref() {
        None if json => Format::Json,
        None | Some("csv") => Format::Csv,
        Some("json") => Format::Json,
        Some(other) => return Err(Error::InvalidValue("format", other.into(), FORMAT_HINT)),
    };
    Ok(PullOptions {
        version: version(matches, "version")?,
        format,
        output: matches.opt_str("output").map(PathBuf::from),
        force: matches.opt_present("force"),
    })
}

fn diff(matches: &Matches) -> Result<DiffOptions, Error> {
    Ok(DiffOptions {
        file: file(matches)?,
        against: version(matches, "against")?,
        scope: scope(matches),
    })
}

fn publishing(matches: &Matches) -> Result<PublishOptions, Error> {
    let id = matches.opt_str("id");
    let wait = match matches.opt_str("wait") {
        Some(text) => Some(seconds("wait", &text)?),
        None => matches.opt_present("wait").then_some(DEFAULT_WAIT),
    };
    Ok(PublishOptions {
        file: file(matches)?,
        id: id.map(|text| publish_id(&text)).transpose()?,
        base: version(matches, "base")?,
        wait,
        scope: scope(matches),
    })
}

fn explain(matches: &Matches) -> Result<ExplainOptions, Error> {
    match &matches.free[..] {
        [] => Err(Error::MissingArgument("the request's id")),
        [_] => Err(Error::MissingArgument("the log file")),
        [id, files @ ..] => Ok(ExplainOptions {
            id: id.clone(),
            files: files.iter().map(PathBuf::from).collect(),
        }),
    }
}

fn scope(matches: &Matches) -> Scope {
    let only = matches.opt_strs("only").into_iter().map(ServiceName::new);
    Scope {
        only: only.collect(),
        prune: matches.opt_present("prune"),
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

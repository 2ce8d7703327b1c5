//! Command-line parser.

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

/// Default time limit of `--wait`.
pub const DEFAULT_WAIT: Duration = Duration::from_secs(30);

/// Default number of publishes that `history` shows.
pub const DEFAULT_HISTORY_LIMIT: usize = 20;

/// Maximum number of publishes that `history` shows.
pub const MAX_HISTORY_LIMIT: usize = 10_000;

/// Parsed command line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Invocation {
    /// Settings of the settings file, overridden by the options of the command line.
    pub settings: Settings,
    /// `true` to print JSON instead of text.
    pub json: bool,
    /// Command to run.
    pub command: Command,
}

/// Command with its options.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// Prints this help text.
    Help(String),
    /// Prints the program's version.
    Version,
    /// Writes a table as a sheet or as JSON.
    Pull(PullOptions),
    /// Checks a sheet without contacting the platform.
    Check(PathBuf),
    /// Compares a sheet with a version of the table.
    Diff(DiffOptions),
    /// Publishes a sheet.
    Publish(PublishOptions),
    /// Shows this number of latest publishes.
    History(usize),
    /// Shows the version of each node.
    Status,
    /// Traces a request through the nodes' log files.
    Explain(ExplainOptions),
    /// Lists the client accounts.
    Accounts,
    /// Changes a client account.
    Account(AccountChange),
}

/// Options of `explain`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ExplainOptions {
    /// Id of the request.
    pub id: String,
    /// Log files of the nodes.
    pub files: Vec<PathBuf>,
}

/// Options of `table pull`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PullOptions {
    /// Version to write, by default the current one.
    pub version: Option<Version>,
    /// Output format.
    pub format: Format,
    /// Output file, by default standard output.
    pub output: Option<PathBuf>,
    /// `true` to overwrite an existing file.
    pub force: bool,
}

/// Options of `table diff`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DiffOptions {
    /// Path of the sheet.
    pub file: PathBuf,
    /// Version to compare with, by default the current one.
    pub against: Option<Version>,
    /// Selection of rows.
    pub scope: Scope,
}

/// Options of `table publish`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PublishOptions {
    /// Path of the sheet.
    pub file: PathBuf,
    /// Id of an earlier publish with unknown outcome, by default a new random id.
    pub id: Option<PublishId>,
    /// Base version of the sheet, which overrides its base row.
    pub base: Option<Version>,
    /// Time limit for all live nodes to have the version; `None` does not wait.
    pub wait: Option<Duration>,
    /// Selection of rows.
    pub scope: Scope,
}

/// Selection of the rows to publish or to compare.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Scope {
    /// Services whose rows are selected. An empty set selects all services of the sheet.
    pub only: BTreeSet<ServiceName>,
    /// `true` to remove the rows of these services that are not in the sheet.
    pub prune: bool,
}

/// Output format of `table pull`.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Format {
    /// CSV sheet for a spreadsheet.
    #[default]
    Csv,
    /// JSON for scripts.
    Json,
}

impl Invocation {
    /// Parses the arguments, without the program's name, and reads the settings file that they
    /// name.
    ///
    /// # Errors
    ///
    /// [`Error`] if the command line or the settings file is not valid.
    pub fn parse(args: &[String]) -> Result<Self, Error> {
        let mut global_options = help::globals();
        global_options
            .optflag("V", "version", "")
            .parsing_style(ParsingStyle::StopAtFirstFree);
        let global = global_options.parse(args)?;
        let words: Vec<_> = global.free.iter().map(String::as_str).collect();
        let (command, rest) = match words[..] {
            _ if global.opt_present("version") => return Ok(Self::plain(Command::Version)),
            [] if global.opt_present("help") => return Ok(Self::plain(Command::Help(help::all()))),
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
            .parse(join_wait_value(&global.free[rest..]))?;
        match global.opt_present("help") || matches.opt_present("help") {
            true => Ok(Self::plain(Command::Help(command.help()))),
            false => Self::build(command, &global, &matches),
        }
    }

    fn plain(command: Command) -> Self {
        Self {
            settings: Settings::default(),
            json: false,
            command,
        }
    }

    fn build(name: help::Name, global: &Matches, matches: &Matches) -> Result<Self, Error> {
        let settings = settings(global, matches)?;
        let json = global.opt_present("json") || matches.opt_present("json");
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

/// Joins `--wait 60` to `--wait=60`, the only form that `getopts` accepts for an optional value.
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

/// Reads the settings file and applies the options of the command line over it.
fn settings(global: &Matches, matches: &Matches) -> Result<Settings, Error> {
    let either = |name: &str| matches.opt_str(name).or_else(|| global.opt_str(name));
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
    let names = [global.opt_strs("node"), matches.opt_strs("node")].concat();
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

/// Adds the options that all commands accept.
fn add_globals(options: &mut Options) -> &mut Options {
    options
        .optopt("p", "platform", "address of the platform's log", "IP:PORT")
        .optmulti(
            "n",
            "node",
            "admin address of a node; repeatable",
            "IP:PORT",
        )
        .optopt(
            "s",
            "settings",
            "JSON file with platform, nodes, author, timeout_ms",
            "FILE",
        )
        .optopt(
            "",
            "timeout",
            "time limit for calls to the platform",
            "SECS",
        )
        .optflag("j", "json", "print JSON for scripts")
        .optflag("h", "help", "print this help")
}

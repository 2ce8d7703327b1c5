//! Execution of commands.

mod account;
mod publishing;
mod table;

use std::io::Write;
use std::path::Path;
use std::time::Duration;
use std::{fs, io};

use rand::SeedableRng;
use rand::rngs::{OsRng, SmallRng};
use serde_json::json;
use swiftcart_core::Version;
use swiftcart_platform::{DEFAULT_TIMEOUT, Platform};

use crate::{
    AdminClient, Answer, Command, DecidedPublish, Error, ExplainOptions, Fleet, Invocation, Node,
    ReadOptions, Report, RequestTrace, Retry, Settings, Sheet, StreamReader, render,
};

/// Maximum size of a sheet, in bytes. No valid table needs more.
pub const MAX_SHEET_BYTES: u64 = 4 * 1024 * 1024;

/// Minimum number of calls that can time out within the time limit of a command.
const MIN_TIMED_OUT_CALLS: u32 = 3;

/// Time limit of the `status` command for calls to the platform.
const STATUS_TIMEOUT: Duration = Duration::from_secs(2);

const NO_PLATFORM: &str = "give --platform IP:PORT or a settings file with platform";
const NO_AUTHOR: &str = "give --author NAME or a settings file with author";
const NO_NODES: &str = "give --node IP:PORT or a settings file with nodes";

/// Runs the command and returns what to print.
///
/// # Errors
///
/// [`Error`] if the command fails; [`Error::exit`] returns the exit code.
pub async fn run(invocation: &Invocation) -> Result<Report, Error> {
    let settings = &invocation.settings;
    match &invocation.command {
        Command::Help(text) => Ok(Report::new(text.clone(), json!({ "help": text }))),
        Command::Version => Ok(version_report()),
        Command::Pull(pull) => table::pull(settings, pull, invocation.json).await,
        Command::Check(file) => table::check(file),
        Command::Diff(diff) => table::diff(settings, diff).await,
        Command::Publish(options) => publishing::publish(settings, options).await,
        Command::History(limit) => history(settings, *limit).await,
        Command::Status => status(settings).await,
        Command::Explain(options) => explain(options),
        Command::Accounts => account::list(settings).await,
        Command::Account(change) => account::change(settings, change).await,
    }
}

fn version_report() -> Report {
    let version = env!("CARGO_PKG_VERSION");
    Report::new(
        format!("swiftcart {version}"),
        json!({ "version": version }),
    )
}

fn explain(options: &ExplainOptions) -> Result<Report, Error> {
    let trace = RequestTrace::read(&options.id, &options.files)?;
    Ok(Report::new(trace.text(), trace.json()))
}

async fn history(settings: &Settings, limit: usize) -> Result<Report, Error> {
    let read_options = ReadOptions {
        history_limit: limit,
        ..ReadOptions::default()
    };
    let platform = platform(settings)?;
    let reader = StreamReader::open(&platform, read_options, &mut retry(settings)?).await?;
    let rows = reader.recent_publishes().rev().map(history_row);
    let headings = ["version", "time (UTC)", "author", "verdict", "rows"];
    let text = render::grid(headings, rows.collect());
    let list: Vec<_> = reader.recent_publishes().rev().map(history_json).collect();
    Ok(Report::new(text, json!({ "publishes": list })))
}

fn history_row(decided: &DecidedPublish) -> [String; 5] {
    let publish = &decided.publish;
    let (version, verdict) = match decided.rejection() {
        None => (Version::at(decided.offset).to_string(), "accepted".into()),
        Some(rejection) => ("-".into(), format!("rejected: {rejection}")),
    };
    let rows: Vec<_> = publish.edits.iter().map(|e| e.key.to_string()).collect();
    [
        version,
        render::utc(decided.at_ms),
        publish.author.clone(),
        verdict,
        rows.join("; "),
    ]
}

fn history_json(decided: &DecidedPublish) -> serde_json::Value {
    let publish = &decided.publish;
    let edits = publish.edits.iter();
    let edits = edits.map(|e| {
        let mut json = render::row_json(&e.key, e.row.as_ref());
        json["removed"] = json!(e.row.is_none());
        json
    });
    let accepted = decided.rejection().is_none();
    json!({
        "version": accepted.then(|| Version::at(decided.offset)),
        "offset": decided.offset,
        "at_ms": decided.at_ms,
        "id": publish.id,
        "author": publish.author,
        "base": publish.base,
        "verdict": decided.verdict,
        "edits": edits.collect::<Vec<_>>(),
    })
}

async fn status(settings: &Settings) -> Result<Report, Error> {
    let nodes = nodes(settings)?;
    let fleet = Fleet::query(&AdminClient::new(), nodes).await?;
    let log = match settings.platform {
        Some(_) => log_head(settings.clone()).await.map_err(|e| e.to_string()),
        None => Err("no platform is set".into()),
    };
    let head = log
        .as_ref()
        .map_or(fleet.head(), |log| fleet.head().max(*log));
    let behind = fleet.stragglers(head);
    let live = fleet.live().count();
    let rows = fleet.nodes.iter().map(node_row).collect();
    let headings = [
        "node", "domain", "service", "liveness", "version", "ready", "note",
    ];
    let mut text = render::grid(headings, rows);
    let at_head = live - behind.len();
    text += &format!("\n\n{at_head} of {live} live nodes are at version {head}");
    if let Err(reason) = &log {
        text += &format!("\nthe head is the highest version that a node reports: {reason}");
    }
    if !behind.is_empty() {
        let names: Vec<_> = behind.iter().map(publishing::describe_straggler).collect();
        text += &format!("\nstragglers: {}", names.join("; "));
    }
    let json = json!({
        "head": head,
        "head_from_platform": log.is_ok(),
        "live": live,
        "at_head": at_head,
        "stragglers": behind,
        "nodes": fleet.nodes.iter().map(node_json).collect::<Vec<_>>(),
    });
    Ok(Report::new(text, json))
}

/// Returns the version at the head of the log.
///
/// The time limit is short, since `status` must also answer quickly when the platform is down.
async fn log_head(mut settings: Settings) -> Result<Version, Error> {
    settings.timeout = STATUS_TIMEOUT.min(settings.timeout);
    let platform = platform(&settings)?;
    let mut retry = retry(&settings)?;
    let reader = StreamReader::open(&platform, ReadOptions::default(), &mut retry).await?;
    Ok(reader.fold().version())
}

fn node_row(node: &Node) -> [String; 7] {
    let member = &node.member;
    let service = member.backend.as_ref().map(|b| b.service.to_string());
    let version = node.version().map(|version| version.to_string());
    let (ready, note) = match &node.answer {
        Answer::NotQueried => ("-", String::new()),
        Answer::Failed(e) => ("-", e.to_string()),
        Answer::State(state) => (
            if state.ready { "yes" } else { "no" },
            match (state.stalled_rule, &state.reason) {
                (Some(rule), _) => format!("stalled: the log has rule {rule}, upgrade the node"),
                // The reason of a ready node only repeats that the node is ready.
                (None, _) if state.ready => String::new(),
                (None, reason) => reason.clone().unwrap_or_default(),
            },
        ),
    };
    [
        member.id.to_string(),
        member.domain.to_string(),
        service.unwrap_or_else(|| "-".into()),
        liveness(node),
        version.unwrap_or_else(|| "-".into()),
        ready.into(),
        note,
    ]
}

fn node_json(node: &Node) -> serde_json::Value {
    let member = &node.member;
    let (state, error) = match &node.answer {
        Answer::NotQueried => (None, None),
        Answer::Failed(e) => (None, Some(e.to_string())),
        Answer::State(state) => (Some(state), None),
    };
    json!({
        "node": member.id,
        "domain": member.domain,
        "service": member.backend.as_ref().map(|b| &b.service),
        "liveness": member.liveness,
        "version": node.version(),
        "ready": state.map(|state| state.ready),
        "reason": state.and_then(|state| state.reason.as_ref()),
        "stalled_rule": state.and_then(|state| state.stalled_rule),
        "error": error,
    })
}

fn liveness(node: &Node) -> String {
    let text = format!("{:?}", node.member.liveness);
    text.to_lowercase()
}

fn platform(settings: &Settings) -> Result<Platform, Error> {
    let addr = settings.platform;
    let addr = addr.ok_or(Error::MissingSetting("the platform", NO_PLATFORM))?;
    // After one call times out, there is time left to read its outcome from the log.
    let timeout = DEFAULT_TIMEOUT.min(settings.timeout / MIN_TIMED_OUT_CALLS);
    Ok(Platform::new(addr).with_timeout(timeout))
}

fn nodes(settings: &Settings) -> Result<&[std::net::SocketAddr], Error> {
    match &settings.nodes[..] {
        [] => Err(Error::MissingSetting("a node", NO_NODES)),
        nodes => Ok(nodes),
    }
}

/// Returns the author of publishes, by default the user name.
fn author(settings: &Settings) -> Result<String, Error> {
    let user = || std::env::var("USER").ok().filter(|user| !user.is_empty());
    let author = settings.author.clone().or_else(user);
    author.ok_or(Error::MissingSetting("the author", NO_AUTHOR))
}

fn rng() -> Result<SmallRng, Error> {
    Ok(SmallRng::try_from_rng(&mut OsRng)?)
}

fn retry(settings: &Settings) -> Result<Retry, Error> {
    Ok(Retry::new(settings.timeout, rng()?))
}

/// Reads a sheet of at most [`MAX_SHEET_BYTES`].
fn sheet(file: &Path) -> Result<Sheet, Error> {
    let file_error = |e: io::Error| Error::File(file.into(), e);
    let mut bytes = Vec::new();
    let opened = fs::File::open(file).map_err(file_error)?;
    let mut bounded = io::Read::take(opened, MAX_SHEET_BYTES + 1);
    io::Read::read_to_end(&mut bounded, &mut bytes).map_err(file_error)?;
    match bytes.len() as u64 > MAX_SHEET_BYTES {
        true => Err(Error::FileTooLarge(file.into(), MAX_SHEET_BYTES)),
        false => Sheet::parse(&bytes).map_err(|faults| Error::Sheet(file.into(), faults)),
    }
}

/// Writes a progress line to standard error. A closed standard error is ignored.
fn progress(line: &str) {
    writeln!(io::stderr(), "{line}").ok();
}

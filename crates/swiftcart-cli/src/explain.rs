//! Trace of one request, joined from the logs of several nodes.

mod line;

use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};

use serde_json::{Value, json};
use swiftcart_core::Reason;

use crate::{Error, render};
pub use line::LogLine;

/// Time before the request's first line from which context lines are shown, in milliseconds. All
/// nodes detect a failed member within about 3 s.
const CONTEXT_BEFORE_MS: u64 = 3000;

/// Time after the request's last line up to which context lines are shown, in milliseconds.
const CONTEXT_AFTER_MS: u64 = 500;

/// Maximum number of context lines; the latest lines are kept.
const MAX_CONTEXT_LINES: usize = 60;

/// Text that a node logs for an absent value.
const NO_VALUE: &str = "None";

/// Maximum length of a line, in bytes. The lines of a node are far shorter.
const MAX_LINE_BYTES: u64 = 64 * 1024;

/// Log lines of one request and of the nodes that handled it.
///
/// # Examples
///
/// ```
/// use swiftcart_cli::{LogLine, RequestTrace};
///
/// let text = "at=1200 level=INFO version=12 ms=4 retry_after_ms=180 reason=queue-full \
///             outcome=not-run status=own id=9c41 event=answer";
/// let line = LogLine::parse("node-1", text).expect("a line of a node");
/// let trace = RequestTrace::new("9c41", vec![line], Vec::new());
/// assert!(trace.verdict().starts_with("not-run: queue-full"));
/// ```
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestTrace {
    /// Id of the request.
    pub id: String,
    /// Lines of the request, in order of time.
    pub lines: Vec<LogLine>,
    /// Other events on the same nodes around the time of the request, in order of time.
    pub context: Vec<LogLine>,
}

impl RequestTrace {
    /// Creates the trace of the request `id`.
    #[must_use]
    pub fn new(id: &str, mut lines: Vec<LogLine>, mut context: Vec<LogLine>) -> Self {
        lines.sort_by_key(|line| line.at_ms);
        context.sort_by_key(|line| line.at_ms);
        let extra = context.len().saturating_sub(MAX_CONTEXT_LINES);
        context.drain(..extra);
        Self {
            id: id.to_owned(),
            lines,
            context,
        }
    }

    /// Reads the trace of the request `id` from log files.
    ///
    /// # Errors
    ///
    /// [`Error::File`] if a file cannot be read, [`Error::RequestNotFound`] if no file has a line
    /// of the request.
    pub fn read(id: &str, files: &[PathBuf]) -> Result<Self, Error> {
        let mut lines = Vec::new();
        for file in files {
            scan(file, |line| {
                if line.value("id") == Some(id) && line.is_request_event() {
                    lines.push(line);
                }
            })?;
        }
        let (Some(first), Some(last)) = (
            lines.iter().map(|line| line.at_ms).min(),
            lines.iter().map(|line| line.at_ms).max(),
        ) else {
            return Err(Error::RequestNotFound(id.to_owned(), files.len()));
        };
        let span = first.saturating_sub(CONTEXT_BEFORE_MS)..=last.saturating_add(CONTEXT_AFTER_MS);
        let mut context = Vec::new();
        for file in files {
            scan(file, |line| {
                let same_node = lines.iter().any(|known| known.node == line.node);
                if same_node && !line.is_request_event() && span.contains(&line.at_ms) {
                    context.push(line);
                }
            })?;
        }
        Ok(Self::new(id, lines, context))
    }

    /// Returns the outcome of the request in one sentence.
    #[must_use]
    pub fn verdict(&self) -> String {
        let answers = self.lines.iter().rev();
        match answers.into_iter().find(|line| line.event == "answer") {
            Some(line) => describe_answer(line),
            None => "no node logged an answer: the line was left out (event=left-out), the node \
                     ended before it, or its log is not among the files"
                .into(),
        }
    }

    /// Returns the trace as text for people.
    #[must_use]
    pub fn text(&self) -> String {
        let first = self.lines.first().map_or(0, |line| line.at_ms);
        let rows = self
            .lines
            .iter()
            .map(|line| trace_row(line, first))
            .collect();
        let headings = ["ms", "node", "event", "details"];
        let mut text = format!("request {}\n\n", self.id);
        text += &render::grid(headings, rows);
        if !self.context.is_empty() {
            let rows = self
                .context
                .iter()
                .map(|line| trace_row(line, first))
                .collect();
            text += "\n\nother events on the same nodes around that time:\n\n";
            text += &render::grid(headings, rows);
        }
        text + &format!("\n\n{}", self.verdict())
    }

    /// Returns the trace as JSON for scripts.
    #[must_use]
    pub fn json(&self) -> Value {
        json!({
            "id": self.id,
            "verdict": self.verdict(),
            "lines": self.lines,
            "around": self.context,
        })
    }
}

/// Calls `visit` for each line of the file that a node wrote.
fn scan(path: &Path, mut visit: impl FnMut(LogLine)) -> Result<(), Error> {
    let failed = |e| Error::File(path.into(), e);
    let name = path.file_stem().unwrap_or(path.as_os_str());
    let name = name.to_string_lossy();
    let mut reader = BufReader::new(File::open(path).map_err(failed)?);
    let mut bytes = Vec::new();
    loop {
        bytes.clear();
        let mut bounded = std::io::Read::take(&mut reader, MAX_LINE_BYTES);
        if bounded.read_until(b'\n', &mut bytes).map_err(failed)? == 0 {
            return Ok(());
        }
        if let Some(line) = LogLine::parse(&name, &String::from_utf8_lossy(&bytes)) {
            visit(line);
        }
    }
}

fn trace_row(line: &LogLine, first: u64) -> [String; 4] {
    let at = i128::from(line.at_ms) - i128::from(first);
    [
        at.to_string(),
        line.node.clone(),
        line.event.clone(),
        line.details(),
    ]
}

/// Describes the outcome that a line with event `answer` logs.
fn describe_answer(line: &LogLine) -> String {
    let tries = line.value("tries").unwrap_or("1");
    match (line.value("status"), line.value("reason")) {
        (Some("own") | None, Some(reason)) => {
            let outcome = line.value("outcome").unwrap_or("unknown");
            let meaning = meaning(reason);
            let after = line.value("retry_after_ms").filter(|ms| *ms != NO_VALUE);
            let again = after.map_or(String::new(), |ms| {
                format!(" The caller was told to come back after {ms} ms.")
            });
            format!("{outcome}: {reason}: {meaning}{again}")
        }
        (Some(status), _) => {
            let guard = line.value("guard").unwrap_or("an unknown node");
            format!("done: the backend server beside {guard} answered {status}, tries: {tries}")
        }
        (None, None) => "the answer's line has neither a status nor a reason".into(),
    }
}

fn meaning(reason: &str) -> &'static str {
    let known = Reason::ALL.iter().find(|known| known.as_str() == reason);
    known.map_or("an unknown reason, logged by another release", |known| {
        known.meaning()
    })
}

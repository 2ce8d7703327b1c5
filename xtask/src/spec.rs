//! Model checking of the Promela models in `specs/`.
//!
//! Each model must hold with all guards in place and must fail with any one guard removed.

use std::fmt;
use std::fs;
use std::path::Path;
use std::process::{Command, Output, Stdio};
use std::time::{Duration, Instant};

use serde::Deserialize;
use tempfile::TempDir;

use crate::command::root;
use crate::{Error, Verdict};

const MODELS_FILE: &str = "specs/specs.json";

/// Time limit of one search.
const SEARCH_TIMEOUT: Duration = Duration::from_secs(120);

/// Memory limit of one search, in megabytes.
const SEARCH_MEMORY_MB: u32 = 2048;

/// Model to check, with its guards.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Path of the Promela file, relative to `specs/`.
    pub model: String,
    /// Macros, each of which removes one guard from the model when it is defined.
    pub guards: Vec<String>,
    /// Additional options: `-D` and `-O` options go to the compiler, all others to the search.
    #[serde(default)]
    pub options: Vec<String>,
}

/// Outcome of one search.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SearchOutcome {
    /// The complete state space was searched without an error.
    Holds {
        /// Number of stored states, as printed by the search.
        states: String,
    },
    /// The search found a counterexample.
    Counterexample,
    /// The search did not complete or a tool failed, with the cause.
    Incomplete(String),
}

impl SearchOutcome {
    /// Parses the output of a search.
    ///
    /// # Examples
    ///
    /// ```
    /// use xtask::SearchOutcome;
    ///
    /// let output = "State-vector 20 byte, depth reached 9, errors: 1\n  8 states, stored\n";
    /// assert_eq!(SearchOutcome::parse(output), SearchOutcome::Counterexample);
    /// ```
    #[must_use]
    pub fn parse(output: &str) -> Self {
        let errors = output.lines().find_map(|line| line.split_once("errors: "));
        let states = output
            .lines()
            .find_map(|line| line.split_once(" states, stored"));
        let limit = ["search depth too small", "memory limit", "out of memory"]
            .into_iter()
            .find(|cause| output.contains(cause));
        match (errors, limit, states) {
            (Some((_, "0")), Some(cause), _) => Self::Incomplete(cause.to_owned()),
            (Some((_, "0")), None, Some((states, _))) => Self::Holds {
                states: states.trim().to_owned(),
            },
            (Some((_, "0")) | None, ..) => Self::Incomplete("no result".to_owned()),
            (Some(_), ..) => Self::Counterexample,
        }
    }
}

impl fmt::Display for SearchOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Holds { states } => write!(f, "holds, {states} states"),
            Self::Counterexample => f.write_str("counterexample"),
            Self::Incomplete(cause) => write!(f, "incomplete: {cause}"),
        }
    }
}

/// Reads the list of models at `path`.
///
/// # Errors
///
/// Returns an [`Error`] with the path when the file cannot be read or parsed.
pub fn read_models(path: &Path) -> Result<Vec<Model>, Error> {
    let text = fs::read_to_string(path).map_err(|e| Error::File(path.to_owned(), e))?;
    serde_json::from_str(&text).map_err(|e| Error::Content(path.to_owned(), e.to_string()))
}

/// Checks every model with all guards in place and with each guard removed.
pub(crate) fn run() -> Result<Verdict, Error> {
    let path = root().join(MODELS_FILE);
    if !path.exists() {
        println!("==> models: none yet");
        return Ok(Verdict::Passed);
    }
    println!("==> models");
    println!(
        "{:<24} {:<28} {:>7}  {:<28} verdict",
        "model", "guard removed", "s", "search"
    );
    let mut verdict = Verdict::Passed;
    for model in read_models(&path)? {
        verdict = verdict & check_model(&model, None)?;
        for guard in &model.guards {
            verdict = verdict & check_model(&model, Some(guard))?;
        }
    }
    Ok(verdict)
}

fn check_model(model: &Model, guard: Option<&str>) -> Result<Verdict, Error> {
    let start = Instant::now();
    let run = search(model, guard)?;
    let verdict = match (guard, &run) {
        (None, SearchOutcome::Holds { .. }) | (Some(_), SearchOutcome::Counterexample) => {
            Verdict::Passed
        }
        _ => Verdict::Failed,
    };
    let label = match verdict {
        Verdict::Passed => "ok",
        Verdict::Failed => "FAILED",
    };
    let seconds = start.elapsed().as_secs_f64();
    let guard = guard.unwrap_or("-");
    println!(
        "{:<24} {guard:<28} {seconds:>7.1}  {:<28} {label}",
        model.model,
        run.to_string()
    );
    Ok(verdict)
}

/// Generates, compiles and runs the verifier in a temporary directory.
fn search(model: &Model, guard: Option<&str>) -> Result<SearchOutcome, Error> {
    let dir = TempDir::new().map_err(|e| Error::Program("mktemp".to_owned(), e))?;
    let file = root().join("specs").join(&model.model);
    let (compile, run): (Vec<_>, Vec<_>) = model
        .options
        .iter()
        .partition(|o| o.starts_with("-D") || o.starts_with("-O"));

    let mut spin = Command::new("spin");
    spin.args(guard.map(|guard| format!("-D{guard}")))
        .arg("-a")
        .arg(&file);
    if let Some(failure) = run_tool("spin", &mut spin, dir.path())? {
        return Ok(failure);
    }
    let mut cc = Command::new("cc");
    cc.args(["-O2", "-w", "-o", "pan", "pan.c"]);
    cc.arg(format!("-DMEMLIM={SEARCH_MEMORY_MB}")).args(compile);
    if let Some(failure) = run_tool("cc", &mut cc, dir.path())? {
        return Ok(failure);
    }
    let mut pan = Command::new("timeout");
    pan.arg(SEARCH_TIMEOUT.as_secs().to_string())
        .arg("./pan")
        .args(run);
    let output = run_command("pan", &mut pan, dir.path())?;
    match output.status.code() {
        Some(124) => Ok(SearchOutcome::Incomplete(format!(
            "over {SEARCH_TIMEOUT:?}"
        ))),
        _ => Ok(SearchOutcome::parse(&String::from_utf8_lossy(
            &output.stdout,
        ))),
    }
}

/// Runs a tool and returns the outcome of the search if the tool failed.
fn run_tool(name: &str, command: &mut Command, dir: &Path) -> Result<Option<SearchOutcome>, Error> {
    let output = run_command(name, command, dir)?;
    if output.status.success() {
        return Ok(None);
    }
    print!("{}", String::from_utf8_lossy(&output.stdout));
    eprint!("{}", String::from_utf8_lossy(&output.stderr));
    Ok(Some(SearchOutcome::Incomplete(format!("{name} failed"))))
}

fn run_command(name: &str, command: &mut Command, dir: &Path) -> Result<Output, Error> {
    let command = command.current_dir(dir).stdin(Stdio::null());
    command
        .output()
        .map_err(|e| Error::Program(name.to_owned(), e))
}

//! Model checking: each model of `specs/` holds, and fails with a guard taken out.

use std::fmt;
use std::fs;
use std::path::Path;
use std::process::{Command, Output, Stdio};
use std::time::{Duration, Instant};

use serde::Deserialize;
use tempfile::TempDir;

use crate::command::root;
use crate::{Error, Verdict};

const LIST: &str = "specs/specs.json";

/// Longest time for one search.
const TIMEOUT: Duration = Duration::from_secs(120);

/// Memory that one search may use, in megabytes.
const MEMORY_MB: u32 = 2048;

/// Names one model and its guards.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// The Promela file, below `specs/`.
    pub model: String,
    /// Macros, each of which takes one guard out of the model when it is defined.
    pub guards: Vec<String>,
    /// Further options: those with `-D` and `-O` are the compiler's, the others the search's.
    #[serde(default)]
    pub options: Vec<String>,
}

/// Tells how one search ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SpecRun {
    /// The whole state space was searched without an error.
    Holds {
        /// States that were stored.
        states: String,
    },
    /// The search found a counterexample.
    Errors,
    /// The search did not come to an end, or a tool failed.
    Incomplete(String),
}

impl SpecRun {
    /// Reads the end of a search out of what it printed.
    ///
    /// # Examples
    ///
    /// ```
    /// use xtask::SpecRun;
    ///
    /// let output = "State-vector 20 byte, depth reached 9, errors: 1\n  8 states, stored\n";
    /// assert_eq!(SpecRun::read(output), SpecRun::Errors);
    /// ```
    #[must_use]
    pub fn read(output: &str) -> Self {
        let errors = output.lines().find_map(|line| line.split_once("errors: "));
        let states = output
            .lines()
            .find_map(|line| line.split_once(" states, stored"));
        let truncated = ["search depth too small", "memory limit", "out of memory"]
            .into_iter()
            .find(|cause| output.contains(cause));
        match (errors, truncated, states) {
            (Some((_, "0")), Some(cause), _) => Self::Incomplete(cause.to_owned()),
            (Some((_, "0")), None, Some((states, _))) => Self::Holds {
                states: states.trim().to_owned(),
            },
            (Some((_, "0")) | None, ..) => Self::Incomplete("no result".to_owned()),
            (Some(_), ..) => Self::Errors,
        }
    }
}

impl fmt::Display for SpecRun {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Holds { states } => write!(f, "holds, {states} states"),
            Self::Errors => f.write_str("counterexample"),
            Self::Incomplete(cause) => write!(f, "incomplete: {cause}"),
        }
    }
}

/// Reads the list of models at `path`.
///
/// # Errors
///
/// Returns an [`Error`] that names the file when it cannot be read.
pub fn read_models(path: &Path) -> Result<Vec<Model>, Error> {
    let text = fs::read_to_string(path).map_err(|e| Error::File(path.to_owned(), e))?;
    serde_json::from_str(&text).map_err(|e| Error::Content(path.to_owned(), e.to_string()))
}

/// Checks every model, with its guards in place and with each one taken out.
pub(crate) fn run() -> Result<Verdict, Error> {
    let path = root().join(LIST);
    if !path.exists() {
        println!("==> models: none yet");
        return Ok(Verdict::Passed);
    }
    println!("==> models");
    println!(
        "{:<24} {:<28} {:>7}  {:<28} verdict",
        "model", "guard taken out", "s", "search"
    );
    let mut verdict = Verdict::Passed;
    for model in read_models(&path)? {
        verdict = verdict & check(&model, None)?;
        for guard in &model.guards {
            verdict = verdict & check(&model, Some(guard))?;
        }
    }
    Ok(verdict)
}

fn check(model: &Model, guard: Option<&str>) -> Result<Verdict, Error> {
    let start = Instant::now();
    let run = search(model, guard)?;
    let passed = match (guard, &run) {
        (None, SpecRun::Holds { .. }) | (Some(_), SpecRun::Errors) => Verdict::Passed,
        _ => Verdict::Failed,
    };
    let word = match passed {
        Verdict::Passed => "ok",
        Verdict::Failed => "FAILED",
    };
    let seconds = start.elapsed().as_secs_f64();
    let guard = guard.unwrap_or("-");
    println!(
        "{:<24} {guard:<28} {seconds:>7.1}  {:<28} {word}",
        model.model,
        run.to_string()
    );
    Ok(passed)
}

/// Generates, compiles and runs the verifier in a folder of its own.
fn search(model: &Model, guard: Option<&str>) -> Result<SpecRun, Error> {
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
    if let Some(failure) = tool("spin", &mut spin, dir.path())? {
        return Ok(failure);
    }
    let mut cc = Command::new("cc");
    cc.args(["-O2", "-w", "-o", "pan", "pan.c"]);
    cc.arg(format!("-DMEMLIM={MEMORY_MB}")).args(compile);
    if let Some(failure) = tool("cc", &mut cc, dir.path())? {
        return Ok(failure);
    }
    let mut pan = Command::new("timeout");
    pan.arg(TIMEOUT.as_secs().to_string())
        .arg("./pan")
        .args(run);
    let output = output("pan", &mut pan, dir.path())?;
    match output.status.code() {
        Some(124) => Ok(SpecRun::Incomplete(format!("over {TIMEOUT:?}"))),
        _ => Ok(SpecRun::read(&String::from_utf8_lossy(&output.stdout))),
    }
}

/// Runs a tool and returns how the search ended when the tool failed.
fn tool(name: &str, command: &mut Command, dir: &Path) -> Result<Option<SpecRun>, Error> {
    let output = output(name, command, dir)?;
    if output.status.success() {
        return Ok(None);
    }
    print!("{}", String::from_utf8_lossy(&output.stdout));
    eprint!("{}", String::from_utf8_lossy(&output.stderr));
    Ok(Some(SpecRun::Incomplete(format!("{name} failed"))))
}

fn output(name: &str, command: &mut Command, dir: &Path) -> Result<Output, Error> {
    let command = command.current_dir(dir).stdin(Stdio::null());
    command
        .output()
        .map_err(|e| Error::Program(name.to_owned(), e))
}

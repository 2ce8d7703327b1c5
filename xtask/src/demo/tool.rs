//! Runs the operators' tool as an operator would.

use std::path::{Path, PathBuf};
use std::process::Command;

use serde_json::Value;
use swiftcart_core::Version;

use crate::Error;
use crate::fleet::{Fleet, release_binary};

/// The tool's exit code for a publish that lost to another.
const REJECTED: i32 = 3;

/// How a publish ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Publish {
    /// The table has this version.
    Accepted(Version),
    /// Nothing changed; what the tool said.
    Rejected(String),
}

/// Knows the platform and a node to ask.
#[derive(Debug, Clone)]
pub(crate) struct Tool {
    options: Vec<String>,
}

/// What the tool left: its exit code and both outputs.
struct Ended {
    code: Option<i32>,
    out: String,
    err: String,
}

impl Tool {
    /// Creates the tool for a mesh, with every node that runs as one to ask.
    pub(crate) fn new(fleet: &Fleet) -> Self {
        let nodes = fleet.running().into_iter().take(8).flat_map(|i| {
            let admin = fleet.instances[i].addrs.admin;
            ["--node".to_owned(), admin.to_string()]
        });
        let platform = ["--platform".to_owned(), fleet.platform.to_string()];
        Self {
            options: platform.into_iter().chain(nodes).collect(),
        }
    }

    /// Checks a sheet without the platform.
    pub(crate) async fn check(&self, sheet: &Path) -> Result<(), Error> {
        self.run(&["table", "check"], &[], sheet).await.map(drop)
    }

    /// Writes the table in force to `sheet`.
    pub(crate) async fn pull(&self, sheet: &Path) -> Result<(), Error> {
        let words = ["table", "pull", "--force", "--output"];
        self.run(&words, &self.options, sheet).await.map(drop)
    }

    /// Publishes a sheet and waits until its version is in force on every node.
    pub(crate) async fn publish(&self, sheet: &Path, author: &str) -> Result<Publish, Error> {
        let words = [
            "table",
            "publish",
            "--json",
            "--wait=30",
            "--author",
            author,
        ];
        let ended = self.start(&words, &self.options, sheet).await?;
        match ended.code {
            Some(0) => version(&ended.out)
                .map(Publish::Accepted)
                .ok_or_else(|| failed(&words, &ended)),
            Some(REJECTED) => Ok(Publish::Rejected(ended.out + &ended.err)),
            _ => Err(failed(&words, &ended)),
        }
    }

    async fn run(&self, words: &[&str], options: &[String], sheet: &Path) -> Result<String, Error> {
        let ended = self.start(words, options, sheet).await?;
        match ended.code {
            Some(0) => Ok(ended.out),
            _ => Err(failed(words, &ended)),
        }
    }

    /// Runs the tool on a thread of its own, so that the load goes on.
    async fn start(
        &self,
        words: &[&str],
        options: &[String],
        sheet: &Path,
    ) -> Result<Ended, Error> {
        let mut command = Command::new(release_binary("swiftcart"));
        command.args(words).arg(sheet).args(options);
        let failed = |e| Error::Program("swiftcart".to_owned(), e);
        let output = tokio::task::spawn_blocking(move || command.output()).await;
        let output = output.map_err(|e| failed(e.into()))?.map_err(failed)?;
        Ok(Ended {
            code: output.status.code(),
            out: String::from_utf8_lossy(&output.stdout).into_owned(),
            err: String::from_utf8_lossy(&output.stderr).into_owned(),
        })
    }
}

/// Returns the committed table of a mesh.
pub(crate) fn example(mesh: &str) -> PathBuf {
    let name = format!("examples/tables/{mesh}.csv");
    crate::command::root().join(name)
}

/// Returns the last version that the tool printed.
fn version(out: &str) -> Option<Version> {
    let whole = serde_json::from_str::<Value>(out).ok();
    let lines = out.lines().rev();
    let each = lines.filter_map(|line| serde_json::from_str::<Value>(line).ok());
    let found = whole.into_iter().chain(each);
    found
        .filter_map(|value| value["version"].as_u64())
        .map(Version)
        .next()
}

fn failed(words: &[&str], ended: &Ended) -> Error {
    let command = format!("swiftcart {}", words.join(" "));
    Error::Tool(
        command,
        format!("{:?} {}{}", ended.code, ended.out, ended.err),
    )
}

//! Runs the operators' command-line tool.

use std::path::{Path, PathBuf};
use std::process::Command;

use serde_json::Value;
use swiftcart_core::Version;

use crate::Error;
use crate::fleet::{Fleet, release_binary};

/// Exit code of the tool for a publish that was rejected because of a conflicting one.
const REJECTED_EXIT_CODE: i32 = 3;

/// Result of a publish.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Publish {
    /// Version that was assigned to the published table.
    Accepted(Version),
    /// Output of the tool for a publish without effect.
    Rejected(String),
}

/// Operators' tool with the addresses of the platform and of up to eight nodes.
#[derive(Debug, Clone)]
pub(crate) struct Tool {
    options: Vec<String>,
}

/// Exit code, stdout and stderr of the tool.
struct ToolOutput {
    code: Option<i32>,
    out: String,
    err: String,
}

impl Tool {
    /// Creates the tool for the platform and the first eight running nodes of a fleet.
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

    /// Checks a sheet offline.
    pub(crate) async fn check(&self, sheet: &Path) -> Result<(), Error> {
        self.run(&["table", "check"], &[], sheet).await.map(drop)
    }

    /// Writes the table in force to `sheet`.
    pub(crate) async fn pull(&self, sheet: &Path) -> Result<(), Error> {
        let args = ["table", "pull", "--force", "--output"];
        self.run(&args, &self.options, sheet).await.map(drop)
    }

    /// Publishes a sheet and waits until its version is in force on every node.
    pub(crate) async fn publish(&self, sheet: &Path, author: &str) -> Result<Publish, Error> {
        let args = [
            "table",
            "publish",
            "--json",
            "--wait=30",
            "--author",
            author,
        ];
        let output = self.start(&args, &self.options, sheet).await?;
        match output.code {
            Some(0) => version(&output.out)
                .map(Publish::Accepted)
                .ok_or_else(|| failed(&args, &output)),
            Some(REJECTED_EXIT_CODE) => Ok(Publish::Rejected(output.out + &output.err)),
            _ => Err(failed(&args, &output)),
        }
    }

    async fn run(&self, args: &[&str], options: &[String], sheet: &Path) -> Result<String, Error> {
        let output = self.start(args, options, sheet).await?;
        match output.code {
            Some(0) => Ok(output.out),
            _ => Err(failed(args, &output)),
        }
    }

    /// Runs the tool on a blocking thread, so that it does not stall the load.
    async fn start(
        &self,
        args: &[&str],
        options: &[String],
        sheet: &Path,
    ) -> Result<ToolOutput, Error> {
        let mut command = Command::new(release_binary("swiftcart"));
        command.args(args).arg(sheet).args(options);
        let failed = |e| Error::Program("swiftcart".to_owned(), e);
        let output = tokio::task::spawn_blocking(move || command.output()).await;
        let output = output.map_err(|e| failed(e.into()))?.map_err(failed)?;
        Ok(ToolOutput {
            code: output.status.code(),
            out: String::from_utf8_lossy(&output.stdout).into_owned(),
            err: String::from_utf8_lossy(&output.stderr).into_owned(),
        })
    }
}

/// Returns the path of the example table of a mesh.
pub(crate) fn example_table(mesh: &str) -> PathBuf {
    let name = format!("examples/tables/{mesh}.csv");
    crate::command::root().join(name)
}

/// Returns the last version in the JSON output of the tool.
fn version(out: &str) -> Option<Version> {
    let document = serde_json::from_str::<Value>(out).ok();
    let lines = out.lines().rev();
    let each = lines.filter_map(|line| serde_json::from_str::<Value>(line).ok());
    let values = document.into_iter().chain(each);
    values
        .filter_map(|value| value["version"].as_u64())
        .map(Version)
        .next()
}

fn failed(args: &[&str], output: &ToolOutput) -> Error {
    let command = format!("swiftcart {}", args.join(" "));
    Error::Tool(
        command,
        format!("{:?} {}{}", output.code, output.out, output.err),
    )
}

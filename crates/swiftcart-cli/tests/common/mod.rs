//! Test environment that runs the `swiftcart` binary against an in-process log.
#![allow(dead_code)]

use std::fs;
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};

use swiftcart_standin::{Log, LogSettings};
use tempfile::TempDir;

pub const HEAD: &str = "kind,service,prefix,weight,rate,concurrency,timeout_ms\n";

/// Exit code and output of a command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CliOutput {
    pub code: Option<i32>,
    pub out: String,
    pub err: String,
}

/// Log and working directory for the commands of a test.
pub struct TestEnv {
    pub log: Log,
    dir: TempDir,
}

impl TestEnv {
    pub async fn new() -> Self {
        Self::with(LogSettings::default()).await
    }

    pub async fn with(settings: LogSettings) -> Self {
        let any = "127.0.0.1:0".parse().expect("an address");
        let log = Log::start_with(any, settings).await.expect("a free port");
        let dir = tempfile::tempdir().expect("a directory");
        Self { log, dir }
    }

    pub fn path(&self, name: &str) -> PathBuf {
        self.dir.path().join(name)
    }

    /// Writes a sheet with the given base version and rows.
    pub fn sheet(&self, name: &str, base: u64, rows: &str) {
        let text = format!("{HEAD}base,{base},,,,,\n{rows}");
        fs::write(self.path(name), text).expect("a file");
    }

    /// Starts `swiftcart` with the arguments in `words`, which are separated by spaces.
    pub fn spawn(&self, words: &str) -> Child {
        Command::new(env!("CARGO_BIN_EXE_swiftcart"))
            .args(["--platform", &self.log.addr().to_string()])
            .args(words.split(' '))
            .current_dir(self.dir.path())
            .env("USER", "rosa")
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .expect("the binary runs")
    }

    pub fn run(&self, words: &str) -> CliOutput {
        wait(self.spawn(words))
    }

    pub fn json(&self, words: &str) -> serde_json::Value {
        let output = self.run(&format!("--json {words}"));
        serde_json::from_str(&output.out).unwrap_or_else(|e| panic!("{e}: {output:?}"))
    }

    /// Returns the number of records that were appended to the configuration stream.
    pub fn records(&self) -> u64 {
        self.log.read("config", 0).expect("a stream").next
    }
}

pub fn wait(child: Child) -> CliOutput {
    let Output {
        status,
        stdout,
        stderr,
    } = child.wait_with_output().expect("the binary ends");
    CliOutput {
        code: status.code(),
        out: String::from_utf8_lossy(&stdout).into_owned(),
        err: String::from_utf8_lossy(&stderr).into_owned(),
    }
}

/// Replaces publish ids, which are random, by `ID`.
pub fn mask_ids(text: &str) -> String {
    let words = text.split_inclusive([' ', '\n']);
    let mask = |word: &str| {
        let id = word.trim_end();
        match id.len() == 32 && id.bytes().all(|b| b.is_ascii_hexdigit()) {
            true => word.replace(id, "ID"),
            false => word.into(),
        }
    };
    words.map(mask).collect()
}

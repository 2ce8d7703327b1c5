//! Helpers that run programs from the root of the repository.

use std::path::{Path, PathBuf};
use std::process::Command;

use crate::Error;

/// Returns the path of the root of the repository.
#[must_use]
pub(crate) fn root() -> PathBuf {
    let manifest_dir = Path::new(env!("CARGO_MANIFEST_DIR"));
    manifest_dir.parent().unwrap_or(manifest_dir).to_owned()
}

/// Creates a `cargo` command with `args` that runs in the root of the repository.
pub(crate) fn cargo(args: &[&str]) -> Command {
    let program = std::env::var_os("CARGO").unwrap_or_else(|| "cargo".into());
    let mut command = Command::new(program);
    command.args(args).current_dir(root());
    command
}

/// Runs `command` to completion and returns `true` if it succeeded.
pub(crate) fn succeeds(name: &str, command: &mut Command) -> Result<bool, Error> {
    command
        .status()
        .map(|status| status.success())
        .map_err(|e| Error::Program(name.to_owned(), e))
}

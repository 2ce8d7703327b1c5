//! Starts programs at the root of the repository and waits for them.

use std::path::{Path, PathBuf};
use std::process::Command;

use crate::Error;

/// Returns the root of the repository.
#[must_use]
pub(crate) fn root() -> PathBuf {
    let here = Path::new(env!("CARGO_MANIFEST_DIR"));
    here.parent().unwrap_or(here).to_owned()
}

/// Returns `cargo ARGS`, to be run at the root of the repository.
pub(crate) fn cargo(args: &[&str]) -> Command {
    let program = std::env::var_os("CARGO").unwrap_or_else(|| "cargo".into());
    let mut command = Command::new(program);
    command.args(args).current_dir(root());
    command
}

/// Runs `command` to its end and returns whether it succeeded.
pub(crate) fn succeeds(name: &str, command: &mut Command) -> Result<bool, Error> {
    command
        .status()
        .map(|status| status.success())
        .map_err(|e| Error::Program(name.to_owned(), e))
}

//! System packages that the build and the models need.

use std::env;
use std::path::Path;
use std::process::Command;

use crate::Error;
use crate::command::succeeds;

/// Programs that must be found, and the Debian package that brings each.
const NEEDED: [(&str, &str); 3] = [("cc", "gcc"), ("make", "make"), ("spin", "spin")];

/// Installs missing packages when this user may, and else says what to type.
///
/// # Errors
///
/// Returns [`Error::Packages`] when something is missing and stays missing.
pub(crate) fn ensure() -> Result<(), Error> {
    let missing = missing();
    if missing.is_empty() {
        return Ok(());
    }
    let list = missing.join(" ");
    if !is_root() {
        return Err(Error::Packages(list));
    }
    println!("==> apt-get install {list}");
    apt(&["update", "-q"])?;
    let install = ["install", "-q", "-y", "--no-install-recommends"];
    apt(&[&install[..], &missing].concat())?;
    match self::missing().is_empty() {
        true => Ok(()),
        false => Err(Error::Packages(list)),
    }
}

fn missing() -> Vec<&'static str> {
    NEEDED
        .iter()
        .filter(|(program, _)| !is_on_path(program))
        .map(|&(_, package)| package)
        .collect()
}

fn is_on_path(program: &str) -> bool {
    let path = env::var_os("PATH").unwrap_or_default();
    env::split_paths(&path).any(|dir| Path::new(&dir).join(program).is_file())
}

fn is_root() -> bool {
    Command::new("id")
        .arg("-u")
        .output()
        .is_ok_and(|out| out.stdout.trim_ascii() == b"0")
}

fn apt(args: &[&str]) -> Result<(), Error> {
    let mut command = Command::new("apt-get");
    command.args(args).env("DEBIAN_FRONTEND", "noninteractive");
    match succeeds("apt-get", &mut command)? {
        true => Ok(()),
        false => Err(Error::Packages(missing().join(" "))),
    }
}

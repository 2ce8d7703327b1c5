//! Installation of the system packages required by the build and the models.

use std::env;
use std::path::Path;
use std::process::Command;

use crate::Error;
use crate::command::succeeds;

/// Required programs, each with the Debian package that provides it.
const REQUIRED: [(&str, &str); 3] = [("cc", "gcc"), ("make", "make"), ("spin", "spin")];

/// Installs missing packages if the user is root.
///
/// # Errors
///
/// Returns [`Error::Packages`] with the missing packages when the user is not root or the
/// installation failed.
pub(crate) fn ensure() -> Result<(), Error> {
    let missing_packages = missing_packages();
    if missing_packages.is_empty() {
        return Ok(());
    }
    let packages = missing_packages.join(" ");
    if !is_root() {
        return Err(Error::Packages(packages));
    }
    println!("==> apt-get install {packages}");
    run_apt(&["update", "-q"])?;
    let install = ["install", "-q", "-y", "--no-install-recommends"];
    run_apt(&[&install[..], &missing_packages].concat())?;
    match self::missing_packages().is_empty() {
        true => Ok(()),
        false => Err(Error::Packages(packages)),
    }
}

fn missing_packages() -> Vec<&'static str> {
    REQUIRED
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

fn run_apt(args: &[&str]) -> Result<(), Error> {
    let mut command = Command::new("apt-get");
    command.args(args).env("DEBIAN_FRONTEND", "noninteractive");
    match succeeds("apt-get", &mut command)? {
        true => Ok(()),
        false => Err(Error::Packages(missing_packages().join(" "))),
    }
}

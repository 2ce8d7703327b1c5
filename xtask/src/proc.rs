//! Resource usage of processes and properties of the system, from `/proc`.

use std::fs;
use std::path::PathBuf;
use std::time::Duration;

use crate::Error;

/// Clock ticks per second.
///
/// Linux reports this value to every program.
const TICKS_PER_SECOND: u64 = 100;

/// Resource usage of a process.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Usage {
    /// Sum of user and system CPU time.
    pub cpu: Duration,
    /// Current resident memory, in KiB.
    pub rss_kib: u64,
    /// Peak resident memory, in KiB.
    pub peak_kib: u64,
    /// Current number of threads.
    pub threads: u64,
}

impl Usage {
    /// Reads the resource usage of the process `id`.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] when the process does not exist.
    pub fn of(id: u32) -> Result<Self, Error> {
        let stat = read(format!("/proc/{id}/stat").into())?;
        let status = read(format!("/proc/{id}/status").into())?;
        Ok(Self::parse(&stat, &status))
    }

    /// Parses the contents of `/proc/PID/stat` and `/proc/PID/status`.
    #[must_use]
    pub fn parse(stat: &str, status: &str) -> Self {
        // The second field is the program's name in parentheses and may contain spaces.
        let rest = stat.rsplit_once(") ").map_or("", |(_, rest)| rest);
        let fields: Vec<_> = rest.split(' ').collect();
        let ticks = |i: usize| fields.get(i).and_then(|f| f.parse::<u64>().ok());
        // `utime` and `stime`: fields 14 and 15 of the whole line, counted from 1.
        let used = ticks(11).unwrap_or(0) + ticks(12).unwrap_or(0);
        Self {
            cpu: Duration::from_millis(used * 1000 / TICKS_PER_SECOND),
            rss_kib: number(status, "VmRSS:"),
            peak_kib: number(status, "VmHWM:"),
            threads: number(status, "Threads:"),
        }
    }
}

/// Returns the total memory of the system, in KiB.
///
/// # Errors
///
/// Returns an [`Error`] when the file in `/proc` cannot be read.
pub fn memory_kib() -> Result<u64, Error> {
    Ok(number(&read("/proc/meminfo".into())?, "MemTotal:"))
}

/// Returns the model name of the processor.
///
/// # Errors
///
/// Returns an [`Error`] when the file in `/proc` cannot be read.
pub fn processor() -> Result<String, Error> {
    let text = read("/proc/cpuinfo".into())?;
    let name = text
        .lines()
        .find_map(|line| line.strip_prefix("model name"));
    let name = name.and_then(|rest| rest.split_once(": "));
    Ok(name.map_or_else(|| "unknown".to_owned(), |(_, name)| name.to_owned()))
}

/// Returns the system's load average over the last minute.
///
/// # Errors
///
/// Returns an [`Error`] when the file in `/proc` cannot be read.
pub fn load_average() -> Result<f64, Error> {
    let text = read("/proc/loadavg".into())?;
    let first = text.split(' ').next().and_then(|f| f.parse().ok());
    Ok(first.unwrap_or(f64::NAN))
}

fn read(path: PathBuf) -> Result<String, Error> {
    fs::read_to_string(&path).map_err(|e| Error::File(path, e))
}

fn number(text: &str, key: &str) -> u64 {
    let line = text.lines().find_map(|line| line.strip_prefix(key));
    let word = line.and_then(|rest| rest.split_whitespace().next());
    word.and_then(|word| word.parse().ok()).unwrap_or(0)
}

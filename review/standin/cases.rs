//! The cases.

mod late_beat;
mod smuggle;
mod stopping;
mod twice;

use std::io;
use std::path::Path;

use crate::record::Record;

/// Runs a case; the result is `true` if the rule was broken.
pub fn run(case: &str, folder: &Path, trouble: bool) -> io::Result<bool> {
    let record = Record::new();
    record.add(format!("case {case}, disruption: {trouble}"));
    let result = match case {
        "late-beat" => late_beat::run(&record, trouble),
        "stopping" => stopping::run(&record, trouble),
        "twice" => twice::run(&record, trouble),
        "smuggle" => smuggle::run(&record, trouble),
        _ => Err(io::Error::other("no such case")),
    };
    match &result {
        Ok(broken) => record.add(format!("the rule was broken: {broken}")),
        Err(err) => record.add(format!("could not run: {err}")),
    }
    record.write(&folder.join("record.txt"))?;
    result
}

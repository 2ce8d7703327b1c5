//! The cases, one module each.

mod behind;
mod deadly;
mod late_beat;
mod pieces;
mod stalled;

use crate::Verdict;
use crate::record::Record;

pub type CaseResult = Result<Verdict, Box<dyn std::error::Error>>;

pub fn run(name: &str, record: &Record, trouble: bool) -> CaseResult {
    match name {
        "late-beat" => late_beat::run(record, trouble),
        "pieces" => pieces::run(record, trouble),
        "deadly" => deadly::run(record, trouble),
        "behind" => behind::run(record, trouble),
        "stalled" => stalled::run(record, trouble),
        _ => Err(format!("no case {name}").into()),
    }
}

//! Stand-ins and cases of the second review: a store, backend servers and clients for real nodes.
//!
//! Usage: `standin CASE RECORD`, started in the repository's root by a case's `run.sh`. The exit code
//! is 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With `TROUBLE=0` the
//! case runs without its disruption.

mod backend;
mod cases;
mod client;
mod http;
mod mesh;
mod node;
mod record;
mod store;

use std::panic::{AssertUnwindSafe, catch_unwind};
use std::process::exit;

/// Result of a case.
pub enum Verdict {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, name, path] = args.as_slice() else {
        eprintln!("usage: standin CASE RECORD");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match record::Record::create(path) {
        Ok(record) => record,
        Err(err) => {
            eprintln!("{path}: {err}");
            exit(2);
        }
    };
    record.line(&format!(
        "case {name}, disruption {}",
        if trouble { "on" } else { "off" }
    ));
    let result = catch_unwind(AssertUnwindSafe(|| cases::run(name, &record, trouble)));
    let code = match result.unwrap_or_else(|_| Err("the stand-in failed".into())) {
        Ok(Verdict::Held) => {
            record.line("the rule held");
            0
        }
        Ok(Verdict::Broken) => {
            record.line("THE RULE WAS BROKEN");
            1
        }
        Err(why) => {
            record.line(&format!("could not run: {why}"));
            2
        }
    };
    record.print_summary();
    exit(code);
}

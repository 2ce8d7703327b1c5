//! Stand-ins for the scripted cases of the review, and the cases themselves.
//!
//! Usage: `standin CASE FOLDER`, from the root of the repository. `TROUBLE=0` leaves out the
//! disruption. The exit code is 1 if the rule was broken, 0 if it held, 2 if the case could not run.

mod backend;
mod cases;
mod client;
mod http;
mod mesh;
mod node;
mod record;
mod store;

use std::path::PathBuf;
use std::process::ExitCode;

fn main() -> ExitCode {
    let mut args = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (args.next(), args.next()) else {
        eprintln!("usage: standin CASE FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    match cases::run(&case, &PathBuf::from(folder), trouble) {
        Ok(true) => {
            println!("{case}: the rule was broken");
            ExitCode::from(1)
        }
        Ok(false) => {
            println!("{case}: the rule held");
            ExitCode::SUCCESS
        }
        Err(err) => {
            println!("{case}: could not run: {err}");
            ExitCode::from(2)
        }
    }
}

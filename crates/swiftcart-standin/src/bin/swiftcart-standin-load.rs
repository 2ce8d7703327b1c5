//! Load generator program that prints its report as JSON.

use std::io::Write;
use std::process::ExitCode;

use serde::Serialize;
use swiftcart_standin::{Args, Error, Load, exit_code};

const SUMMARY: &str =
    "swiftcart-standin-load: open-loop load generator for tests; requires --settings";

#[tokio::main]
async fn main() -> ExitCode {
    exit_code(run().await)
}

async fn run() -> Result<(), Error> {
    let Some(args) = Args::parse(SUMMARY)? else {
        return Ok(());
    };
    let load: Load = args.settings()?;
    match load.others.clone() {
        others if others.is_empty() => print(&load.run().await?),
        others => print(&load.compare(others).await?),
    }
}

fn print(report: &impl Serialize) -> Result<(), Error> {
    let mut out = std::io::stdout().lock();
    serde_json::to_writer_pretty(&mut out, report)?;
    writeln!(out)?;
    Ok(())
}

//! Runs the stand-in for the platform's log.

use std::process::ExitCode;

use swiftcart_standin::{Args, Error, Log, exit, stop_signal};

const SUMMARY: &str = "swiftcart-standin-platform: the platform's log, in memory, for tests";

#[tokio::main]
async fn main() -> ExitCode {
    exit(run().await)
}

async fn run() -> Result<(), Error> {
    let Some(args) = Args::parse(SUMMARY)? else {
        return Ok(());
    };
    let stop = stop_signal()?;
    let log = Log::start_with(args.addr()?, args.settings()?).await?;
    println!("listening addr={}", log.addr());
    stop.await;
    Ok(())
}

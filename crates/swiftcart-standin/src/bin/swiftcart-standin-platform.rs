//! Stand-in program for the platform's log.

use std::process::ExitCode;

use swiftcart_standin::{Args, Error, Log, exit_code, stop_signal};

const SUMMARY: &str = "swiftcart-standin-platform: in-memory log of the platform for tests";

#[tokio::main]
async fn main() -> ExitCode {
    exit_code(run().await)
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

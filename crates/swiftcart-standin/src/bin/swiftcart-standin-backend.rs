//! Stand-in program for a backend server.

use std::process::ExitCode;
use std::time::Duration;

use swiftcart_standin::{Args, BackendServer, Error, exit_code, stop_signal};

const SUMMARY: &str = "swiftcart-standin-backend: a backend server for tests";

/// Time for nodes to learn of the drain before the backend server stops.
const DRAIN_PERIOD: Duration = Duration::from_secs(3);

#[tokio::main]
async fn main() -> ExitCode {
    exit_code(run().await)
}

async fn run() -> Result<(), Error> {
    let Some(args) = Args::parse(SUMMARY)? else {
        return Ok(());
    };
    let stop = stop_signal()?;
    let backend = BackendServer::start(args.addr()?, args.settings()?).await?;
    println!("listening addr={}", backend.addr());
    stop.await;
    let second_stop = stop_signal()?;
    tokio::select! {
        () = backend.stop(DRAIN_PERIOD) => {}
        () = second_stop => {}
    }
    Ok(())
}

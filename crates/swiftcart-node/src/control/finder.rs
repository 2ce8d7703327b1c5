//! Node discovery: registers this node in the directory and looks up the others.

use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use slog::{Logger, info, warn};
use swiftcart_platform::Backoff;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::sleep;

use super::{Input, report_skipped};
use crate::edge::{Directory, DirectoryListing, PlatformFuture};
use crate::logging::Event;
use crate::shared::Shared;

/// Maximum pause between two retries. Other nodes also search for lost nodes.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Delay before a node that registered after its first look-up repeats the look-up. It does so only
/// if it has met no other node: the listed nodes are gone, and another node may have registered at
/// the same time.
const RETRY_DELAY: Duration = Duration::from_secs(2);

/// Background task that looks up the other nodes and retries until it succeeds.
#[derive(Debug)]
pub(super) struct Finder(JoinHandle<()>);

impl Finder {
    pub(super) fn start(
        shared: &Arc<Shared>,
        directory: Arc<dyn Directory>,
        inputs: mpsc::Sender<Input>,
    ) -> Self {
        let shared = Arc::clone(shared);
        Self(tokio::spawn(async move {
            discover(&shared, &*directory, &inputs).await;
        }))
    }
}

impl Drop for Finder {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Registers this node if necessary and reports the nodes that it found to the control loop.
///
/// A node that restarts is still listed, so that one call is enough. When a whole mesh starts for
/// the first time, no node is listed, and each one registers before its look-up.
async fn discover(shared: &Shared, directory: &dyn Directory, inputs: &mpsc::Sender<Input>) {
    let id = shared.id;
    let first = shared.settings.first_start;
    if first {
        register(shared, directory).await;
    }
    let found = query_directory(shared, directory, first).await;
    let listed = first || found.nodes.contains(&id);
    // Sending fails only after the control loop has stopped.
    drop(inputs.send(Input::Discovered(found)).await);
    if listed {
        return;
    }
    register(shared, directory).await;
    sleep(RETRY_DELAY).await;
    if shared.members.load().len() <= 1 {
        let found = query_directory(shared, directory, true).await;
        drop(inputs.send(Input::Discovered(found)).await);
    }
}

/// Registers this node with the departures that it has acknowledged by now.
async fn register(shared: &Shared, directory: &dyn Directory) {
    let enter = || {
        let own = shared.departures.own.borrow().departures.clone();
        directory.enter(shared.id, own)
    };
    retry_until_ok(&shared.logger, enter).await;
}

async fn query_directory(
    shared: &Shared,
    directory: &dyn Directory,
    entered: bool,
) -> DirectoryListing {
    let found = retry_until_ok(&shared.logger, || directory.find(shared.id, entered)).await;
    info!(shared.logger, ""; "event" => Event::Found, "nodes" => found.nodes.len(),
        "held" => found.memos.len());
    if directory.unreadable() > 0 {
        report_skipped(shared, "directory", directory.unreadable());
    }
    found
}

/// Repeats a request with backoff until it succeeds.
pub(super) async fn retry_until_ok<'a, T>(
    logger: &Logger,
    request: impl Fn() -> PlatformFuture<'a, T>,
) -> T {
    let mut backoff = Backoff::new().with_limit(MAX_BACKOFF);
    let mut rng = SmallRng::from_os_rng();
    loop {
        match request().await {
            Ok(answer) => return answer,
            Err(err) => {
                warn!(logger, ""; "event" => Event::Found, "error" => %err);
                sleep(backoff.failed(&err, &mut rng)).await;
            }
        }
    }
}

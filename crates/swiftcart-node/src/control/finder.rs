//! Finds the other nodes through the directory, and enters this one.

use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use slog::{Logger, info, warn};
use swiftcart_platform::Backoff;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::sleep;

use super::{Input, note_unreadable};
use crate::edge::{Directory, DirectoryListing, PlatformFuture};
use crate::logging::Event;
use crate::shared::Shared;

/// The longest pause between two tries; others look for lost nodes as well.
const LONGEST: Duration = Duration::from_secs(2);

/// When a node that entered after it had looked looks again, unless it has met somebody: those
/// who were listed are gone, and another one may have entered at the same time.
const AGAIN: Duration = Duration::from_secs(2);

/// Looks the other nodes up, however often that has to be tried.
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
            look(&shared, &*directory, &inputs).await;
        }))
    }
}

impl Drop for Finder {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Enters this node where it has to, and tells the control loop whom it found.
///
/// A node that starts again is listed still, so that one call is enough. While a whole mesh
/// starts for the first time nobody is, and each node enters before it looks.
async fn look(shared: &Shared, directory: &dyn Directory, inputs: &mpsc::Sender<Input>) {
    let id = shared.id;
    let first = shared.settings.first_start;
    if first {
        persist(&shared.logger, || directory.enter(id)).await;
    }
    let found = find(shared, directory, first).await;
    let listed = first || found.nodes.contains(&id);
    // The control loop is gone when the node has stopped.
    drop(inputs.send(Input::Found(found)).await);
    if listed {
        return;
    }
    persist(&shared.logger, || directory.enter(id)).await;
    sleep(AGAIN).await;
    if shared.members.load().len() <= 1 {
        let found = find(shared, directory, true).await;
        drop(inputs.send(Input::Found(found)).await);
    }
}

async fn find(shared: &Shared, directory: &dyn Directory, entered: bool) -> DirectoryListing {
    let found = persist(&shared.logger, || directory.find(shared.id, entered)).await;
    info!(shared.logger, ""; "event" => Event::Found, "nodes" => found.nodes.len(),
        "held" => found.memos.len());
    if directory.unreadable() > 0 {
        note_unreadable(shared, "directory", directory.unreadable());
    }
    found
}

/// Asks until there is an answer.
pub(super) async fn persist<'a, T>(logger: &Logger, ask: impl Fn() -> PlatformFuture<'a, T>) -> T {
    let mut backoff = Backoff::new();
    let mut rng = SmallRng::from_os_rng();
    loop {
        match ask().await {
            Ok(answer) => return answer,
            Err(err) => {
                warn!(logger, ""; "event" => Event::Found, "error" => %err);
                sleep(backoff.failed(&err, &mut rng).min(LONGEST)).await;
            }
        }
    }
}

//! Enters the node into the directory, through which nodes find each other.

use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use slog::{Logger, info, warn};
use swiftcart_core::NodeId;
use swiftcart_platform::{Backoff, PlatformError};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::sleep;

use super::{Input, note_odd};
use crate::edge::Directory;
use crate::logging::Event;
use crate::shared::Shared;

/// The longest pause between two tries; others look for lost nodes as well.
const LONGEST: Duration = Duration::from_secs(2);

/// Looks the other nodes up once, however often that has to be tried.
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
            let found = look(&shared, &*directory).await;
            // The control loop is gone when the node has stopped.
            drop(inputs.send(Input::Found(found)).await);
        }))
    }
}

impl Drop for Finder {
    fn drop(&mut self) {
        self.0.abort();
    }
}

async fn look(shared: &Shared, directory: &dyn Directory) -> Vec<NodeId> {
    let logger = &shared.logger;
    let mut backoff = Backoff::new();
    let mut rng = SmallRng::from_os_rng();
    loop {
        match directory.enter(shared.id).await {
            Ok(found) => {
                info!(logger, ""; "event" => Event::Found, "nodes" => found.len());
                if directory.odd() > 0 {
                    note_odd(shared, "directory", directory.odd());
                }
                return found;
            }
            Err(err) => {
                note(logger, &err);
                sleep(backoff.failed(&err, &mut rng).min(LONGEST)).await;
            }
        }
    }
}

fn note(logger: &Logger, err: &PlatformError) {
    warn!(logger, ""; "event" => Event::Found, "error" => %err);
}

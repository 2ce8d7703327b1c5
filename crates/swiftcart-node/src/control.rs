//! Control plane of the node: follows the configuration, the membership and roll-outs.
//!
//! One task owns all control state and handles one event at a time: datagrams, pulls, pages of the
//! platform's log, announcements and timer ticks. `swiftcart-core` makes the decisions; this module
//! does the I/O.

mod board;
mod confirmations;
mod control_loop;
mod departures;
mod drains;
mod error;
mod finder;
mod findings;
mod following;
mod frames;
mod members;
mod net;
mod publish;
mod pulls;
mod quarantine_store;
mod quotas;
mod reader;
mod rollouts;
mod roster;
mod snapshot_cache;
mod source;
mod stream;
mod sync_client;
mod sync_server;
mod trials;
mod version_log;

use std::net::SocketAddr;
use std::sync::Arc;

use slog::{error, warn};
use swiftcart_platform::PlatformError;

pub use error::ControlError;

use self::board::RecordedRollout;
use self::control_loop::Control;
use self::pulls::PullOutcome;
use self::reader::ReadOutcome;
use crate::edge::{DirectoryListing, PlatformAdapters};
use crate::logging::Event;
use crate::shared::Shared;

/// External event for the control loop.
#[derive(Debug)]
enum Input {
    PullOutcome(Box<PullOutcome>),
    Read(Box<ReadOutcome>),
    /// Contents of the directory.
    Discovered(DirectoryListing),
    CheckpointAppended(Result<(), PlatformError>),
    /// State of a roll-out as recorded at the platform.
    RecordedRollout(RecordedRollout),
}

/// Binds the control sockets; [`BoundControl::run`] then keeps the routing view of `shared` up to
/// date.
///
/// # Errors
///
/// Returns an error if an address cannot be bound.
pub async fn open(
    shared: Arc<Shared>,
    edges: PlatformAdapters,
) -> Result<BoundControl, ControlError> {
    Control::open(shared, edges).await.map(BoundControl)
}

/// Control loop whose sockets are bound.
#[derive(Debug)]
pub struct BoundControl(Control);

impl BoundControl {
    /// Runs the control loop until the task is aborted.
    pub async fn run(self) {
        let logger = self.0.shared().logger.clone();
        self.0.run().await;
        error!(logger, ""; "event" => Event::Failed, "part" => "control");
    }
}

/// Counts and logs records of the platform that were skipped because they could not be read.
fn report_skipped(shared: &Shared, topic: &'static str, unreadable: u64) {
    let name = "swiftcart_platform_records_skipped_total";
    shared.counters.add(name, "topic", topic, unreadable);
    warn!(shared.logger, ""; "event" => Event::Skipped, "topic" => topic, "records" => unreadable);
}

/// Returns `true` if fault injection allows packets to and from `addr`.
fn reachable(shared: &Shared, addr: SocketAddr) -> bool {
    shared.faults.reaches(addr)
}

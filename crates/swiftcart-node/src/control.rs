//! Follows configuration and members for the other parts of the node.
//!
//! One task owns all state and takes one event after the other: datagrams, pulls,
//! pages of the platform's log, announcements and the passing of time. The
//! decisions are `swiftcart-core`'s; this module carries them out.

mod board;
mod control_loop;
mod drains;
mod error;
mod finder;
mod findings;
mod following;
mod frames;
mod members;
mod memory;
mod net;
mod placed;
mod publish;
mod pulls;
mod quotas;
mod reader;
mod rollouts;
mod roster;
mod source;
mod stream;
mod sync_client;
mod sync_server;
mod trials;

use std::net::SocketAddr;
use std::sync::Arc;

use slog::{error, warn};
use swiftcart_platform::PlatformError;

pub use error::ControlError;

use self::board::Settled;
use self::control_loop::Control;
use self::pulls::Pulled;
use self::reader::Read;
use crate::edge::{DirectoryListing, PlatformAdapters};
use crate::logging::Event;
use crate::shared::Shared;

/// An event from outside that the control loop takes.
#[derive(Debug)]
enum Input {
    Pulled(Box<Pulled>),
    Read(Box<Result<Read, PlatformError>>),
    /// What the directory holds.
    Found(DirectoryListing),
    Appended(Result<(), PlatformError>),
    /// How far the platform knows a roll-out to be.
    Settled(Settled),
}

/// Opens the control sockets; [`Opened::run`] then keeps the routing view of `shared`.
///
/// # Errors
///
/// Fails when an address cannot be bound.
pub async fn open(shared: Arc<Shared>, edges: PlatformAdapters) -> Result<Opened, ControlError> {
    Control::open(shared, edges).await.map(Opened)
}

/// A control edge whose sockets are open.
#[derive(Debug)]
pub struct Opened(Control);

impl Opened {
    /// Follows configuration and members until the task is ended.
    pub async fn run(self) {
        let logger = self.0.shared().logger.clone();
        self.0.run().await;
        error!(logger, ""; "event" => Event::Failed, "part" => "control");
    }
}

/// Counts and logs records of the platform that were passed over.
fn note_unreadable(shared: &Shared, topic: &'static str, unreadable: u64) {
    let name = "swiftcart_platform_records_skipped_total";
    shared.counters.add(name, "topic", topic, unreadable);
    warn!(shared.logger, ""; "event" => Event::Skipped, "topic" => topic, "records" => unreadable);
}

/// Tells whether the fault switch lets packets to and from `addr` pass.
fn reachable(shared: &Shared, addr: SocketAddr) -> bool {
    shared.faults.reaches(addr)
}

//! HTTP backend server with a concurrency limit, cold start, draining and fault injection.

mod advertised;
mod announce;
mod cached;
mod downstream;
mod execution;
mod faults;
mod incarnation;
mod ledger;
mod routes;
mod settings;
mod state;
mod stats;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio_util::task::AbortOnDropHandle;

pub use faults::{BackendFaults, Restart};
pub use ledger::{ExecutionCounts, Ledger};
pub use settings::{BackendSettings, ServiceTime};
pub use stats::BackendStats;
pub use swiftcart_core::Readiness;

use crate::Error;
use crate::serve::Server;
use announce::Announcer;
use state::Shared;

/// Handle of a running backend server.
///
/// Dropping the handle closes the listener and all connections at once, as if the process were
/// killed.
#[derive(Debug)]
pub struct BackendServer {
    shared: Arc<Shared>,
    server: Server,
    announcer: Option<Announcer>,
    /// Task that sends the announcements; it is aborted when the handle is dropped.
    announce_task: Option<AbortOnDropHandle<()>>,
}

impl BackendServer {
    /// Starts a backend server on `addr`.
    ///
    /// The backend server announces itself when `settings` contain the admin address of a node.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Listen`] when the listener cannot be bound to `addr`.
    pub async fn start(addr: SocketAddr, settings: BackendSettings) -> Result<Self, Error> {
        let limit = settings.connections as usize;
        let shared = Arc::new(Shared::new(settings));
        let router = routes::router(shared.clone());
        let server = Server::start(addr, limit, router, shared.conns.clone()).await?;
        let announcer = Announcer::new(&shared, server.addr());
        let announce_task = announcer.clone().map(|a| tokio::spawn(a.run()));
        Ok(Self {
            shared,
            server,
            announcer,
            announce_task: announce_task.map(AbortOnDropHandle::new),
        })
    }

    /// Returns the listen address.
    #[must_use]
    pub const fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Replaces the active faults and triggers an announcement at once, so that a changed readiness
    /// is reported without delay.
    pub fn set_faults(&self, faults: BackendFaults) {
        self.shared.set_faults(faults);
    }

    /// Returns a snapshot of the statistics.
    #[must_use]
    pub fn stats(&self) -> BackendStats {
        self.shared.stats()
    }

    /// Returns the execution counts of the request with this node or caller request id.
    #[must_use]
    pub fn runs_by_id(&self, id: &str) -> ExecutionCounts {
        self.shared.with_ledger(|l| l.by_id(id))
    }

    /// Returns the execution counts of an idempotency key.
    #[must_use]
    pub fn runs_by_key(&self, key: &str) -> ExecutionCounts {
        self.shared.with_ledger(|l| l.by_key(key))
    }

    /// Returns a copy of the ledger, which can be merged with those of other backend servers.
    #[must_use]
    pub fn ledger(&self) -> Ledger {
        self.shared.with_ledger(Ledger::clone)
    }

    /// Announces that the backend server is draining.
    ///
    /// Requests that still arrive are processed.
    pub fn drain(&self) {
        self.shared.drain();
    }

    /// Shuts the backend server down gracefully.
    ///
    /// Announces draining and serves requests for `grace`. Then waits for in-flight and queued
    /// requests, withdraws the announcement and stops the listener.
    pub async fn stop(self, grace: Duration) {
        self.drain();
        tokio::time::sleep(grace).await;
        self.shared.wait_idle().await;
        // Stops the announcements first: none may follow the withdrawal.
        drop(self.announce_task);
        if let Some(announcer) = &self.announcer {
            announcer.withdraw().await;
        }
        self.server.shutdown().await;
    }
}

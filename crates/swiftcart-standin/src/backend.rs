//! A backend server over HTTP, with slots, cold start, drain and faults.

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

/// Runs a backend server and holds its listener; dropping it kills the backend server.
#[derive(Debug)]
pub struct BackendServer {
    shared: Arc<Shared>,
    server: Server,
    announcer: Option<Announcer>,
    /// Ends the announcements with the handle.
    announce_task: Option<AbortOnDropHandle<()>>,
}

impl BackendServer {
    /// Starts a backend server on `addr`; it announces itself when `settings` name a node.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Listen`] when the address cannot be listened on.
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

    /// Returns the address that the backend server listens on.
    #[must_use]
    pub const fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Replaces the faults; a changed readiness is announced at once.
    pub fn set_faults(&self, faults: BackendFaults) {
        self.shared.set_faults(faults);
    }

    /// Returns what the backend server has counted.
    #[must_use]
    pub fn stats(&self) -> BackendStats {
        self.shared.stats()
    }

    /// Returns the executions of one request, by the node's request id or the caller's.
    #[must_use]
    pub fn runs_by_id(&self, id: &str) -> ExecutionCounts {
        self.shared.with_ledger(|l| l.by_id(id))
    }

    /// Returns the executions under one idempotency key.
    #[must_use]
    pub fn runs_by_key(&self, key: &str) -> ExecutionCounts {
        self.shared.with_ledger(|l| l.by_key(key))
    }

    /// Returns a copy of all executions, to be summed over backend servers.
    #[must_use]
    pub fn ledger(&self) -> Ledger {
        self.shared.with_ledger(Ledger::clone)
    }

    /// Announces draining; the backend server goes on with what still reaches it.
    pub fn drain(&self) {
        self.shared.drain();
    }

    /// Drains, serves for `grace`, finishes what is in flight, withdraws and stops.
    pub async fn stop(self, grace: Duration) {
        self.drain();
        tokio::time::sleep(grace).await;
        self.shared.wait_idle().await;
        // No announcement may follow the withdrawal.
        drop(self.announce_task);
        if let Some(announcer) = &self.announcer {
            announcer.withdraw().await;
        }
        self.server.shutdown().await;
    }
}

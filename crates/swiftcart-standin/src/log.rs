//! The platform's append-only log, in memory, over HTTP.

mod faults;
mod routes;
mod settings;
mod state;
mod stream;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

pub use faults::{LogFaults, Outage};
pub use settings::LogSettings;
pub use state::{LogStats, Refusal};
pub use stream::{Page, Record, StreamStats};

use crate::Error;
use crate::serve::Server;
use state::Shared;

/// Connections that the log accepts; a mesh of a thousand nodes may poll at once.
const CONNECTIONS: usize = 8192;

/// Runs the platform's log and holds its listener; dropping it kills the log.
#[derive(Debug)]
pub struct Log {
    shared: Arc<Shared>,
    server: Server,
}

impl Log {
    /// Starts a log with the default settings on `addr`.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Listen`] when the address cannot be listened on.
    pub async fn start(addr: SocketAddr) -> Result<Self, Error> {
        Self::start_with(addr, LogSettings::default()).await
    }

    /// Starts a log with `settings` on `addr`.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Listen`] when the address cannot be listened on.
    pub async fn start_with(addr: SocketAddr, settings: LogSettings) -> Result<Self, Error> {
        let shared = Arc::new(Shared::new(settings));
        let router = routes::router(shared.clone());
        let server = Server::start(addr, CONNECTIONS, router, Arc::default()).await?;
        Ok(Self { shared, server })
    }

    /// Returns the address that the log listens on.
    #[must_use]
    pub const fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Replaces the faults; held reads and stalled requests see it at once.
    pub fn set_faults(&self, faults: LogFaults) {
        self.shared.set_faults(faults);
    }

    /// Returns the faults in force; `lose_answers` counts down.
    #[must_use]
    pub fn faults(&self) -> LogFaults {
        self.shared.faults()
    }

    /// Moves the log's clock forward, which lets records expire.
    pub fn advance(&self, by: Duration) {
        self.shared.advance(by);
    }

    /// Appends a record directly, past the faults and the HTTP side, and returns its offset.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Append`] for a malformed stream name, an oversized record or an
    /// append over the rate.
    pub fn append(&self, stream: &str, body: &str) -> Result<u64, Error> {
        Ok(self.shared.append(stream, body)?.0)
    }

    /// Returns the kept records of `stream` from offset `from`, past the faults.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Append`] for a malformed stream name.
    pub fn read(&self, stream: &str, from: u64) -> Result<Page, Error> {
        Ok(self.shared.read(stream, from, usize::MAX)?.0)
    }

    /// Returns what the log has counted.
    #[must_use]
    pub fn stats(&self) -> LogStats {
        self.shared.stats()
    }
}

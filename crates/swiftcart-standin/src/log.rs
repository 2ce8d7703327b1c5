//! In-memory stand-in for the platform's append-only log, served over HTTP.

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
use state::SharedState;

/// Maximum number of connections; a mesh of a thousand nodes may poll at the same time.
const MAX_CONNECTIONS: usize = 8192;

/// Running stand-in for the platform's log; dropping it closes all connections at once.
#[derive(Debug)]
pub struct Log {
    shared: Arc<SharedState>,
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
        let shared = Arc::new(SharedState::new(settings));
        let router = routes::router(shared.clone());
        let server = Server::start(addr, MAX_CONNECTIONS, router, Arc::default()).await?;
        Ok(Self { shared, server })
    }

    /// Returns the address that the log listens on.
    #[must_use]
    pub const fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Replaces the injected faults. Long polls and stalled requests are woken to apply them.
    pub fn set_faults(&self, faults: LogFaults) {
        self.shared.set_faults(faults);
    }

    /// Returns the active faults; `lose_answers` is the number of responses still to be dropped.
    #[must_use]
    pub fn faults(&self) -> LogFaults {
        self.shared.faults()
    }

    /// Moves the log's clock forward, which can make records expire.
    pub fn advance(&self, by: Duration) {
        self.shared.advance(by);
    }

    /// Appends a record without HTTP and without the injected faults, and returns its offset.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Append`] for a malformed stream name, an oversized record, an append over
    /// the rate limit or too many streams.
    pub fn append(&self, stream: &str, body: &str) -> Result<u64, Error> {
        Ok(self.shared.append(stream, body)?.0)
    }

    /// Returns the retained records of `stream` from offset `from`, without the injected faults.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Append`] for a malformed stream name or too many streams.
    pub fn read(&self, stream: &str, from: u64) -> Result<Page, Error> {
        Ok(self.shared.read(stream, from, usize::MAX)?.0)
    }

    /// Returns the log's counters.
    #[must_use]
    pub fn stats(&self) -> LogStats {
        self.shared.stats()
    }
}

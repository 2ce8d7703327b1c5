//! Origin of a caller's request: its connection and source address.

use std::net::IpAddr;
use std::sync::atomic::{AtomicU64, Ordering};

use http::Extensions;
use tokio::net::TcpStream;

/// Number of the next connection that a caller or another node opens to this process.
static NEXT_CONN: AtomicU64 = AtomicU64::new(1);

/// Number of a caller's connection in logs, unique in this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct CallerConn(pub u64);

impl CallerConn {
    /// Returns the number of the next connection.
    #[must_use]
    pub fn next() -> Self {
        Self(NEXT_CONN.fetch_add(1, Ordering::Relaxed))
    }

    /// Returns the connection that is stored in a request's extensions.
    #[must_use]
    pub fn from_extensions(extensions: &Extensions) -> Option<Self> {
        extensions.get().copied()
    }
}

/// Returns the extensions of requests that arrive on `stream`.
#[must_use]
pub fn origin_extensions(conn: CallerConn, stream: &TcpStream) -> Extensions {
    let mut extensions = Extensions::new();
    extensions.insert(conn);
    if let Some(addr) = CallerAddr::of(stream) {
        extensions.insert(addr);
    }
    extensions
}

/// IP address of the remote end of a caller's connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerAddr(IpAddr);

impl CallerAddr {
    /// Returns the remote address of `stream`, or `None` if the stream is closed already.
    fn of(stream: &TcpStream) -> Option<Self> {
        stream.peer_addr().ok().map(|addr| Self(addr.ip()))
    }

    /// Returns the address that is stored in a request's extensions.
    #[must_use]
    pub fn from_extensions(extensions: &Extensions) -> Option<Self> {
        extensions.get().copied()
    }

    /// Returns `true` if the remote end is on the instance with the address `instance`.
    ///
    /// Only the node and its backend server run on that instance, so such a request comes from the
    /// backend server. All other callers run elsewhere.
    #[must_use]
    pub fn is_instance(self, instance: IpAddr) -> bool {
        self.0 == instance
    }
}

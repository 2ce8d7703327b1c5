//! Source address of a caller's request.

use std::net::IpAddr;

use http::Extensions;
use tokio::net::TcpStream;

/// IP address of the remote end of a caller's connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerAddr(IpAddr);

impl CallerAddr {
    /// Returns the remote address of `stream`, or `None` if the stream is closed already.
    #[must_use]
    pub fn of(stream: &TcpStream) -> Option<Self> {
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

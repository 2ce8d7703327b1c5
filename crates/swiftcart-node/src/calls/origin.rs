//! Where a caller's request comes from.

use std::net::IpAddr;

use http::Extensions;
use tokio::net::TcpStream;

/// The address at the other end of a caller's connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Origin(IpAddr);

impl Origin {
    /// Returns where `stream` comes from; `None` when it is closed already.
    #[must_use]
    pub fn of(stream: &TcpStream) -> Option<Self> {
        stream.peer_addr().ok().map(|addr| Self(addr.ip()))
    }

    /// Returns the origin that was noted in a request.
    #[must_use]
    pub fn noted(extensions: &Extensions) -> Option<Self> {
        extensions.get().copied()
    }

    /// Tells whether the other end is on the instance with this address.
    ///
    /// The backend server shares its instance with the node only; callers come from elsewhere.
    #[must_use]
    pub fn is_at(self, instance: IpAddr) -> bool {
        self.0 == instance
    }
}

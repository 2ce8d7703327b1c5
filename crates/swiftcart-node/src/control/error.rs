//! Why the control edge cannot start, or one of its exchanges failed.

use std::io;
use std::net::SocketAddr;

use quick_error::quick_error;
use swiftcart_core::WireError;

quick_error! {
    /// Tells why the control edge cannot start, or why a pull failed.
    #[derive(Debug)]
    pub enum ControlError {
        /// The datagram socket cannot be opened.
        BindGossip(addr: SocketAddr, err: io::Error) {
            source(err)
            display("listen.gossip: {addr} cannot be bound: {err}: free the port or choose another")
        }
        /// The socket for state pulls cannot be opened.
        BindSync(addr: SocketAddr, err: io::Error) {
            source(err)
            display("listen.sync: {addr} cannot be listened on: {err}: free the port or choose another")
        }
        /// A pull failed on the way.
        Sync(err: io::Error) {
            from()
            source(err)
            display("state pull failed: {err}")
        }
        /// A pull took too long.
        Timeout {
            display("state pull took too long")
        }
        /// A message of a pull could not be sealed or opened.
        Wire(err: WireError) {
            from()
            source(err)
            display("state pull refused: {err}")
        }
        /// The peer's address for pulls is not known.
        UnknownAddress {
            display("the peer's address for state pulls is not known")
        }
    }
}

impl ControlError {
    /// Returns the name used in metrics.
    #[must_use]
    pub const fn as_str(&self) -> &'static str {
        match self {
            Self::BindGossip(..) | Self::BindSync(..) => "listen",
            Self::Timeout => "timeout",
            Self::Sync(_) => "connection",
            Self::Wire(e) => e.as_str(),
            Self::UnknownAddress => "unknown-address",
        }
    }
}

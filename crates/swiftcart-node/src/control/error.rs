//! Errors of the control loop's sockets and of state pulls.

use std::io;
use std::net::SocketAddr;

use quick_error::quick_error;
use swiftcart_core::WireError;

quick_error! {
    /// Error while binding the control sockets, or during a state pull.
    #[derive(Debug)]
    pub enum ControlError {
        /// The gossip socket cannot be bound.
        BindGossip(addr: SocketAddr, err: io::Error) {
            source(err)
            display("listen.gossip: {addr} cannot be bound: {err}: free the port or choose another")
        }
        /// The socket for state pulls cannot be bound.
        BindSync(addr: SocketAddr, err: io::Error) {
            source(err)
            display("listen.sync: {addr} cannot be bound: {err}: free the port or choose another")
        }
        /// An I/O error interrupted a pull.
        Sync(err: io::Error) {
            from()
            source(err)
            display("state pull failed: {err}")
        }
        /// A pull exceeded its timeout.
        Timeout {
            display("state pull took too long")
        }
        /// A message of a pull could not be sealed or opened.
        Wire(err: WireError) {
            from()
            source(err)
            display("state pull refused: {err}")
        }
        /// The peer's address for pulls is unknown.
        UnknownAddress {
            display("the peer's address for state pulls is not known")
        }
    }
}

impl ControlError {
    /// Returns the error's label in metrics.
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

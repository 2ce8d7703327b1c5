//! Datagrams between nodes: the messages, and the sealed form in which they travel.

mod datagram;
mod seal;

pub use datagram::*;
pub use seal::*;

//! Messages between nodes: datagrams, state pulls, and their authenticated encoding.

mod datagram;
mod seal;
mod sync;

pub use datagram::*;
pub use seal::{MAX_DATAGRAM_LEN, MeshKey, SEAL_LEN, WIRE_FORMAT, WireError, open, seal};
pub use sync::*;

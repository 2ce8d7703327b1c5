//! Messages between nodes: datagrams, state pulls, and the sealed form in which they travel.

mod datagram;
mod seal;
mod sync;

pub use datagram::*;
pub use seal::{FORMAT, MAX_DATAGRAM, MeshKey, SEAL_LEN, WireError, open, seal};
pub use sync::*;

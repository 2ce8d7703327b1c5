//! Feed of configuration versions: follows the stream of records and snapshots for one node.

mod action;
mod enforcement_gate;
mod follow;
mod freshness;
mod log_scan;
mod readiness_gate;
mod replay_start;
mod ring;
mod settings;
mod snapshot_feed;
mod tree;
mod witness;

pub use action::*;
pub use enforcement_gate::*;
pub use follow::*;
pub use freshness::{Freshness, takeover_delay};
pub use readiness_gate::*;
pub use replay_start::ReplayStart;
pub use settings::*;
pub use snapshot_feed::*;
pub use tree::*;
pub use witness::*;

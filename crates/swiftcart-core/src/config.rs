//! Configuration tables, the edits that operators publish, and the rules that accept them.

mod check;
mod checkpoint;
mod compact;
mod delta;
mod diff;
mod envelope;
mod fold;
mod policy;
mod recent;
mod record;
mod removed;
mod snapshot;
mod state;
mod table;
mod verdict;
mod version;

pub use check::*;
pub use checkpoint::*;
pub use compact::*;
pub use delta::*;
pub use diff::*;
pub use envelope::*;
pub use fold::*;
pub use policy::*;
pub use record::*;
pub use snapshot::*;
pub use table::*;
pub use verdict::*;
pub use version::*;

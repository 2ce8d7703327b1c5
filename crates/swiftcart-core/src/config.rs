//! Configuration: the table, the edits that operators publish, and their acceptance.

mod record;
mod table;
mod version;

pub use record::*;
pub use table::*;
pub use version::*;

//! The operators' command-line tool of swiftcart.
//!
//! Operators pull the table as a sheet, edit it in a spreadsheet, check and publish
//! it, and see who published what and which nodes have it. The platform's log is the
//! only judge: this tool folds the same records as every node.

// One macro declares all variants of the error, one recursion for each.
#![recursion_limit = "256"]

mod account;
mod admin;
mod args;
mod error;
mod exit;
mod explain;
mod fleet;
mod plan;
mod publish;
mod render;
mod report;
mod retry;
mod run;
mod settings;
mod sheet;
mod stream;

pub use account::*;
pub use admin::*;
pub use args::*;
pub use error::*;
pub use exit::*;
pub use explain::*;
pub use fleet::*;
pub use plan::*;
pub use publish::*;
pub use render::*;
pub use report::*;
pub use retry::*;
pub use run::*;
pub use settings::*;
pub use sheet::*;
pub use stream::*;

//! Command-line tool `swiftcart` for operators.
//!
//! Operators pull the table as a CSV sheet, edit it in a spreadsheet, then check and publish it.
//! They can list the publishes with their authors, and the version of each node. The platform's log
//! is the only source of truth: this tool folds the same records as every node does.

// The macro that declares the error type recurses once for each variant.
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

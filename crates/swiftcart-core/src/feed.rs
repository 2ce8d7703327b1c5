//! The feed: how one node follows the configuration stream, wherever records come from.

mod action;
mod anchor;
mod floor;
mod follow;
mod join;
mod ring;
mod search;
mod settings;
mod snapshots;
mod tree;
mod witness;

pub use action::*;
pub use anchor::Anchor;
pub use floor::*;
pub use follow::*;
pub use join::*;
pub use settings::*;
pub use snapshots::*;
pub use tree::*;
pub use witness::*;

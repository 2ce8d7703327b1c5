//! Holds every decision of swiftcart as a plain state machine.
//!
//! An input event, the current time and a seeded random source go in; new state
//! and typed actions come out. There are no sockets, clocks or runtimes here, so
//! that tests drive the machines in virtual time and other programs embed them.

mod account;
mod admission;
mod balance;
mod budget;
mod claim;
mod config;
mod crash;
mod deadline;
mod drain;
mod feed;
mod homes;
mod link;
mod member;
mod notice;
mod outcome;
mod profile;
mod rate;
mod refusal_history;
mod retry;
mod rollout;
mod slot_search;
mod time;
mod view;
mod warmup;
mod wire;

pub use account::*;
pub use admission::*;
pub use balance::*;
pub use budget::*;
pub use claim::*;
pub use config::*;
pub use crash::*;
pub use deadline::*;
pub use drain::*;
pub use feed::*;
pub use homes::*;
pub use link::*;
pub use member::*;
pub use notice::*;
pub use outcome::*;
pub use profile::*;
pub use rate::*;
pub use refusal_history::*;
pub use retry::*;
pub use rollout::*;
pub use slot_search::*;
pub use time::*;
pub use view::*;
pub use warmup::*;
pub use wire::*;

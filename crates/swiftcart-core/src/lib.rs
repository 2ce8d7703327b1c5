//! Decision logic of swiftcart as state machines without I/O.
//!
//! A state machine takes an input event, the current time and a seeded random number generator.
//! It returns typed actions and updates its state. The crate contains no sockets, clocks or async
//! runtimes, so tests can run the state machines in virtual time and other programs can embed
//! them.

mod account;
mod admission;
mod ask_throttle;
mod balance;
mod budget;
mod claim;
mod config;
mod conn_history;
mod conn_requests;
mod crash;
mod deadline;
mod decay;
mod drain;
mod feed;
mod held_bytes;
mod homes;
mod link;
mod member;
mod nested;
mod notice;
mod outcome;
mod profile;
mod rate;
mod refusal_history;
mod request_framing;
mod request_origin;
mod retry;
mod rollout;
mod slot_search;
mod spill;
mod stated_load;
mod time;
mod view;
mod warmup;
mod wire;

pub use account::*;
pub use admission::*;
pub use ask_throttle::*;
pub use balance::*;
pub use budget::*;
pub use claim::*;
pub use config::*;
pub use conn_history::*;
pub use conn_requests::*;
pub use crash::*;
pub use deadline::*;
pub use drain::*;
pub use feed::*;
pub use held_bytes::*;
pub use homes::*;
pub use link::*;
pub use member::*;
pub use nested::*;
pub use notice::*;
pub use outcome::*;
pub use profile::*;
pub use rate::*;
pub use refusal_history::*;
pub use request_framing::*;
pub use request_origin::*;
pub use retry::*;
pub use rollout::*;
pub use slot_search::*;
pub use spill::*;
pub use stated_load::*;
pub use time::*;
pub use view::*;
pub use warmup::*;
pub use wire::*;

//! Roll-outs: canary trials, staged replacement and rollback of a service's releases.
//!
//! An operator orders the roll-out of a release whose backend servers already run beside the old
//! ones. Only the guard of a backend server hands requests to it, so each guard needs to know only
//! the state of its own backend server. Until the release is approved, a backend server of the new
//! release accepts only the requests that it was granted. Once the service has moved, a backend
//! server of the old release accepts no new requests.
//!
//! Any node may evaluate the trial. Its decisions only move a roll-out forward through a fixed
//! order of stages, so several nodes may evaluate the same trial concurrently. The platform accepts
//! only one final state.

mod analysis;
mod evidence;
mod message;
mod order;
mod rollouts;
mod schedule;
mod stage;
mod trial;

pub use analysis::{
    Finding as RolloutFinding, RequestCounts, RolloutMetric, RouteComparison, ServerCounts,
};
pub use evidence::*;
pub use message::*;
pub use order::*;
pub use rollouts::*;
pub use schedule::*;
pub use stage::*;
pub use trial::*;

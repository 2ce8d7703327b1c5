//! Roll-outs: bringing a new release of a service into use, or taking it back.
//!
//! An operator orders that a service move to a release whose backend servers were started
//! beside the old ones. Only the node beside a backend server hands it work, so a node has to
//! know no more than its own part: a backend server of the new release runs what it has credit
//! for until the release is approved, and one of the old release takes no new work once the
//! service has moved. Any node may watch the trial; what it decides is a step forward in one
//! order of stages, so that several who watch do no harm, and the platform accepts one end only.

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

//! Cluster membership: a gossip protocol with failure detection, similar to SWIM.
//!
//! Nodes of the same failure domain probe each other and may declare a node dead. Between failure
//! domains, nodes only exchange updates and track which failure domains are reachable. Nodes
//! compare hashes of their member lists and pull the differing entries (anti-entropy).

mod action;
mod departure;
mod dissemination;
mod entry;
mod limiter;
mod list;
mod membership;
mod peers;
mod probe;
mod prober;
mod reachability;
mod settings;
mod succession;
mod suspicion;
mod update_queue;
mod view;

pub use action::*;
pub use departure::*;
pub use entry::*;
pub use limiter::*;
pub use membership::*;
pub use settings::*;
pub use succession::*;

pub use list::HASH_BUCKETS;

use list::{ApplyOutcome, MemberList};
use probe::{PendingProbes, Probe, ProbeKind, RelayedProbe};
use reachability::DomainReachability;
use update_queue::UpdateQueue;

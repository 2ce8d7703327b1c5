//! Partitions of a service's claims and the guards that serve them.

use crate::{ClaimKey, NodeId, ServiceName, rank};

impl ClaimKey {
    /// Returns the index of the key's partition out of `partitions`.
    #[must_use]
    pub const fn partition(self, partitions: u16) -> u16 {
        (self.0 % partitions as u128) as u16
    }
}

/// Returns the name of the stream that holds a partition's claims.
///
/// # Examples
///
/// ```
/// use swiftcart_core::{ServiceName, claim_stream};
///
/// assert_eq!(claim_stream(&ServiceName::new("booking"), 3), "claims-booking-3");
/// ```
#[must_use]
pub fn claim_stream(service: &ServiceName, partition: u16) -> String {
    format!("claims-{service}-{partition}")
}

/// Orders `guards` by rendezvous hash of the partition, the preferred one first.
///
/// All keys of a partition have the same preferred guards, so that few nodes read its stream.
/// The order is only a hint: any guard may claim a key, and correctness does not depend on the
/// order. A guard that joins or leaves changes the first guard only of partitions that rank it
/// first.
///
/// # Examples
///
/// ```
/// use swiftcart_core::{NodeId, ServiceName, rank_guards};
///
/// let guards = [1, 2, 3].map(|p| NodeId(([127, 0, 0, 1], p).into()));
/// let order = rank_guards(&ServiceName::new("booking"), 0, &guards);
/// let others: Vec<_> = guards.into_iter().filter(|g| *g != order[0]).collect();
/// assert_eq!(rank_guards(&ServiceName::new("booking"), 0, &others), order[1..]);
/// ```
#[must_use]
pub fn rank_guards(service: &ServiceName, partition: u16, guards: &[NodeId]) -> Vec<NodeId> {
    rank(guards, &claim_stream(service, partition))
}

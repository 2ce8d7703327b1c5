//! What the membership asks of the process around it, and what it counts.

use crate::{Datagram, FailureDomain, NodeId};

/// Asks the process for something, or tells it what has changed.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Action {
    /// Send this datagram.
    Send(NodeId, Datagram),
    /// What is known of this node has changed.
    Changed(NodeId),
    /// Pull the differing part of the member list from this node.
    ///
    /// Hand the entries to [`Membership::merge`](crate::Membership::merge). When the
    /// peer is busy, call [`Membership::postpone_pulls`](crate::Membership::pull_busy); after any
    /// other failure there is nothing to do: the membership asks again.
    Pull(NodeId),
    /// This failure domain cannot be reached any more; its entries are kept.
    Unreachable(FailureDomain),
    /// This failure domain is reached again.
    Reachable(FailureDomain),
}

/// Counts what the membership has done since its start.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Hash)]
pub struct MemberCounts {
    /// Probes sent.
    pub probes: u64,
    /// Probes that got no answer, neither directly nor through others.
    pub missed: u64,
    /// Suspicions that started here.
    pub suspected: u64,
    /// Nodes declared dead here.
    pub declared: u64,
    /// Accusations of this node that it refuted.
    pub refuted: u64,
    /// Pauses of this process that it noticed.
    pub pauses: u64,
    /// Accusations withheld because this process was paused or hears nobody.
    pub withheld: u64,
    /// Member list pulls asked for.
    pub pulls: u64,
    /// Entries refused because the list was full.
    pub full: u64,
    /// Requests to probe for others that were refused because too many were open.
    pub busy: u64,
}

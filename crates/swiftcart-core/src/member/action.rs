//! Actions that the membership requests from its caller, and its counters.

use crate::{Datagram, FailureDomain, NodeId};

/// Action requested from the embedding process, or notification of a change.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Action {
    /// Send the datagram to the node.
    Send(NodeId, Datagram),
    /// The entry of the node has changed.
    Changed(NodeId),
    /// Pull the differing entries of the member list from the node.
    ///
    /// Pass the entries to [`Membership::merge`](crate::Membership::merge). If the peer is busy,
    /// call [`Membership::postpone_pulls`](crate::Membership::postpone_pulls). Other failures
    /// need no handling, since the membership requests another pull.
    Pull(NodeId),
    /// The failure domain has become unreachable; its entries are kept.
    Unreachable(FailureDomain),
    /// The failure domain is reachable again.
    Reachable(FailureDomain),
}

/// Counters of the membership since its start.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Hash)]
pub struct MemberCounts {
    /// Probes sent.
    pub probes: u64,
    /// Probes that were answered neither directly nor through other nodes.
    pub missed_probes: u64,
    /// Suspicions that this node started.
    pub suspected: u64,
    /// Nodes that this node declared dead.
    pub declared_dead: u64,
    /// Wrong claims about this node that it refuted.
    pub refuted: u64,
    /// Detected pauses of this process.
    pub pauses: u64,
    /// Suspicions withheld because this process was paused or receives no datagrams.
    pub withheld_suspicions: u64,
    /// Requested pulls of a member list.
    pub pulls: u64,
    /// Entries rejected because the member list was full.
    pub rejected_entries: u64,
    /// Indirect probe requests rejected because too many relayed probes were pending.
    pub rejected_relays: u64,
}

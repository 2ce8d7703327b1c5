//! Messages that fit into one datagram.

use serde::{Deserialize, Serialize};

use crate::{
    DepartureMessage, DrainMessage, Findings, Incarnation, Liveness, Member, NodeId, QuotaMessage,
    RolloutMessage, Version,
};

/// Sequence number of a probe. The acknowledgement repeats it.
pub type Seq = u32;

/// Position of a node in the configuration stream.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Head {
    /// Offset that the node reads next, or the newest version if the platform validates versions
    /// itself.
    pub position: u64,
    /// Short digest of the state at this position.
    pub digest: u64,
}

/// Gossip update about one node.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum MemberUpdate {
    /// Complete member entry of a node.
    Entry(Member),
    /// Liveness of a node, for receivers that already have its member entry.
    Status(Status),
}

impl MemberUpdate {
    /// Returns the node that the update is about.
    #[must_use]
    pub const fn id(&self) -> NodeId {
        match self {
            Self::Entry(member) => member.id,
            Self::Status(status) => status.id,
        }
    }
}

/// Liveness of a node. Without the node's addresses, it takes fewer bytes than a member entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Status {
    /// Identifier of the node.
    pub id: NodeId,
    /// Incarnation that orders this update among all updates about the node.
    pub incarnation: Incarnation,
    /// Liveness in this incarnation.
    pub liveness: Liveness,
}

/// Payload of every probe and every acknowledgement.
#[derive(Debug, Default, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Position of the sender in the configuration stream.
    pub head: Head,
    /// Hash of the sender's member list.
    pub hash: u32,
    /// Updates about the sender and other nodes.
    pub news: Vec<MemberUpdate>,
}

/// Message between two nodes.
///
/// Postcard encodes a variant as its position in this list. New variants are therefore added at the
/// end, and a change to an existing variant needs a new [`WIRE_FORMAT`](crate::WIRE_FORMAT).
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Datagram {
    /// Asks the receiver for a [`Datagram::Ack`].
    Probe {
        /// Sequence number, which the answer repeats.
        seq: Seq,
        /// Payload of the sender.
        beat: Heartbeat,
    },
    /// Answers a [`Datagram::Probe`].
    Ack {
        /// Sequence number of the probe.
        seq: Seq,
        /// Payload of the sender.
        beat: Heartbeat,
    },
    /// Asks the receiver to probe `target` on behalf of the sender.
    ProbeFor {
        /// Sequence number of the sender, which the relayed answer repeats.
        seq: Seq,
        /// Node that did not answer the sender.
        target: NodeId,
    },
    /// Reports that `target` has answered the probe that the receiver's [`Datagram::ProbeFor`]
    /// requested.
    AckFor {
        /// Sequence number of the request.
        seq: Seq,
        /// Node that answered.
        target: NodeId,
    },
    /// Carries updates outside of probes.
    Gossip {
        /// Updates about the sender and other nodes.
        news: Vec<MemberUpdate>,
    },
    /// Carries new records or a delta of the configuration stream down the push tree.
    Push {
        /// Reader that read the records or the version from the platform. It is the root of the
        /// tree.
        origin: NodeId,
        /// Encoded records or an encoded delta.
        entries: Vec<u8>,
    },
    /// Reports a version to a witness before the sender enforces it.
    Report {
        /// Reported version.
        version: Version,
    },
    /// Confirms that the sender has stored the reported version.
    ReportAck {
        /// Reported version.
        version: Version,
    },
    /// Asks for the version that the sender must have reached before it serves.
    FloorAsk,
    /// Answers a [`Datagram::FloorAsk`].
    FloorReply {
        /// The greater of the version that the asking node had reported and the version that the
        /// answering node enforces, or [`Version::NONE`].
        version: Version,
    },
    /// Announces a graceful shutdown of the sender.
    Leave {
        /// Incarnation of the sender that ends.
        incarnation: Incarnation,
    },
    /// Replaces a [`Datagram::Push`] when the records or the delta are too long for a datagram.
    Offer {
        /// Reader that read the records or the version from the platform. It is the root of the
        /// tree.
        origin: NodeId,
        /// Position of the sender in the configuration stream. The receiver pulls up to this
        /// position.
        head: Head,
    },
    /// Reports which requests were running when backend servers crashed, and which requests are
    /// harmless. The previous release does not know this variant and drops it.
    Findings(Findings),
    /// Carries messages about roll-outs. The previous release does not know this variant and drops
    /// it.
    Rollouts(RolloutMessage),
    /// Carries the request counts and the admission ratios of client accounts. The previous release
    /// does not know this variant and drops it.
    Quotas(QuotaMessage),
    /// Reports which failure domains are drained. The previous release does not know this variant
    /// and drops it.
    Drains(DrainMessage),
    /// Confirms that a position of the configuration stream was the newest one. The previous
    /// release does not know this variant and drops it.
    Confirmation(Confirmation),
    /// Carries messages about departures of backend servers that nodes have acknowledged. The previous
    /// release does not know this variant and drops it.
    Departures(DepartureMessage),
}

/// Result of a read of the platform, for all nodes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Confirmation {
    /// Random number that identifies the read. It selects the tree in which the message is
    /// forwarded, see [`relay_children`](crate::relay_children).
    pub round: u64,
    /// Newest position at the platform.
    pub head: Head,
    /// Time since the platform was read, in milliseconds.
    pub age_ms: u32,
    /// Position after the version in the platform's history; `None` if the sender does not know it.
    pub place: Option<u64>,
}

impl Datagram {
    /// Returns the sender's position in the configuration stream if the message is a probe or an
    /// acknowledgement.
    #[must_use]
    pub const fn head(&self) -> Option<Head> {
        match self {
            Self::Probe { beat, .. } | Self::Ack { beat, .. } => Some(beat.head),
            _ => None,
        }
    }
}

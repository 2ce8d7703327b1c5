//! The messages that fit into one datagram.

use serde::{Deserialize, Serialize};

use crate::{
    DrainMessage, Findings, Incarnation, Liveness, Member, NodeId, QuotaMessage, RolloutMessage,
    Version,
};

/// Numbers a probe; the acknowledgement repeats it.
pub type Seq = u32;

/// Tells how far a node has read the configuration stream.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Head {
    /// The offset that the node reads next.
    pub position: u64,
    /// The short digest of the state up to there.
    pub digest: u64,
}

/// Tells one thing about one node.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum MemberUpdate {
    /// Everything that is known of a node.
    Entry(Member),
    /// Only its liveness, for receivers that know the rest.
    Status(Status),
}

impl MemberUpdate {
    /// Returns the node that the news is about.
    #[must_use]
    pub const fn id(&self) -> NodeId {
        match self {
            Self::Entry(member) => member.id,
            Self::Status(status) => status.id,
        }
    }
}

/// Tells the liveness of a node without its addresses, which saves bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Status {
    /// The node.
    pub id: NodeId,
    /// The order of this news among all news of the node.
    pub incarnation: Incarnation,
    /// Whether the node is believed alive.
    pub liveness: Liveness,
}

/// What every probe and every acknowledgement carries.
#[derive(Debug, Default, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender's place in the configuration stream.
    pub head: Head,
    /// The hash of the sender's member list.
    pub hash: u32,
    /// What the sender passes on of other nodes and itself.
    pub news: Vec<MemberUpdate>,
}

/// A message between two nodes.
///
/// Postcard writes a variant as its position in this list: new variants go to the
/// end, and a change of an existing one needs a new [`WIRE_FORMAT`](crate::FORMAT).
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Datagram {
    /// Asks the receiver for an [`Datagram::Ack`].
    Probe {
        /// Repeated in the answer.
        seq: Seq,
        /// The sender's state.
        beat: Heartbeat,
    },
    /// Answers a probe.
    Ack {
        /// The probe's number.
        seq: Seq,
        /// The sender's state.
        beat: Heartbeat,
    },
    /// Asks the receiver to probe `target` in the sender's place.
    ProbeFor {
        /// The sender's own number; the relayed answer repeats it.
        seq: Seq,
        /// The node that did not answer the sender.
        target: NodeId,
    },
    /// Tells that `target` has answered the receiver's [`Datagram::ProbeFor`].
    AckFor {
        /// The number in the request.
        seq: Seq,
        /// The node that answered.
        target: NodeId,
    },
    /// Passes on news outside a probe.
    Gossip {
        /// The news.
        news: Vec<MemberUpdate>,
    },
    /// Carries new records of the configuration stream down the tree.
    Push {
        /// The reader that read them from the platform.
        origin: NodeId,
        /// The encoded records.
        entries: Vec<u8>,
    },
    /// Reports a version to a witness before the sender puts it in force.
    Report {
        /// The version.
        version: Version,
    },
    /// Confirms that the sender remembers the reported version.
    ReportAck {
        /// The version.
        version: Version,
    },
    /// Asks for the greatest version that the receiver knows the sender to have reported.
    FloorAsk,
    /// Answers a [`Datagram::FloorAsk`].
    FloorReply {
        /// The greatest version, or [`Version::NONE`].
        version: Version,
    },
    /// Tells that the sender stops by itself.
    Leave {
        /// The incarnation that ends.
        incarnation: Incarnation,
    },
    /// Stands in a [`Datagram::Push`]'s place when the records are too long for a datagram.
    Offer {
        /// The reader that read them from the platform.
        origin: NodeId,
        /// The sender's place in the configuration stream; the receiver pulls up to it.
        head: Head,
    },
    /// Tells which requests were running when backend servers ended, and which are harmless; the
    /// release before does not know this, and drops it.
    Findings(Findings),
    /// Tells of roll-outs; the release before does not know this, and drops it.
    Rollouts(RolloutMessage),
    /// Tells what client accounts have sent and may send; the release before does not know this,
    /// and drops it.
    Quotas(QuotaMessage),
    /// Tells which failure domains are drained; the release before does not know this, and drops it.
    Drains(DrainMessage),
}

impl Datagram {
    /// Returns the sender's place in the configuration stream, when the message carries one.
    #[must_use]
    pub const fn head(&self) -> Option<Head> {
        match self {
            Self::Probe { beat, .. } | Self::Ack { beat, .. } => Some(beat.head),
            _ => None,
        }
    }
}

//! Actions, pull answers and counters of the feed.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::ReplayStart;
use crate::{Checkpoint, Delta, Entry, NodeId, Offset, Snapshot, Version};

/// Origin of records.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RecordSource {
    /// The platform's log.
    Platform,
    /// Another node.
    Peer(NodeId),
}

impl RecordSource {
    /// Returns the metric label of the source.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Platform => "platform",
            Self::Peer(_) => "peer",
        }
    }
}

/// Action that the node performs on behalf of the feed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FeedAction {
    /// Send the records to this node's children in the tree of `origin`.
    Push {
        /// Reader at the root of the tree.
        origin: NodeId,
        /// Records without gaps.
        entries: Vec<Entry>,
    },
    /// Ask `peer` for the records from offset `from` on; see [`PullAnswer`].
    Pull {
        /// Node with the greater position.
        peer: NodeId,
        /// Offset of the next record to fold. A [`SnapshotFeed`](crate::SnapshotFeed) gives its
        /// newest version instead.
        from: Offset,
    },
    /// The feed has advanced to this version.
    Applied(Version),
    /// The next record needs this rule, which this release does not know. The version stays the
    /// same.
    Stalled(u16),
    /// The source has a different state at the same position, or an older version at a later
    /// position. The feed keeps its own state.
    Diverged(RecordSource),
    /// The log starts at this offset, which is not 0, and holds no usable checkpoint. The state has
    /// to come from a peer.
    NoStart(Offset),
    /// Append this checkpoint to the log.
    AppendCheckpoint(Checkpoint),
    /// Send the delta to this node's children in the tree of `origin`, or offer them the version
    /// when there is no delta or the delta is too long for a datagram.
    PushDelta {
        /// Reader at the root of the tree.
        origin: NodeId,
        /// Change from the previous version, or `None` if this node had no previous version.
        delta: Option<Arc<Delta>>,
    },
}

/// Answer to a pull.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PullAnswer {
    /// The requesting node is up to date with this node.
    Current,
    /// Records from the requesting node's position on.
    Entries {
        /// Records without gaps.
        entries: Vec<Entry>,
        /// Position of the answering node. The requesting node pulls again while its own position
        /// is smaller.
        next: Offset,
    },
    /// State of the fold with the records that follow it.
    State {
        /// Checkpoint that holds the state.
        checkpoint: Checkpoint,
        /// Oldest record that readers of the log need, if known.
        #[serde(rename = "anchor")]
        replay_start: Option<ReplayStart>,
        /// Records without gaps.
        entries: Vec<Entry>,
        /// Position of the answering node.
        next: Offset,
    },
    /// Newest version, from a platform that validates versions itself.
    Snapshot(Arc<Snapshot>),
    /// Deltas from the requesting node's version to the newest version, in order.
    Deltas(Vec<Arc<Delta>>),
}

/// Counters of a feed.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Hash)]
pub struct FeedCounts {
    /// Records folded.
    pub folded: u64,
    /// Records skipped because they were folded before.
    pub repeated: u64,
    /// Batches that did not start with the next record or had a gap.
    pub gaps: u64,
    /// Checkpoints adopted.
    pub adopted: u64,
    /// Checkpoints refused because they are damaged or not newer than the own state.
    pub refused: u64,
    /// Cases in which a source had a different state at the same position, or an older version at a
    /// later position.
    pub diverged: u64,
    /// Records that are not a valid envelope.
    pub malformed: u64,
    /// Publish records rejected by validation.
    pub rejected: u64,
}

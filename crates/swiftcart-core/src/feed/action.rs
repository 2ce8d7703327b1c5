//! What the feed asks its node to do, and what nodes hand each other.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::ReplayStart;
use crate::{Checkpoint, Delta, Entry, NodeId, Offset, Snapshot, Version};

/// Where records came from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RecordSource {
    /// The platform's log.
    Platform,
    /// Another node.
    Peer(NodeId),
}

impl RecordSource {
    /// Returns the name used in metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Platform => "platform",
            Self::Peer(_) => "peer",
        }
    }
}

/// Asks the node to do something on behalf of the feed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FeedAction {
    /// Send the records to this node's children in the tree of `origin`.
    Push {
        /// The reader at the root of the tree.
        origin: NodeId,
        /// The records, without gaps.
        entries: Vec<Entry>,
    },
    /// Ask `peer` for the records from `from` on; see [`PullAnswer`].
    Pull {
        /// The node that is ahead.
        peer: NodeId,
        /// The offset of the next record to fold.
        from: Offset,
    },
    /// The fold now has this greater version.
    Applied(Version),
    /// The next record follows this later rule; the version stays.
    Stalled(u16),
    /// The source has another state at the same position; nothing changed.
    Diverged(RecordSource),
    /// The log neither starts at 0 nor holds a usable checkpoint; ask peers.
    NoStart(Offset),
    /// Append this checkpoint to the log.
    AppendCheckpoint(Checkpoint),
    /// Send the delta to this node's children in the tree of `origin`, or offer them the
    /// version when the delta is too long.
    PushDelta {
        /// The reader at the root of the tree.
        origin: NodeId,
        /// What leads to the version, where it is known.
        delta: Option<Arc<Delta>>,
    },
}

/// Answers a pull.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PullAnswer {
    /// The asker is as far as this node.
    Current,
    /// Records from the asker's position on.
    Entries {
        /// The records, without gaps.
        entries: Vec<Entry>,
        /// This node's position; the asker pulls again when it is still behind.
        next: Offset,
    },
    /// A state with the records that follow it.
    State {
        /// The state.
        checkpoint: Checkpoint,
        /// The oldest record that the log's readers need, when it is known.
        anchor: Option<ReplayStart>,
        /// The records, without gaps.
        entries: Vec<Entry>,
        /// This node's position.
        next: Offset,
    },
    /// The newest version of a platform that judges versions itself.
    Snapshot(Arc<Snapshot>),
    /// What leads to it from the asker's version, in order.
    Deltas(Vec<Arc<Delta>>),
}

/// Counts what the feed met, for metrics.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Hash)]
pub struct FeedCounts {
    /// Records folded.
    pub folded: u64,
    /// Records that were known already.
    pub repeated: u64,
    /// Batches that began after the next record.
    pub gaps: u64,
    /// Checkpoints adopted.
    pub adopted: u64,
    /// Checkpoints refused, because they are damaged or would move back.
    pub refused: u64,
    /// Sources that had another state at the same position.
    pub diverged: u64,
    /// Records that are no envelope.
    pub malformed: u64,
    /// Publishes rejected.
    pub rejected: u64,
}

//! Messages of state pulls, which are sent over a stream and may be longer than a datagram.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use super::seal::{Frame, MessageKind};
use super::{MeshKey, WireError};
use crate::{CompactSnapshot, Member, NodeId, Offset, PullAnswer};

/// Maximum length of a sealed message of a state pull in bytes.
pub const MAX_SYNC_LEN: usize = 8 << 20;

/// Request for state of another node.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum SyncRequest {
    /// Requests records, deltas or a snapshot of the configuration stream.
    Feed {
        /// Offset of the next record that the requesting node reads, or its version if the platform
        /// validates versions itself.
        from: Offset,
    },
    /// Requests entries of the member list.
    Members {
        /// Hash of each bucket of the requesting node's list.
        buckets: Vec<u32>,
    },
    /// Requests the newest complete version with its offset in the platform's storage. The previous
    /// release does not know this variant and does not answer.
    Whole,
}

/// Answer to a [`SyncRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum SyncReply {
    /// Answers [`SyncRequest::Feed`].
    Feed(PullAnswer),
    /// Answers [`SyncRequest::Members`] with the entries of the buckets that differ.
    Members(Vec<Member>),
    /// The node is at its limit of concurrent pulls or of pulls per second.
    Busy {
        /// Delay before the requesting node should retry, in milliseconds.
        retry_ms: u32,
    },
    /// Answers [`SyncRequest::Whole`].
    Whole(PositionedSnapshot),
}

/// Complete version with its offset in the platform's storage.
///
/// The receiver reads from the offset [`next`](Self::next) and needs only a few bytes to determine
/// whether the version is the newest.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PositionedSnapshot {
    /// Offset after the version in the platform's storage.
    pub next: u64,
    /// Version in its compact form.
    pub compact: CompactSnapshot,
}

/// Encodes and authenticates a message of a state pull.
///
/// # Errors
///
/// Returns [`WireError::Oversize`] when the result is longer than [`MAX_SYNC_LEN`].
pub fn seal_sync<T: Serialize>(
    message: &T,
    from: NodeId,
    key: &MeshKey,
) -> Result<Vec<u8>, WireError> {
    Frame::new(MessageKind::Sync, MAX_SYNC_LEN).seal(message, from, key)
}

/// Checks and decodes a message of a state pull and returns its sender.
///
/// # Errors
///
/// Returns a [`WireError`] for every input that [`seal_sync`] cannot have produced with `key`.
pub fn open_sync<T: DeserializeOwned>(
    sealed: &[u8],
    key: &MeshKey,
) -> Result<(NodeId, T), WireError> {
    Frame::new(MessageKind::Sync, MAX_SYNC_LEN).open(sealed, key)
}

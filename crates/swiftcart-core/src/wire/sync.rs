//! The messages of state pulls, which travel over a stream and may be long.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use super::seal::{Frame, Kind};
use super::{MeshKey, WireError};
use crate::{CompactSnapshot, Member, NodeId, Offset, PullAnswer};

/// The greatest length of a sealed message of a state pull in bytes.
pub const MAX_SYNC_LEN: usize = 8 << 20;

/// Asks another node for state.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum SyncRequest {
    /// Asks for records of the configuration stream.
    Feed {
        /// The offset of the next record that the asker folds.
        from: Offset,
    },
    /// Asks for entries of the member list.
    Members {
        /// The hashes of the asker's list, part by part.
        buckets: Vec<u32>,
    },
    /// Asks for the newest whole version with its place at the platform; the release before does not
    /// know this, and answers nothing.
    Whole,
}

/// Answers a [`SyncRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum SyncReply {
    /// Answers [`SyncRequest::Feed`].
    Feed(PullAnswer),
    /// Answers [`SyncRequest::Members`] with the entries of the parts that differ.
    Members(Vec<Member>),
    /// The node serves too many pulls at the moment.
    Busy {
        /// When the asker should come back, in milliseconds.
        retry_ms: u32,
    },
    /// Answers [`SyncRequest::Whole`].
    Whole(PositionedSnapshot),
}

/// A whole version, and where the platform's versions go on behind it.
///
/// Who gets it looks behind that place, and knows by a few bytes whether it is the newest one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PositionedSnapshot {
    /// The place behind the version.
    pub next: u64,
    /// The version.
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
    Frame::new(Kind::Sync, MAX_SYNC_LEN).seal(message, from, key)
}

/// Checks and decodes a message of a state pull and returns its sender.
///
/// # Errors
///
/// Returns a [`WireError`] for every input that [`seal_sync`] cannot have made with `key`.
pub fn open_sync<T: DeserializeOwned>(
    sealed: &[u8],
    key: &MeshKey,
) -> Result<(NodeId, T), WireError> {
    Frame::new(Kind::Sync, MAX_SYNC_LEN).open(sealed, key)
}

//! Messages about roll-outs between nodes.

use serde::{Deserialize, Serialize};

use super::{Evidence, OrderId, Release, RolloutStage};
use crate::ServiceName;

/// Maximum size of the encoded statuses in one datagram, in bytes. The rest of the datagram is
/// reserved for the authentication tag and the digest.
const DATAGRAM_BYTES: usize = 1000;

/// Status of one service's roll-out.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RolloutStatus {
    /// Service being rolled out.
    pub service: ServiceName,
    /// Newest order for the service.
    pub order: OrderId,
    /// Release named by the order.
    pub target: Release,
    /// Current stage.
    pub stage: RolloutStage,
    /// Time from the order to its deadline, in milliseconds.
    pub duration_ms: u32,
    /// Time left until the deadline, in milliseconds.
    pub left_ms: u32,
    /// Releases that were named by earlier orders and never came into use.
    pub barred: Vec<Release>,
}

/// Roll-out statuses, with a digest of the sender's state.
#[derive(Debug, Default, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RolloutStatuses {
    /// Digest of all roll-outs known to the sender.
    pub digest: u64,
    /// Set if the sender requests all statuses known to the receiver.
    pub asks: bool,
    /// Statuses in this message.
    pub list: Vec<RolloutStatus>,
}

/// Credit for a backend server of the new release.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Grant {
    /// Service of the backend server.
    pub service: ServiceName,
    /// Order that the credit belongs to.
    pub order: OrderId,
    /// Epoch of the evidence that the credit is based on.
    pub epoch: u32,
    /// Limit on the number of requests since the start of `epoch`.
    pub upto: u64,
}

/// Message about roll-outs.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RolloutMessage {
    /// Statuses of roll-outs, or a request for them.
    #[serde(rename = "Words")]
    Statuses(RolloutStatuses),
    /// Evidence about one backend server.
    Evidence(Evidence),
    /// Credit for one backend server of the new release.
    Grant(Grant),
}

impl RolloutStatuses {
    /// Splits statuses into messages that fit one datagram each.
    #[must_use]
    pub fn pack(digest: u64, list: Vec<RolloutStatus>) -> Vec<Self> {
        let mut packed: Vec<Self> = Vec::new();
        let mut room = 0;
        for status in list {
            // A status that cannot be encoded gets a message of its own, which is then dropped on
            // sending.
            let size = postcard::experimental::serialized_size(&status).unwrap_or(DATAGRAM_BYTES);
            if size > room {
                packed.push(Self {
                    digest,
                    ..Self::default()
                });
                room = DATAGRAM_BYTES;
            }
            room = room.saturating_sub(size);
            if let Some(last) = packed.last_mut() {
                last.list.push(status);
            }
        }
        packed
    }
}

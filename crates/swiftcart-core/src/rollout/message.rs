//! What nodes tell each other of roll-outs.

use serde::{Deserialize, Serialize};

use super::{Evidence, OrderId, Release, RolloutStage};
use crate::ServiceName;

/// The most bytes of words in one datagram; the rest is room for the seal and the digest.
const DATAGRAM_BYTES: usize = 1000;

/// How far the roll-out of one service is.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RolloutStatus {
    /// The service.
    pub service: ServiceName,
    /// The newest order for it.
    pub order: OrderId,
    /// The release that the order names.
    pub target: Release,
    /// How far it is.
    pub stage: RolloutStage,
    /// The time from the order to its deadline, in milliseconds.
    pub duration_ms: u32,
    /// What is left of it, in milliseconds.
    pub left_ms: u32,
    /// Releases that earlier orders named and that never came into use.
    pub barred: Vec<Release>,
}

/// Words on their way, and what their sender knows in all.
#[derive(Debug, Default, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RolloutStatuses {
    /// Stands for everything that the sender knows.
    pub digest: u64,
    /// Whether the sender asks for everything that the receiver knows.
    pub asks: bool,
    /// The words.
    pub list: Vec<RolloutStatus>,
}

/// Lets a backend server of the new release run some more requests.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Grant {
    /// The service.
    pub service: ServiceName,
    /// The order.
    pub order: OrderId,
    /// The count that the credit is for, as its evidence named it.
    pub epoch: u32,
    /// It may run requests until it has run so many since `epoch` began.
    pub upto: u64,
}

/// A message about roll-outs.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RolloutMessage {
    /// How far roll-outs are.
    #[serde(rename = "Words")]
    Statuses(RolloutStatuses),
    /// What a backend server of the service was seen to do.
    Evidence(Evidence),
    /// What one of the new release may run.
    Grant(Grant),
}

impl RolloutStatuses {
    /// Spreads words over as many messages as it takes for each to fit one datagram.
    #[must_use]
    pub fn pack(digest: u64, list: Vec<RolloutStatus>) -> Vec<Self> {
        let mut packed: Vec<Self> = Vec::new();
        let mut room = 0;
        for status in list {
            // What cannot be encoded gets a message of its own, which is not sent then.
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

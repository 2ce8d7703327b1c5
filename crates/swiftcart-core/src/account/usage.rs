//! Messages between nodes about the requests and quotas of accounts.

use serde::{Deserialize, Serialize};

use super::AccountName;

/// Maximum number of entries in one message, so that the message fits into a datagram.
pub const MAX_USAGE_ENTRIES: usize = 24;

/// Hash of an account's name, which is the same on every node.
#[derive(
    Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct AccountTag(pub u64);

impl AccountTag {
    /// Returns the tag of the account with this name.
    #[must_use]
    pub fn new(name: &AccountName) -> Self {
        let hash = blake3::hash(name.as_str().as_bytes());
        let [a, b, c, d, e, f, g, h, ..] = *hash.as_bytes();
        Self(u64::from_le_bytes([a, b, c, d, e, f, g, h]))
    }
}

/// Cumulative request counts of one account at one node.
///
/// The counts are totals, so that lost and duplicate messages do not distort them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Usage {
    /// Account that the entry belongs to.
    pub account: AccountTag,
    /// Number of requests received.
    pub arrived: u64,
    /// Number of requests that were admitted and may have run.
    pub admitted: u64,
    /// Time since the node began to count, in milliseconds.
    pub counted_ms: u32,
    /// Identifier of the series of counts. The counts of a new epoch start at zero.
    pub epoch: u32,
}

/// Ratio of an account's requests that every node admits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct AdmissionRatio {
    /// Account that the entry belongs to.
    pub account: AccountTag,
    /// Ratio in thousandths.
    pub permille: u16,
}

impl AdmissionRatio {
    /// Value of `permille` at which all requests are admitted.
    pub const ALL: u16 = 1000;

    /// Value of `permille` with which a ledger that has started lately confirms a report without a
    /// decision. Nodes of releases without this value admit all requests instead.
    pub const UNCHANGED: u16 = u16::MAX;

    /// Returns the ratio as a number from 0 to 1.
    #[must_use]
    pub fn ratio(&self) -> f64 {
        f64::from(self.permille.min(Self::ALL)) / f64::from(Self::ALL)
    }
}

/// Message between nodes about the quotas of accounts.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum QuotaMessage {
    /// Request counts of the sender.
    Usage(Vec<Usage>),
    /// Ratios of requests that the receiver has to admit.
    Admit(Vec<AdmissionRatio>),
}

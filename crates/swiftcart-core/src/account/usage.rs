//! What nodes tell each other of the requests of accounts.

use serde::{Deserialize, Serialize};

use super::AccountName;

/// The most entries of one message, so that it fits a datagram.
pub const MAX_USAGE_ENTRIES: usize = 24;

/// Names an account by a hash, the same at every node.
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

/// Tells what a node has counted for one account since it began to count.
///
/// The counts are totals, so that a message that is lost or comes twice changes nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Usage {
    /// The account.
    pub account: AccountTag,
    /// Requests that came.
    pub arrived: u64,
    /// Those that were admitted and may have run.
    pub admitted: u64,
    /// For how long it has been counting, in milliseconds.
    pub counted_ms: u32,
    /// Names the count; another one begins at zero.
    pub epoch: u32,
}

/// Tells which part of an account's requests a node admits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct AdmissionRatio {
    /// The account.
    pub account: AccountTag,
    /// The part, in thousandths.
    pub permille: u16,
}

impl AdmissionRatio {
    /// Everything is admitted.
    pub const ALL: u16 = 1000;

    /// Returns the part as a number from 0 to 1.
    #[must_use]
    pub fn share(&self) -> f64 {
        f64::from(self.permille.min(Self::ALL)) / f64::from(Self::ALL)
    }
}

/// What nodes tell each other of the quotas of accounts.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum QuotaMessage {
    /// What the sender has counted.
    Usage(Vec<Usage>),
    /// What the receiver is to admit.
    Admit(Vec<AdmissionRatio>),
}

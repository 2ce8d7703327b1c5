//! What lasts of a held request when every process that knew it is gone.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{Finding, RequestDigest};

/// A held request and the ends that speak against it, with wall-clock times.
///
/// Processes that start later have clocks of their own. A wall clock that is off by some seconds
/// lengthens or shortens a hold by as much.
///
/// # Examples
///
/// ```
/// use swiftcart_core::{QuarantineRecord, RequestDigest};
///
/// let request = RequestDigest::default();
/// let memo = QuarantineRecord { request, written_ms: 1_000, until_ms: 61_000, ends: Vec::new() };
/// assert_eq!(memo.findings(2_000), Some(Vec::new()));
/// assert_eq!(memo.findings(61_000), None);
/// ```
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct QuarantineRecord {
    /// The request.
    pub request: RequestDigest,
    /// When this was written, in Unix milliseconds; the ages of the ends are as of then.
    pub written_ms: u64,
    /// Until when it counts, in Unix milliseconds.
    pub until_ms: u64,
    /// The ends at which the request was running.
    pub ends: Vec<Finding>,
}

impl QuarantineRecord {
    /// Returns the ends with their ages as of `unix_ms`; `None` when the memo is over.
    #[must_use]
    pub fn findings(&self, unix_ms: u64) -> Option<Vec<Finding>> {
        let since = Duration::from_millis(unix_ms.saturating_sub(self.written_ms));
        let aged = || self.ends.iter().map(|end| end.clone().older(since));
        (unix_ms < self.until_ms).then(|| aged().collect())
    }
}

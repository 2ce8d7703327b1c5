//! Persistent record of a held request, for the case that all nodes that knew it have ended.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{Finding, RequestDigest};

/// Persistent record of a held request and its crashes, with wall-clock times.
///
/// The monotonic clock of this process is not comparable with that of a process that starts later.
/// A wall clock that is off by a few seconds lengthens or shortens the hold by the same time.
///
/// # Examples
///
/// ```
/// use swiftcart_core::{QuarantineRecord, RequestDigest};
///
/// let request = RequestDigest::default();
/// let record = QuarantineRecord { request, written_ms: 1_000, until_ms: 61_000, ends: Vec::new() };
/// assert_eq!(record.findings(2_000), Some(Vec::new()));
/// assert_eq!(record.findings(61_000), None);
/// ```
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct QuarantineRecord {
    /// Held request.
    pub request: RequestDigest,
    /// Time at which the record was written, in Unix milliseconds. The ages of the crashes refer to
    /// it.
    pub written_ms: u64,
    /// Time at which the record expires, in Unix milliseconds.
    pub until_ms: u64,
    /// Crashes at which the request was running.
    pub ends: Vec<Finding>,
}

impl QuarantineRecord {
    /// Returns the crashes with their ages as of `unix_ms`, or `None` if the record has expired.
    #[must_use]
    pub fn findings(&self, unix_ms: u64) -> Option<Vec<Finding>> {
        let elapsed = Duration::from_millis(unix_ms.saturating_sub(self.written_ms));
        let aged = || self.ends.iter().map(|crash| crash.clone().older(elapsed));
        (unix_ms < self.until_ms).then(|| aged().collect())
    }
}

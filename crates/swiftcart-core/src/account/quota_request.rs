//! Attributes of a request that decide about its admission by a quota.

use crate::Priority;

/// Prospect of answering a request within its latency target.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RequestTiming {
    /// The request can still be answered in time.
    #[default]
    InTime,
    /// The caller has been trying for too long.
    Late,
}

/// Attributes of a request that decide about its admission by a quota.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Hash)]
pub struct QuotaRequest {
    /// Priority among the requests of the same account.
    pub priority: Priority,
    /// Prospect of an answer in time.
    pub timing: RequestTiming,
}

impl QuotaRequest {
    /// Creates the attributes of a request that can still be answered in time.
    #[must_use]
    pub const fn new(priority: Priority) -> Self {
        Self {
            priority,
            timing: RequestTiming::InTime,
        }
    }

    /// Sets the prospect of an answer in time.
    #[must_use]
    pub const fn with_timing(mut self, timing: RequestTiming) -> Self {
        self.timing = timing;
        self
    }
}

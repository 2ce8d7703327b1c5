//! Statistics of a backend server.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::ExecutionCounts;

/// Reason for rejecting a request without executing it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) enum Refusal {
    Slots,
    Deadline,
}

impl Refusal {
    pub(super) const fn as_str(self) -> &'static str {
        match self {
            Self::Slots => "slots",
            Self::Deadline => "deadline",
        }
    }
}

/// Statistics of a backend server, returned by `GET /standin/stats`.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct BackendStats {
    /// Counts of all executions.
    pub runs: ExecutionCounts,
    /// Executions in progress.
    pub active: u64,
    /// Maximum number of concurrent executions so far.
    pub max_active: u64,
    /// Requests waiting for a slot.
    pub queued: u64,
    /// Open connections.
    pub connections: u64,
    /// Maximum number of open connections so far.
    pub max_connections: u64,
    /// Connections closed because of the connection limit.
    pub refused_connections: u64,
    /// Requests rejected without execution, by reason (`slots`, `deadline`).
    pub refused: BTreeMap<String, u64>,
    /// Body bytes received.
    pub bytes_in: u64,
    /// Executions started since draining was announced.
    pub drain_starts: u64,
    /// Milliseconds from the announcement of draining to the start of the latest execution.
    pub drain_last_ms: u64,
    /// Requests that exceeded the rate advertised in responses by more than the tolerance.
    pub beyond_rate: u64,
    /// Requests that arrived a second or more after a response had announced leaving.
    pub after_leaving: u64,
}

//! What a backend server counts.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::ExecutionCounts;

/// Tells why a request is refused without being run.
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

/// Holds what a backend server has counted; `GET /standin/stats` answers it.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct BackendStats {
    /// All executions.
    pub runs: ExecutionCounts,
    /// Executions in work now.
    pub active: u64,
    /// Most executions in work at once.
    pub max_active: u64,
    /// Requests that wait for a slot now.
    pub queued: u64,
    /// Connections open now.
    pub connections: u64,
    /// Most connections open at once.
    pub max_connections: u64,
    /// Connections closed because of the bound.
    pub refused_connections: u64,
    /// Requests refused without being run, by reason (`slots`, `deadline`).
    pub refused: BTreeMap<String, u64>,
    /// Body bytes received.
    pub bytes_in: u64,
    /// Executions started since draining was announced.
    pub drain_starts: u64,
    /// Milliseconds from the drain's announcement to the last execution started.
    pub drain_last_ms: u64,
    /// Requests beyond the rate that answers named.
    pub beyond_rate: u64,
    /// Requests that came more than a second after an answer had said that it leaves.
    pub after_leaving: u64,
}

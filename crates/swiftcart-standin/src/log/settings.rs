//! The log's bounds.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Holds the log's bounds: retention, record counts and the append rate.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// Age in milliseconds at which records expire.
    pub retention_ms: u64,
    /// Records kept for each stream; older ones expire early.
    pub records: usize,
    /// Appends a second over all streams; as many may come at once.
    pub append_rate: u32,
}

impl LogSettings {
    /// Creates the default bounds: a day, a million records, 300 appends a second.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            retention_ms: 24 * 60 * 60 * 1000,
            records: 1_000_000,
            append_rate: 300,
        }
    }

    /// Sets the age at which records expire.
    #[must_use]
    pub const fn with_retention(mut self, age: Duration) -> Self {
        self.retention_ms = age.as_millis() as u64;
        self
    }

    /// Sets the records kept for each stream.
    #[must_use]
    pub const fn with_records(mut self, records: usize) -> Self {
        self.records = records;
        self
    }

    /// Sets the appends a second over all streams.
    #[must_use]
    pub const fn with_append_rate(mut self, rate: u32) -> Self {
        self.append_rate = rate;
        self
    }
}

impl Default for LogSettings {
    fn default() -> Self {
        Self::new()
    }
}

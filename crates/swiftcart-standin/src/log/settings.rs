//! Limits of the log.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Limits of the log: retention, number of records and append rate.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// Retention period of records in milliseconds.
    pub retention_ms: u64,
    /// Maximum number of records per stream; an append beyond it evicts the oldest record.
    pub records: usize,
    /// Maximum appends per second over all streams; also the burst size.
    pub append_rate: u32,
}

impl LogSettings {
    /// Creates the default limits: one day, a million records, 300 appends per second.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            retention_ms: 24 * 60 * 60 * 1000,
            records: 1_000_000,
            append_rate: 300,
        }
    }

    /// Sets the retention period of records.
    #[must_use]
    pub const fn with_retention(mut self, age: Duration) -> Self {
        self.retention_ms = age.as_millis() as u64;
        self
    }

    /// Sets the maximum number of records per stream.
    #[must_use]
    pub const fn with_records(mut self, records: usize) -> Self {
        self.records = records;
        self
    }

    /// Sets the maximum appends per second over all streams.
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

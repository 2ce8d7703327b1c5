//! Faults that can be injected into the log.

use serde::{Deserialize, Serialize};

/// Kind of outage of the log.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outage {
    /// The log is available.
    #[default]
    None,
    /// All requests fail with status 503.
    Unavailable,
    /// The connection of every request is closed without a response.
    Closed,
}

/// Faults injected into the log; the default has none.
///
/// `PUT /standin/faults` takes the same fields as JSON and replaces all of them. Requests under
/// `/standin` are not affected.
#[derive(Debug, Default, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogFaults {
    /// Outage of the log; it also ends long polls.
    pub outage: Outage,
    /// Accepts requests without executing or answering them. When the fault is cleared, their
    /// connections are closed.
    pub stall: bool,
    /// Delay of responses in milliseconds, after the request has been executed.
    pub delay_ms: u64,
    /// Delay before appends are executed, in milliseconds. An append is executed even if its
    /// client disconnects during the delay.
    pub late_ms: u64,
    /// Number of upcoming accepted appends that are executed but whose connection is closed
    /// without a response.
    pub lose_answers: u32,
    /// Streams whose requests fail with status 503.
    pub refuse_streams: Vec<String>,
}

impl LogFaults {
    /// Creates an empty set of faults.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the outage.
    #[must_use]
    pub const fn with_outage(mut self, outage: Outage) -> Self {
        self.outage = outage;
        self
    }

    /// Enables or disables stalling of requests.
    #[must_use]
    pub const fn with_stall(mut self, stall: bool) -> Self {
        self.stall = stall;
        self
    }

    /// Sets the delay of responses in milliseconds.
    #[must_use]
    pub const fn with_delay_ms(mut self, ms: u64) -> Self {
        self.delay_ms = ms;
        self
    }

    /// Sets the delay before appends are executed, in milliseconds.
    #[must_use]
    pub const fn with_late_ms(mut self, ms: u64) -> Self {
        self.late_ms = ms;
        self
    }

    /// Sets the number of appends whose response is dropped.
    #[must_use]
    pub const fn with_lose_answers(mut self, count: u32) -> Self {
        self.lose_answers = count;
        self
    }

    /// Adds a stream whose requests fail with status 503.
    #[must_use]
    pub fn with_refused_stream(mut self, stream: impl Into<String>) -> Self {
        self.refuse_streams.push(stream.into());
        self
    }
}

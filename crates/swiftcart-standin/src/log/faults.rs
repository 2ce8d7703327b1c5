//! The faults that the log plays on command.

use serde::{Deserialize, Serialize};

/// Tells how the log is out of service.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outage {
    /// The log serves.
    #[default]
    None,
    /// Every request is answered with 503.
    Unavailable,
    /// Every request's connection is closed without an answer.
    Closed,
}

/// Holds the faults in force; the default is none.
///
/// `PUT /standin/faults` takes the same fields as JSON and replaces all of them.
/// Requests under `/standin` suffer none.
#[derive(Debug, Default, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogFaults {
    /// Whether the log is out of service; held reads end as well.
    pub outage: Outage,
    /// Accepts requests and never answers them; nothing takes effect. When the fault is
    /// lifted, their connections are closed.
    pub stall: bool,
    /// Delays every answer by this many milliseconds, after the effect.
    pub delay_ms: u64,
    /// Delays the effect of appends by this many milliseconds. It comes even when the
    /// caller has gone away in the meantime.
    pub late_ms: u64,
    /// The next so many accepted appends take effect, then their connections break.
    pub lose_answers: u32,
    /// Streams that are answered with 503.
    pub refuse_streams: Vec<String>,
}

impl LogFaults {
    /// Creates faults without any in force.
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

    /// Sets whether requests stall.
    #[must_use]
    pub const fn with_stall(mut self, stall: bool) -> Self {
        self.stall = stall;
        self
    }

    /// Sets the delay of answers in milliseconds.
    #[must_use]
    pub const fn with_delay_ms(mut self, ms: u64) -> Self {
        self.delay_ms = ms;
        self
    }

    /// Sets the delay of appends' effects in milliseconds.
    #[must_use]
    pub const fn with_late_ms(mut self, ms: u64) -> Self {
        self.late_ms = ms;
        self
    }

    /// Sets how many appends lose their answers.
    #[must_use]
    pub const fn with_lose_answers(mut self, count: u32) -> Self {
        self.lose_answers = count;
        self
    }

    /// Adds a stream that is refused.
    #[must_use]
    pub fn with_refused_stream(mut self, stream: impl Into<String>) -> Self {
        self.refuse_streams.push(stream.into());
        self
    }
}

//! The faults that a backend server plays on command.

use serde::{Deserialize, Serialize};
use swiftcart_core::Readiness;

/// Tells how a backend server starts again under its id.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Restart {
    /// Its start lies after the one before.
    Later,
    /// Its clock was set back, so that its start lies before the one before.
    SetBack,
}

/// Holds the faults in force; the default is none.
///
/// `PUT /standin/faults` takes the same fields as JSON and replaces all of them.
/// Requests under `/standin` suffer none.
#[derive(Debug, Default, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct BackendFaults {
    /// Adds so many milliseconds to the service time.
    pub slow_ms: u64,
    /// Reports this load in place of the real one, on answers and at `/load`.
    pub lie_load: Option<u8>,
    /// Reports this health at `/health` in place of the real one.
    pub lie_health: Option<bool>,
    /// Breaks answers off after so many bytes of the body.
    pub break_body: Option<u64>,
    /// Answers with this status, after the work.
    pub fail_status: Option<u16>,
    /// Takes requests, counts them as started and never answers.
    pub hang: bool,
    /// Announces this readiness in place of the real one.
    pub readiness: Option<Readiness>,
    /// Breaks the connection after the work, before the answer's first byte.
    pub lose_answers: u32,
    /// Crashes once, when it is set, and starts again at once: what was in work is cancelled,
    /// its connections break, and announcements are numbered anew.
    pub restart: Option<Restart>,
    /// Sends an announcement that is none before each sound one.
    pub malformed: bool,
    /// Names this rate in its answers, in requests a second.
    pub rate: Option<f64>,
    /// Says in its answers that it leaves, and announces what it did before.
    pub leaving: bool,
}

impl BackendFaults {
    /// Creates faults without any in force.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the milliseconds added to the service time.
    #[must_use]
    pub const fn with_slow_ms(mut self, ms: u64) -> Self {
        self.slow_ms = ms;
        self
    }

    /// Sets the load that is reported.
    #[must_use]
    pub const fn with_lie_load(mut self, load: u8) -> Self {
        self.lie_load = Some(load);
        self
    }

    /// Sets the health that is reported.
    #[must_use]
    pub const fn with_lie_health(mut self, healthy: bool) -> Self {
        self.lie_health = Some(healthy);
        self
    }

    /// Sets the body bytes after which answers break off.
    #[must_use]
    pub const fn with_break_body(mut self, bytes: u64) -> Self {
        self.break_body = Some(bytes);
        self
    }

    /// Sets the status that answers have.
    #[must_use]
    pub const fn with_fail_status(mut self, status: u16) -> Self {
        self.fail_status = Some(status);
        self
    }

    /// Sets whether requests are never answered.
    #[must_use]
    pub const fn with_hang(mut self, hang: bool) -> Self {
        self.hang = hang;
        self
    }

    /// Sets the readiness that is announced.
    #[must_use]
    pub const fn with_readiness(mut self, readiness: Readiness) -> Self {
        self.readiness = Some(readiness);
        self
    }

    /// Sets how many answers are lost after the work.
    #[must_use]
    pub const fn with_lose_answers(mut self, count: u32) -> Self {
        self.lose_answers = count;
        self
    }

    /// Has the backend server start again.
    #[must_use]
    pub const fn with_restart(mut self, restart: Restart) -> Self {
        self.restart = Some(restart);
        self
    }

    /// Sets the rate that answers name.
    #[must_use]
    pub const fn with_rate(mut self, rate: f64) -> Self {
        self.rate = Some(rate);
        self
    }

    /// Sets whether answers say that it leaves.
    #[must_use]
    pub const fn with_leaving(mut self, leaving: bool) -> Self {
        self.leaving = leaving;
        self
    }

    /// Sets whether malformed announcements are sent.
    #[must_use]
    pub const fn with_malformed(mut self, malformed: bool) -> Self {
        self.malformed = malformed;
        self
    }
}

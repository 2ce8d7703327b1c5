//! Faults that can be injected into a backend server.

use serde::{Deserialize, Serialize};
use swiftcart_core::Readiness;

/// Start time that a backend server announces after a restart.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Restart {
    /// The new start time is later than the previous one.
    Later,
    /// The clock was set back, so the new start time is earlier than the previous one.
    SetBack,
}

/// Active faults; none by default.
///
/// `PUT /standin/faults` accepts these fields as JSON and replaces all of them.
/// Requests under `/standin` are not affected by faults.
#[derive(Debug, Default, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct BackendFaults {
    /// Milliseconds added to the service time.
    pub slow_ms: u64,
    /// Load that is reported in responses and at `/load` instead of the real one.
    pub lie_load: Option<u8>,
    /// Health that is reported at `/health` instead of the real one.
    pub lie_health: Option<bool>,
    /// Number of body bytes after which responses are truncated.
    pub break_body: Option<u64>,
    /// Status code of all responses; the request is processed first.
    pub fail_status: Option<u16>,
    /// Accepts requests and counts them as started, but never responds.
    pub hang: bool,
    /// Readiness that is announced instead of the real one.
    pub readiness: Option<Readiness>,
    /// Number of following requests whose connection is closed after processing.
    ///
    /// The connection is closed before the first byte of the response.
    pub lose_answers: u32,
    /// Simulates one crash with an immediate restart when it is set.
    ///
    /// In-flight requests are cancelled, their connections are closed, and the sequence numbers of
    /// announcements start again.
    pub restart: Option<Restart>,
    /// Sends a malformed announcement before each valid one.
    pub malformed: bool,
    /// Request rate advertised in responses, in requests per second.
    pub rate: Option<f64>,
    /// Marks responses as sent by a leaving backend server; announcements do not change.
    pub leaving: bool,
}

impl BackendFaults {
    /// Creates a set without any active fault.
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

    /// Sets the load that is reported instead of the real one.
    #[must_use]
    pub const fn with_lie_load(mut self, load: u8) -> Self {
        self.lie_load = Some(load);
        self
    }

    /// Sets the health that is reported instead of the real one.
    #[must_use]
    pub const fn with_lie_health(mut self, healthy: bool) -> Self {
        self.lie_health = Some(healthy);
        self
    }

    /// Sets the number of body bytes after which responses are truncated.
    #[must_use]
    pub const fn with_break_body(mut self, bytes: u64) -> Self {
        self.break_body = Some(bytes);
        self
    }

    /// Sets the status code of all responses.
    #[must_use]
    pub const fn with_fail_status(mut self, status: u16) -> Self {
        self.fail_status = Some(status);
        self
    }

    /// Sets whether requests hang without a response.
    #[must_use]
    pub const fn with_hang(mut self, hang: bool) -> Self {
        self.hang = hang;
        self
    }

    /// Sets the readiness that is announced instead of the real one.
    #[must_use]
    pub const fn with_readiness(mut self, readiness: Readiness) -> Self {
        self.readiness = Some(readiness);
        self
    }

    /// Sets the number of following requests whose connection is closed after processing.
    #[must_use]
    pub const fn with_lose_answers(mut self, count: u32) -> Self {
        self.lose_answers = count;
        self
    }

    /// Sets a simulated crash and restart.
    #[must_use]
    pub const fn with_restart(mut self, restart: Restart) -> Self {
        self.restart = Some(restart);
        self
    }

    /// Sets the request rate advertised in responses.
    #[must_use]
    pub const fn with_rate(mut self, rate: f64) -> Self {
        self.rate = Some(rate);
        self
    }

    /// Sets whether responses are marked as sent by a leaving backend server.
    #[must_use]
    pub const fn with_leaving(mut self, leaving: bool) -> Self {
        self.leaving = leaving;
        self
    }

    /// Sets whether a malformed announcement is sent before each valid one.
    #[must_use]
    pub const fn with_malformed(mut self, malformed: bool) -> Self {
        self.malformed = malformed;
        self
    }
}

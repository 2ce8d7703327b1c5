//! How a node leaves when it is asked to stop.

use std::time::Duration;

use serde::Deserialize;

/// Times of a graceful stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Stop {
    /// Time for which the node still takes callers' requests although it is not ready any
    /// more, in milliseconds; default 0. Callers that learn of it late are served.
    pub linger_ms: u32,
    /// Time after that in milliseconds, default 1000. Without a linger, new requests are
    /// refused for so long in place of closed connections. After a linger they still go to
    /// other nodes, since the backend server makes calls for what it is finishing.
    pub notice_ms: u32,
    /// Time from the signal after which the process ends whatever is in flight, in
    /// milliseconds; default 0: never.
    pub grace_ms: u32,
}

impl Stop {
    /// Returns how long callers are still served.
    #[must_use]
    pub const fn linger(&self) -> Duration {
        Duration::from_millis(self.linger_ms as u64)
    }

    /// Returns how long new requests are still answered.
    #[must_use]
    pub const fn notice(&self) -> Duration {
        Duration::from_millis(self.notice_ms as u64)
    }

    /// Returns after which time the process ends in any case.
    #[must_use]
    pub fn grace(&self) -> Option<Duration> {
        (self.grace_ms > 0).then(|| Duration::from_millis(self.grace_ms.into()))
    }
}

impl Default for Stop {
    fn default() -> Self {
        Self {
            linger_ms: 0,
            notice_ms: 1000,
            grace_ms: 0,
        }
    }
}

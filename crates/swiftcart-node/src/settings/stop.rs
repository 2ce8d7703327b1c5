//! How a node leaves when it is asked to stop.

use std::time::Duration;

use serde::Deserialize;

/// Time between the end of whatever is in flight and the signal that kills the process. With it
/// the longest stop of two days on the users' platform took 5.31 s of 6.
const MARGIN: Duration = Duration::from_millis(700);

/// Times of a graceful stop.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
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
    /// Time from the signal after which whoever sent it kills the process, in seconds; default
    /// 0: not known. The process ends whatever is in flight 0.7 s before that, unless
    /// `grace_ms` ends it sooner, and lingers for half of that time at most.
    pub kill_s: f64,
}

impl Stop {
    /// Returns how long callers are still served.
    #[must_use]
    pub fn linger(&self) -> Duration {
        let linger = Duration::from_millis(self.linger_ms.into());
        self.grace().map_or(linger, |grace| linger.min(grace / 2))
    }

    /// Returns how long new requests are still answered.
    #[must_use]
    pub const fn notice(&self) -> Duration {
        Duration::from_millis(self.notice_ms as u64)
    }

    /// Returns after which time the process ends in any case.
    #[must_use]
    pub fn grace(&self) -> Option<Duration> {
        let own = (self.grace_ms > 0).then(|| Duration::from_millis(self.grace_ms.into()));
        let kill = Duration::try_from_secs_f64(self.kill_s).unwrap_or_default();
        let killed = (!kill.is_zero()).then(|| kill.saturating_sub(MARGIN));
        own.into_iter().chain(killed).min()
    }
}

impl Default for Stop {
    fn default() -> Self {
        Self {
            linger_ms: 0,
            notice_ms: 1000,
            grace_ms: 0,
            kill_s: 0.0,
        }
    }
}

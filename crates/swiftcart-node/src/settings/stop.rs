//! Settings of the graceful shutdown.

use std::time::Duration;

use serde::Deserialize;

/// Time between the end of the grace period and the signal that kills the process.
///
/// With this margin and a kill time of 6 s, the longest shutdown in two days of production took
/// 5.31 s.
const KILL_MARGIN: Duration = Duration::from_millis(700);

/// Times of the graceful shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Stop {
    /// Time for which the node still accepts requests of callers after it reports that it is not
    /// ready, in milliseconds; default 0. It covers callers that notice the shutdown late.
    pub linger_ms: u32,
    /// Notice time after the linger time, in milliseconds; default 1000. Without a linger time, the
    /// node refuses new requests with a response for this time, before it closes the listener.
    /// After a linger time, new requests still go to other nodes, since the backend server makes
    /// calls for the requests that it is finishing.
    pub notice_ms: u32,
    /// Time from the signal after which the process aborts the requests in flight, in milliseconds;
    /// default 0: never.
    pub grace_ms: u32,
    /// Time from the signal after which the supervisor kills the process, in seconds; default 0:
    /// not known. The process aborts the requests in flight 0.7 s earlier, unless `grace_ms` ends
    /// sooner. The linger time is at most half of the resulting grace period.
    pub kill_s: f64,
}

impl Stop {
    /// Returns the time for which the node still accepts requests of callers.
    #[must_use]
    pub fn linger(&self) -> Duration {
        let linger = Duration::from_millis(self.linger_ms.into());
        self.grace().map_or(linger, |grace| linger.min(grace / 2))
    }

    /// Returns the time after the linger time for which new requests still get a response.
    #[must_use]
    pub const fn notice(&self) -> Duration {
        Duration::from_millis(self.notice_ms as u64)
    }

    /// Returns the time after which the requests in flight are aborted, if there is a limit.
    #[must_use]
    pub fn grace(&self) -> Option<Duration> {
        let own = (self.grace_ms > 0).then(|| Duration::from_millis(self.grace_ms.into()));
        let kill = Duration::try_from_secs_f64(self.kill_s).unwrap_or_default();
        let until_kill = (!kill.is_zero()).then(|| kill.saturating_sub(KILL_MARGIN));
        own.into_iter().chain(until_kill).min()
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

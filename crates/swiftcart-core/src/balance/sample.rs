//! Measurements taken from one finished call.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::Slowdown;

/// Load of a guard, as reported in its responses.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Load {
    /// Requests that the backend server is executing.
    pub running: u32,
    /// Requests queued at the guard.
    pub queued: u32,
    /// Concurrency limit of the guard.
    pub limit: u32,
}

impl Load {
    /// Returns the requests per slot. At 1 and above, a new request has to wait.
    ///
    /// # Examples
    ///
    /// ```
    /// let load = swiftcart_core::Load { running: 10, queued: 5, limit: 10 };
    /// assert_eq!(load.usage(), 1.5);
    /// ```
    #[must_use]
    pub fn usage(&self) -> f64 {
        let all = f64::from(self.running) + f64::from(self.queued);
        all / f64::from(self.limit.max(1))
    }
}

/// Latency of a backend server relative to the target latency of its calls, in thousandths.
///
/// The target is the time within which a response has its full value. Calls of one service differ
/// in length and in target, so the ratio makes backend servers comparable whatever calls each of
/// them has received.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Pace(pub u32);

impl Pace {
    /// Returns the ratio of latency to target.
    ///
    /// # Examples
    ///
    /// ```
    /// assert_eq!(swiftcart_core::Pace(250).ratio(), 0.25);
    /// ```
    #[must_use]
    pub fn ratio(self) -> f64 {
        f64::from(self.0) / 1000.0
    }

    /// Creates a pace from the ratio of latency to target.
    #[must_use]
    pub fn from_ratio(ratio: f64) -> Self {
        Self((ratio * 1000.0).clamp(1.0, f64::from(u32::MAX)) as u32)
    }
}

/// Result of one call to a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum CallResult {
    /// A complete response arrived.
    Success,
    /// The response was incomplete or did not arrive in time.
    Failure,
    /// The connection failed. Connections from other nodes are likely to fail, too.
    Unreachable,
    /// The guard refused the call. The backend server is not at fault.
    Refused,
    /// The guard's link has no room for a long response. Short ones may still be accepted.
    LinkBusy,
    /// The backend server responded with an error, which one of its own calls may have caused.
    ErrorResponse,
    /// The caller disconnected or the call was cancelled. The result has no effect on the
    /// statistics.
    Cancelled,
}

/// Measurements of one finished call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Sample {
    /// Time from sending the request to the end of the response.
    pub latency: Duration,
    /// Result of the call.
    pub result: CallResult,
    /// Load reported in the response.
    pub load: Option<Load>,
    /// Pace of the backend server, as reported in the response.
    pub pace: Option<Pace>,
    /// Slowdown that is part of the pace, if the backend server states one.
    pub slowdown: Option<Slowdown>,
    /// Target latency of the call: the time within which the response has its full value.
    pub target: Option<Duration>,
    /// Time until the guard accepts the next request of this node, if a rate limit applies.
    pub retry_after: Option<Duration>,
}

impl Sample {
    /// Creates a sample with only a latency and a result.
    #[must_use]
    pub const fn new(latency: Duration, result: CallResult) -> Self {
        Self {
            latency,
            result,
            load: None,
            pace: None,
            slowdown: None,
            target: None,
            retry_after: None,
        }
    }

    /// Sets the time until the guard accepts the next request.
    #[must_use]
    pub const fn with_retry_after(mut self, retry_after: Option<Duration>) -> Self {
        self.retry_after = retry_after;
        self
    }

    /// Sets the pace reported in the response.
    #[must_use]
    pub const fn with_pace(mut self, pace: Pace) -> Self {
        self.pace = Some(pace);
        self
    }

    /// Sets the slowdown that is part of the pace.
    #[must_use]
    pub const fn with_slowdown(mut self, slowdown: Slowdown) -> Self {
        self.slowdown = Some(slowdown);
        self
    }

    /// Returns the reported pace without the slowdown of the moment.
    #[must_use]
    pub fn usual_pace(&self) -> Option<Pace> {
        match (self.pace, self.slowdown) {
            (Some(pace), Some(slowdown)) => {
                Some(Pace::from_ratio(pace.ratio() / slowdown.factor()))
            }
            (pace, _) => pace,
        }
    }

    /// Sets the target latency of the call.
    #[must_use]
    pub const fn with_target(mut self, target: Duration) -> Self {
        self.target = Some(target);
        self
    }

    /// Sets the load reported in the response.
    #[must_use]
    pub const fn with_load(mut self, load: Load) -> Self {
        self.load = Some(load);
        self
    }
}

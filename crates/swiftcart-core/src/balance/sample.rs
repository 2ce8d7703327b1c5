//! What one finished call tells of a backend server.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Holds a guard's load, as its answers carry it back.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Load {
    /// Requests that the backend server runs.
    pub running: u32,
    /// Requests that wait at the guard.
    pub queued: u32,
    /// Requests that the guard lets run at once.
    pub limit: u32,
}

impl Load {
    /// Returns the requests per place; 1 and above means that a new one waits.
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

/// Tells how long a backend server's calls take, in thousandths of the time within which
/// their answers are worth most.
///
/// Calls of one service differ in length, and so do the times set for them; the quotient
/// compares backend servers whatever calls each of them happened to get.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Pace(pub u32);

impl Pace {
    /// Returns the quotient.
    ///
    /// # Examples
    ///
    /// ```
    /// assert_eq!(swiftcart_core::Pace(250).quotient(), 0.25);
    /// ```
    #[must_use]
    pub fn quotient(self) -> f64 {
        f64::from(self.0) / 1000.0
    }

    /// Creates a pace from the quotient.
    #[must_use]
    pub fn from_quotient(quotient: f64) -> Self {
        Self((quotient * 1000.0).clamp(1.0, f64::from(u32::MAX)) as u32)
    }
}

/// Tells how one call at a backend server ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum CallResult {
    /// A whole answer came.
    Success,
    /// A broken answer, or none in time.
    Failure,
    /// No connection was made; others are likely to find none either.
    Unreachable,
    /// The guard did not take the call; the backend server is not to blame.
    Refused,
    /// The guard has no room for a long answer on its link; others may have a place there.
    LinkBusy,
    /// The backend server answered that it has failed; calls that it made may be to blame.
    ErrorResponse,
    /// The caller went away, or the call was given up; nothing is learnt.
    Cancelled,
}

/// Holds what one finished call tells.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Sample {
    /// The time from the hand-over to the end of the answer.
    pub latency: Duration,
    /// How it ended.
    pub result: CallResult,
    /// The load that the answer carried.
    pub load: Option<Load>,
    /// The backend server's pace, as the answer carried it.
    pub pace: Option<Pace>,
    /// The time within which the answer was worth most.
    pub target: Option<Duration>,
    /// When the guard takes the next request of this node, where a rate bounds what it takes.
    pub again: Option<Duration>,
}

impl Sample {
    /// Creates a sample without a load.
    #[must_use]
    pub const fn new(latency: Duration, result: CallResult) -> Self {
        Self {
            latency,
            result,
            load: None,
            pace: None,
            target: None,
            again: None,
        }
    }

    /// Adds when the guard takes the next request.
    #[must_use]
    pub const fn with_retry_after(mut self, again: Option<Duration>) -> Self {
        self.again = again;
        self
    }

    /// Adds the pace that the answer carried.
    #[must_use]
    pub const fn with_pace(mut self, pace: Pace) -> Self {
        self.pace = Some(pace);
        self
    }

    /// Adds the time within which the answer was worth most.
    #[must_use]
    pub const fn with_target(mut self, target: Duration) -> Self {
        self.target = Some(target);
        self
    }

    /// Adds the load that the answer carried.
    #[must_use]
    pub const fn with_load(mut self, load: Load) -> Self {
        self.load = Some(load);
        self
    }
}

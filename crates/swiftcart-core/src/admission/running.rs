//! State of a running request.

use std::time::Duration;

use super::ResponseLength;
use super::pace_estimator::target_ratio;
use crate::{Instant, RunStart};

/// A request that the backend server is running.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Running {
    /// Number of running requests when this request started, including itself.
    pub(super) in_flight: u32,
    pub(super) start: Instant,
    /// Latency target.
    pub(super) target: Option<Duration>,
    pub(super) response_length: ResponseLength,
    /// Start of the run, for the slowdown of the backend server while it lasts.
    pub(super) run: RunStart,
}

impl Running {
    /// Returns the age of the request as a multiple of its target, or `None` if it has no target.
    pub(super) fn target_ratio(&self, now: Instant) -> Option<f64> {
        let ran = now.since(self.start);
        self.target.map(|target| target_ratio(ran, target))
    }
}

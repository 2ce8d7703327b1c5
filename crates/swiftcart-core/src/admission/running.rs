//! A request that a backend server runs.

use std::time::Duration;

use super::ResponseLength;
use super::gauge::in_targets;
use crate::Instant;

/// A request that runs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Running {
    /// How many ran when it started, itself included.
    pub(super) among: u32,
    pub(super) start: Instant,
    /// The time within which its answer is worth most.
    pub(super) target: Option<Duration>,
    pub(super) response_length: ResponseLength,
}

impl Running {
    /// Returns for how many targets it has run.
    pub(super) fn quotient(&self, now: Instant) -> Option<f64> {
        let ran = now.since(self.start);
        self.target.map(|target| in_targets(ran, target))
    }
}

//! The targets of the requests that one guard gets.

use std::time::Duration;

/// The part that each request takes off the longest target. After some 500 requests without one
/// that long it is down to a seventh, so that a change of the configuration is followed.
const FADING: f64 = 1.0 / 256.0;

/// Holds the longest target of the latest requests.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
pub(super) struct Targets {
    longest: Option<Duration>,
}

impl Targets {
    /// Takes in the target of a request, where it has one.
    pub(super) fn note(&mut self, target: Option<Duration>) {
        let Some(target) = target else { return };
        let faded = self.longest.map(|longest| longest.mul_f64(1.0 - FADING));
        self.longest = faded.max(Some(target));
    }

    /// Returns the longest target, once a request had one.
    pub(super) const fn longest(&self) -> Option<Duration> {
        self.longest
    }
}

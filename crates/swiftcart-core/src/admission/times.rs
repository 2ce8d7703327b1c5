//! How long the calls of one backend server take.

use std::time::Duration;

use super::TIME_WEIGHT;

/// The share by which the shortest time seen grows with each sample.
const SHORTEST_DRIFT: f64 = 0.001;

/// Follows the mean and the shortest time that a call runs.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
pub(super) struct Times {
    /// In seconds.
    mean: Option<f64>,
    /// In seconds.
    shortest: Option<f64>,
}

impl Times {
    /// Takes in the time of a call that has ended well.
    pub(super) fn learn(&mut self, time: Duration) {
        let secs = time.as_secs_f64();
        let mean = self.mean.get_or_insert(secs);
        *mean += TIME_WEIGHT * (secs - *mean);
        let shortest = self.shortest.get_or_insert(secs);
        *shortest = secs.min(*shortest * (1.0 + SHORTEST_DRIFT));
    }

    /// Returns the mean time in seconds, once a call has ended.
    pub(super) const fn mean(&self) -> Option<f64> {
        self.mean
    }

    /// Returns the calls that end in a second while `running` run, once one has ended.
    pub(super) fn throughput(&self, running: u32) -> Option<f64> {
        let mean = self.mean?.max(f64::MIN_POSITIVE);
        Some(f64::from(running) / mean)
    }

    /// Returns the shortest time in which a call can be answered.
    pub(super) fn quickest(&self) -> Duration {
        let secs = self.shortest.unwrap_or(0.0);
        Duration::try_from_secs_f64(secs).unwrap_or(Duration::ZERO)
    }
}

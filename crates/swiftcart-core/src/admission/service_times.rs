//! Service times of one backend server.

use std::time::Duration;

use super::EWMA_WEIGHT;

/// Share by which the recorded minimum service time grows with each sample, so that it follows a
/// backend server that becomes slower.
const MIN_DRIFT: f64 = 0.001;

/// Moving average and minimum of the service time of calls.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
pub(super) struct ServiceTimes {
    /// Moving average, in seconds.
    mean: Option<f64>,
    /// Minimum, in seconds.
    min_secs: Option<f64>,
}

impl ServiceTimes {
    /// Records the service time of a successful call.
    pub(super) fn record(&mut self, time: Duration) {
        let secs = time.as_secs_f64();
        let mean = self.mean.get_or_insert(secs);
        *mean += EWMA_WEIGHT * (secs - *mean);
        let min_secs = self.min_secs.get_or_insert(secs);
        *min_secs = secs.min(*min_secs * (1.0 + MIN_DRIFT));
    }

    /// Returns the mean service time in seconds, or `None` before the first call has ended.
    pub(super) const fn mean(&self) -> Option<f64> {
        self.mean
    }

    /// Returns the calls per second that end while `running` calls run, or `None` before the first
    /// call has ended.
    pub(super) fn throughput(&self, running: u32) -> Option<f64> {
        let mean = self.mean?.max(f64::MIN_POSITIVE);
        Some(f64::from(running) / mean)
    }

    /// Returns the minimum service time under `slowdown`, or zero before the first call has ended.
    pub(super) fn min_service_time(&self, slowdown: f64) -> Duration {
        let secs = self.min_secs.unwrap_or(0.0) * slowdown;
        Duration::try_from_secs_f64(secs).unwrap_or(Duration::ZERO)
    }
}

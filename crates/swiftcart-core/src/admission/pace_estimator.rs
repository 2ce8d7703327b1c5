//! Pace of a backend server, measured by its guard.

use std::time::Duration;

use super::EWMA_WEIGHT;
use crate::{Pace, Sample};

/// Minimum number of running calls whose ages count. The ages of fewer calls say too little about
/// the backend server.
const MIN_RUNNING_CALLS: usize = 3;

/// Share of the running calls' mean age that counts as a pace.
///
/// In steady state the mean age is about the mean service time. With half of the mean age, random
/// variation hardly ever raises the pace.
const OVERDUE_SHARE: f64 = 0.5;

/// Estimator of the pace of one backend server, based on the calls forwarded to the server.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
pub(super) struct PaceEstimator {
    /// Moving average of the service time of finished calls, as a multiple of their targets.
    mean: Option<f64>,
    /// Number of finished calls with a target. The first calls are averaged with equal weights.
    calls: u32,
}

impl PaceEstimator {
    /// Records a successful call. Calls without a latency target are ignored.
    pub(super) fn record(&mut self, sample: &Sample) {
        let Some(target) = sample.target else {
            return;
        };
        let ratio = target_ratio(sample.latency, target);
        self.calls = self.calls.saturating_add(1);
        let weight = f64::from(self.calls).recip().max(EWMA_WEIGHT);
        let mean = self.mean.get_or_insert(ratio);
        *mean += weight * (ratio - *mean);
    }

    /// Returns the pace, or `None` before the first call with a target has ended.
    ///
    /// `slowdown` is the current service time as a multiple of the usual one. `ages` are the ages
    /// of the running calls, as multiples of their targets.
    pub(super) fn pace(&self, slowdown: f64, ages: impl Iterator<Item = f64>) -> Option<Pace> {
        let ended = self.mean? * slowdown;
        Some(Pace::from_ratio(ended.max(overdue(ages))))
    }
}

/// Returns `time` as a multiple of `target`.
pub(super) fn target_ratio(time: Duration, target: Duration) -> f64 {
    time.as_secs_f64() / target.as_secs_f64().max(f64::MIN_POSITIVE)
}

/// Returns the lower bound of the pace given by the ages of the running calls, or 0 if fewer than
/// [`MIN_RUNNING_CALLS`] run.
fn overdue(ages: impl Iterator<Item = f64>) -> f64 {
    let (count, sum) = ages.fold((0, 0.0), |(count, sum), age| (count + 1, sum + age));
    match count {
        n if n < MIN_RUNNING_CALLS => 0.0,
        n => OVERDUE_SHARE * sum / n as f64,
    }
}

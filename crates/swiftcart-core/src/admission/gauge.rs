//! How fast a backend server is, as its guard measures it.

use std::time::Duration;

use super::TIME_WEIGHT;
use crate::{Pace, Sample};

/// Running calls below which their ages say nothing of the backend server.
const OVERDUE_LEAST: usize = 3;

/// The part of the running calls' mean age that counts as a pace. In steady state that age
/// is about the mean time that calls take, so that half of it does not count by chance.
const OVERDUE_SHARE: f64 = 0.5;

/// Measures the pace of one backend server by the calls that it was handed.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
pub(super) struct PaceGauge {
    /// The mean time of the calls that ended, in targets.
    mean: Option<f64>,
    /// The calls that it is the mean of, as long as they are few.
    calls: u32,
}

impl PaceGauge {
    /// Takes in a call that has ended well.
    pub(super) fn learn(&mut self, sample: &Sample) {
        let Some(target) = sample.target else {
            return;
        };
        let quotient = in_targets(sample.latency, target);
        self.calls = self.calls.saturating_add(1);
        let weight = f64::from(self.calls).recip().max(TIME_WEIGHT);
        let mean = self.mean.get_or_insert(quotient);
        *mean += weight * (quotient - *mean);
    }

    /// Returns the pace once a call has ended; `ages` are the times for which the others have
    /// run, in targets.
    pub(super) fn pace(&self, ages: impl Iterator<Item = f64>) -> Option<Pace> {
        let ended = self.mean?;
        Some(Pace::from_ratio(ended.max(overdue(ages))))
    }
}

/// Returns `time` in targets.
pub(super) fn in_targets(time: Duration, target: Duration) -> f64 {
    time.as_secs_f64() / target.as_secs_f64().max(f64::MIN_POSITIVE)
}

/// Returns the least pace that the running calls let expect, 0 when they are few.
fn overdue(ages: impl Iterator<Item = f64>) -> f64 {
    let (count, sum) = ages.fold((0, 0.0), |(count, sum), age| (count + 1, sum + age));
    match count {
        n if n < OVERDUE_LEAST => 0.0,
        n => OVERDUE_SHARE * sum / n as f64,
    }
}

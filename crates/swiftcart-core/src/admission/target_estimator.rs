//! Estimate of a high percentile of the latency targets at one guard.

use std::time::Duration;

/// Quantile of the targets to estimate. A quantile below 1 ignores routes with few requests and an
/// unusually long target.
const QUANTILE: f64 = 0.9;

/// Relative step by which one request moves the estimate. About 60 requests after a change of the
/// configuration, the estimate is close to the new value.
const STEP: f64 = 1.0 / 16.0;

/// Estimator of the 90th percentile of the latency targets.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
pub(super) struct TargetEstimator {
    /// Current estimate, in seconds.
    p90: Option<f64>,
}

impl TargetEstimator {
    /// Records the target of a request, if the request has a target.
    ///
    /// A target above the estimate raises the estimate nine times as much as a target below lowers
    /// it. The estimate therefore settles where one target in ten is above it.
    pub(super) fn record(&mut self, target: Option<Duration>) {
        let Some(target) = target.map(|target| target.as_secs_f64()) else {
            return;
        };
        let p90 = self.p90.get_or_insert(target);
        *p90 = match *p90 < target {
            true => (*p90 * (1.0 + STEP * QUANTILE)).min(target),
            false => (*p90 * (1.0 - STEP * (1.0 - QUANTILE))).max(target),
        };
    }

    /// Returns the estimate, or `None` if no request had a target yet.
    pub(super) fn p90(&self) -> Option<Duration> {
        let secs = self.p90?;
        Duration::try_from_secs_f64(secs).ok()
    }
}

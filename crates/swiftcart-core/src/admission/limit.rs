//! Adaptive concurrency limit of a backend server.

use std::time::Duration;

/// Weight of the latest unloaded window in the moving average of the unloaded latency.
const BASE_WEIGHT: f64 = 0.5;

/// Ratio of the latest to the known unloaded latency below which the unloaded latency counts as
/// lower. The gap between two probes is then halved.
const BASE_DROP_RATIO: f64 = 0.8;

/// Number of doublings from the shortest to the longest gap between two probes.
const PROBE_DOUBLINGS: u32 = 4;

/// Number of standard errors by which the mean latency of a window has to exceed the tolerated
/// latency. Only then does the window lower the limit.
const MIN_STD_ERRORS: f64 = 1.0;

/// Factor by which a slow window lowers the limit.
const DECREASE_FACTOR: f64 = 0.9;

/// Rule by which the concurrency limit follows the latency.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Hash)]
pub enum LimitRule {
    /// The limit stays at the announced slots.
    Fixed,
    /// Additive increase, multiplicative decrease: a slow window lowers the limit by a tenth, any
    /// other window raises the limit by one.
    #[default]
    Aimd,
}

/// Settings of the adaptive concurrency limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitSettings {
    /// Rule by which the limit follows the latency.
    pub rule: LimitRule,
    /// Maximum ratio of the loaded to the unloaded latency. A window above this ratio is slow.
    pub tolerance: f64,
    /// Number of loaded samples in a window.
    pub window: u32,
    /// Maximum number of consecutive loaded samples before a probe, which lowers the load for a
    /// short time.
    pub probe_after: u32,
    /// Number of unloaded samples in a window. A probe ends after the same number of unloaded
    /// samples.
    pub probe_samples: u32,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            rule: LimitRule::default(),
            tolerance: 1.5,
            window: 32,
            probe_after: 4096,
            probe_samples: 16,
        }
    }
}

/// Concurrency limit that falls below the announced slots when latency grows with the requests in
/// flight.
///
/// The latency of a backend server that announces too many slots grows with the load. A sample is
/// classified by the number of running requests at its start. With at most half of the limit the
/// sample is unloaded, with more it is loaded. The number of running requests at the end of the
/// call would bias the comparison: a short call is more likely to end before other calls arrive, so
/// short calls would prevail among the unloaded samples.
///
/// The two mean latencies are comparable for any mix of short and long requests, since the mix does
/// not depend on the load. The minimum latency would depend on the mix.
///
/// If the load never falls, there are no unloaded samples. The limit is then halved for a probe,
/// until enough unloaded samples have been recorded. The gap between probes doubles as long as the
/// unloaded latency does not fall, since each probe costs about half of the slots for the time of a
/// call.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct AdaptiveLimit {
    settings: LimitSettings,
    ceiling: u32,
    limit: f64,
    /// Moving average of the unloaded latency, in seconds.
    base_secs: Option<f64>,
    unloaded: Window,
    loaded: Window,
    /// Number of loaded samples since the last unloaded one.
    since_unloaded: u32,
    /// Number of consecutive loaded samples that start a probe.
    probe_gap: u32,
    /// Number of unloaded samples until the current probe ends, or 0 outside a probe.
    probe_remaining: u32,
}

#[derive(Debug, Default, Clone, Copy, PartialEq)]
struct Window {
    count: u32,
    sum: f64,
    squares: f64,
}

impl AdaptiveLimit {
    pub(super) fn new(ceiling: u32, settings: LimitSettings) -> Self {
        Self {
            settings,
            ceiling,
            limit: f64::from(ceiling),
            base_secs: None,
            unloaded: Window::default(),
            loaded: Window::default(),
            since_unloaded: 0,
            probe_gap: settings.probe_after >> PROBE_DOUBLINGS,
            probe_remaining: 0,
        }
    }

    /// Sets the maximum of the limit.
    ///
    /// A changed maximum resets the limit to the maximum and discards all samples.
    pub(super) fn set_ceiling(&mut self, ceiling: u32) {
        if ceiling != self.ceiling {
            *self = Self::new(ceiling, self.settings);
        }
    }

    /// Returns the current concurrency limit, which a probe halves.
    pub(super) fn value(&self) -> u32 {
        let limit = self.floor_limit();
        match self.probe_remaining {
            0 => limit,
            _ => limit.div_ceil(2),
        }
    }

    /// Records a call that started with `running` calls in flight, including the call itself.
    pub(super) fn record(&mut self, latency: Duration, running: u32) {
        if self.settings.rule == LimitRule::Fixed {
            return;
        }
        let secs = latency.as_secs_f64();
        if running <= self.floor_limit().div_ceil(2) {
            self.record_unloaded(secs);
        } else {
            self.record_loaded(secs);
        }
    }

    fn record_unloaded(&mut self, secs: f64) {
        self.since_unloaded = 0;
        self.unloaded.add(secs);
        self.probe_remaining = self.probe_remaining.saturating_sub(1);
        if self.unloaded.count >= self.settings.probe_samples {
            let latest = std::mem::take(&mut self.unloaded).mean();
            self.update_base(latest);
        }
    }

    /// Updates the unloaded latency and the gap between probes from the mean of an unloaded window.
    fn update_base(&mut self, latest: f64) {
        let longest = self.settings.probe_after;
        let base_secs = self.base_secs.get_or_insert(latest);
        self.probe_gap = match latest < *base_secs * BASE_DROP_RATIO {
            true => (self.probe_gap / 2).max(longest >> PROBE_DOUBLINGS),
            false => self.probe_gap.saturating_mul(2).min(longest),
        };
        *base_secs += BASE_WEIGHT * (latest - *base_secs);
    }

    fn record_loaded(&mut self, secs: f64) {
        self.loaded.add(secs);
        self.since_unloaded += 1;
        if self.since_unloaded >= self.probe_gap {
            self.since_unloaded = 0;
            self.probe_remaining = self.settings.probe_samples;
            // Earlier samples are discarded: their calls may have started in the last probe and
            // ended under load.
            self.unloaded = Window::default();
        }
        if self.loaded.count >= self.settings.window {
            let window = std::mem::take(&mut self.loaded);
            if let Some(base_secs) = self.base_secs {
                self.adjust(window, base_secs);
            }
        }
    }

    fn adjust(&mut self, window: Window, base_secs: f64) {
        let bound = base_secs * self.settings.tolerance;
        let lower_bound = window.mean() - MIN_STD_ERRORS * window.std_error();
        let limit = match self.settings.rule {
            LimitRule::Fixed => self.limit,
            LimitRule::Aimd if lower_bound > bound => self.limit * DECREASE_FACTOR,
            LimitRule::Aimd => self.limit + 1.0,
        };
        self.limit = limit.clamp(1.0, f64::from(self.ceiling.max(1)));
    }

    /// Returns the limit rounded down to whole requests, regardless of a probe.
    fn floor_limit(&self) -> u32 {
        (self.limit as u32).clamp(1, self.ceiling.max(1))
    }
}

impl Window {
    fn add(&mut self, secs: f64) {
        self.count += 1;
        self.sum += secs;
        self.squares += secs * secs;
    }

    fn mean(&self) -> f64 {
        self.sum / f64::from(self.count.max(1))
    }

    /// Returns the standard error of the mean.
    fn std_error(&self) -> f64 {
        let n = f64::from(self.count.max(1));
        let variance = self.squares / n - self.mean() * self.mean();
        (variance.max(0.0) / n).sqrt()
    }
}

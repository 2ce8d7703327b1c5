//! How much of a service the trial of its new release gets, and when.

use std::time::Duration;

use crate::{Exposure, Instant, TRIAL_INTERVAL, TrialSettings};

/// The part of what a bad release may get that the trial gives it. The rest is there for requests
/// that arrive while a release that turns bad late is being stopped, and for a second node that
/// takes itself for the one that watches.
const SPEND: f64 = 0.55;

/// The load on each that is tried, as a part of what one of the old release has: some releases
/// fail only when they are full.
const LOAD: f64 = 1.3;

/// For how long those that are tried get that load at a time; in between credit is saved up.
const BURST: Duration = Duration::from_millis(750);

/// The part of all credit that is saved up at most, where a service has few backend servers with
/// much to do each.
const SAVED: f64 = 0.25;

/// Saves credit up and spends it at full load, a burst at a time.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct Spending {
    settings: TrialSettings,
    bursting: bool,
    /// The requests that the service had at the last look, and their number a second.
    counted: Option<(Instant, u64)>,
    rate: f64,
}

impl Spending {
    pub(super) const fn new(settings: TrialSettings) -> Self {
        Self {
            settings,
            bursting: false,
            counted: None,
            rate: 0.0,
        }
    }

    /// Takes in how many requests the service had so far.
    pub(super) fn measure(&mut self, now: Instant, total: u64) {
        if let Some((then, before)) = self.counted
            && now.since(then) >= TRIAL_INTERVAL
        {
            let fresh = total.saturating_sub(before) as f64 / now.since(then).as_secs_f64();
            self.rate += (fresh - self.rate) / 2.0;
        }
        if self
            .counted
            .is_none_or(|(then, _)| now.since(then) >= TRIAL_INTERVAL)
        {
            self.counted = Some((now, total));
        }
    }

    /// Returns how many requests each of `tried` backend servers may run in the next round, where the old
    /// release has `old`.
    pub(super) fn each(&mut self, tried: usize, old: usize, so_far: Exposure) -> u64 {
        let bound = self.settings.share * so_far.all as f64 + self.settings.extra;
        let left = (SPEND * bound - so_far.new as f64).max(0.0);
        let number = tried.max(1) as f64;
        let load = (LOAD * self.rate / old.max(1) as f64).max(1.0);
        let burst = (number * load * BURST.as_secs_f64()).min(SPEND * bound * SAVED);
        // Twice what a round takes, so that one that is lost makes no gap.
        let each = (2.0 * load * TRIAL_INTERVAL.as_secs_f64()).max(1.0);
        let each = each.min(left / number);
        self.bursting = each >= 1.0 && (self.bursting || left >= burst);
        match self.bursting {
            true => each as u64,
            false => 0,
        }
    }
}

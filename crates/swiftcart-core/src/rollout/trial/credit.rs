//! Credit of a trial: the number of requests that the new release may get, and when.

use std::time::Duration;

use crate::{Exposure, Instant, TRIAL_INTERVAL, TrialSettings};

/// Share that the trial may use of the bound on the requests given to a bad release. The rest
/// covers requests that arrive while a release that turns bad late is being stopped, and the credit
/// of a second node that evaluates the same trial.
const SPEND_SHARE: f64 = 0.55;

/// Load on each backend server in the trial, relative to the load on an old one. Some releases fail
/// only under full load.
const LOAD_FACTOR: f64 = 1.3;

/// Duration of a burst at the load that `LOAD_FACTOR` sets. Credit is saved up between two bursts.
const BURST_TIME: Duration = Duration::from_millis(750);

/// Maximum share of the credit to save up for a burst. It takes effect in a service with few,
/// heavily loaded backend servers.
const MAX_SAVED_SHARE: f64 = 0.25;

/// Credit budget that is saved up and spent in bursts at full load.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct CreditBudget {
    settings: TrialSettings,
    bursting: bool,
    /// Time and number of requests at the last update of `rate`, which is in requests per second.
    last_count: Option<(Instant, u64)>,
    rate: f64,
}

impl CreditBudget {
    pub(super) const fn new(settings: TrialSettings) -> Self {
        Self {
            settings,
            bursting: false,
            last_count: None,
            rate: 0.0,
        }
    }

    /// Updates the request rate with the number of requests so far.
    pub(super) fn update_rate(&mut self, now: Instant, total: u64) {
        if let Some((last_time, last_total)) = self.last_count
            && now.since(last_time) >= TRIAL_INTERVAL
        {
            let current_rate =
                total.saturating_sub(last_total) as f64 / now.since(last_time).as_secs_f64();
            self.rate += (current_rate - self.rate) / 2.0;
        }
        if self
            .last_count
            .is_none_or(|(last_time, _)| now.since(last_time) >= TRIAL_INTERVAL)
        {
            self.last_count = Some((now, total));
        }
    }

    /// Returns the number of requests to grant each of the `servers` in the trial for the next
    /// interval. `old` is the number of backend servers of the old release.
    pub(super) fn per_server(&mut self, servers: usize, old: usize, exposure: Exposure) -> u64 {
        let bound = self.settings.share * exposure.all as f64 + self.settings.extra;
        let remaining = (SPEND_SHARE * bound - exposure.new as f64).max(0.0);
        let server_count = servers.max(1) as f64;
        let load = (LOAD_FACTOR * self.rate / old.max(1) as f64).max(1.0);
        let burst = (server_count * load * BURST_TIME.as_secs_f64())
            .min(SPEND_SHARE * bound * MAX_SAVED_SHARE);
        // Twice the requests of one interval, so that one lost grant leaves no gap.
        let per_server = (2.0 * load * TRIAL_INTERVAL.as_secs_f64()).max(1.0);
        let per_server = per_server.min(remaining / server_count);
        self.bursting = per_server >= 1.0 && (self.bursting || remaining >= burst);
        match self.bursting {
            true => per_server as u64,
            false => 0,
        }
    }
}

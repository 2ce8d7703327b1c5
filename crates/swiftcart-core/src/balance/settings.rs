//! Settings of the load balancer.

use std::time::Duration;

/// Settings for the selection among backend servers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BalanceSettings {
    /// Time constant of the latency and failure averages: a value of this age counts 1/e.
    pub decay_time: Duration,
    /// Time constant of reported load: a load of this age counts 1/e.
    pub load_decay: Duration,
    /// Factor by which a usage of 1 raises the score.
    pub load_weight: f64,
    /// Slow-start period, after which a newly discovered backend server gets its full share.
    pub slow_start: Duration,
    /// Number of consecutive failures that eject a backend server.
    pub failure_threshold: u32,
    /// Duration of the first ejection. Each further ejection lasts twice as long.
    pub base_ejection: Duration,
    /// Maximum duration of an ejection. The ejection count is reset after this time without an
    /// ejection.
    pub max_ejection: Duration,
    /// Maximum share of a service's candidates that may be ejected at once.
    pub max_ejected: f64,
}

impl Default for BalanceSettings {
    fn default() -> Self {
        Self {
            decay_time: Duration::from_secs(5),
            load_decay: Duration::from_millis(500),
            load_weight: 1.0,
            slow_start: Duration::from_secs(10),
            failure_threshold: 5,
            base_ejection: Duration::from_secs(1),
            max_ejection: Duration::from_secs(60),
            max_ejected: 0.5,
        }
    }
}

//! How far the requests of a client account may lie beyond its quota.

use std::time::Duration;

use serde::Deserialize;
use swiftcart_core::QuotaBounds;

/// Bounds the sum over all nodes of what an account sends.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Quotas {
    /// The time over which requests are counted, in seconds; default 5.
    pub window_s: f64,
    /// The part beyond what the quota allows in that time; default 0.1.
    pub overage: f64,
    /// Requests on top of that, over all nodes; default 20.
    pub slack: f64,
}

impl Default for Quotas {
    fn default() -> Self {
        Self {
            window_s: 5.0,
            overage: 0.1,
            slack: 20.0,
        }
    }
}

impl Quotas {
    /// Returns the core's settings.
    #[must_use]
    pub fn bounds(&self) -> QuotaBounds {
        QuotaBounds {
            window: Duration::from_secs_f64(self.window_s.max(0.0)),
            overage: self.overage,
            slack: self.slack,
        }
    }
}

//! Tolerance by which client accounts may exceed their quotas.

use std::time::Duration;

use serde::Deserialize;
use swiftcart_core::QuotaBounds;

/// Limits on the total requests of an account over all nodes.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Quotas {
    /// Window over which requests are counted, in seconds; default 5.
    pub window_s: f64,
    /// Allowed excess as a fraction of the quota in the window; default 0.1.
    pub overage: f64,
    /// Additional requests beyond that, over all nodes; default 20.
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
    /// Converts the settings to the type of the core.
    #[must_use]
    pub fn bounds(&self) -> QuotaBounds {
        QuotaBounds {
            window: Duration::from_secs_f64(self.window_s.max(0.0)),
            overage: self.overage,
            slack: self.slack,
        }
    }
}

//! Limits for requests to a new release during its trial.

use serde::Deserialize;
use swiftcart_core::TrialSettings;

/// Limits on the requests that a faulty release may get between its roll-out order and the deadline
/// of the order.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Rollouts {
    /// Allowed fraction of the requests of the service; default 0.1.
    pub share: f64,
    /// Additional requests beyond that, over all nodes; default 50.
    pub extra: f64,
}

impl Default for Rollouts {
    fn default() -> Self {
        Self {
            share: 0.1,
            extra: 50.0,
        }
    }
}

impl Rollouts {
    /// Converts the settings to the type of the core.
    #[must_use]
    pub const fn trial(&self) -> TrialSettings {
        TrialSettings {
            share: self.share,
            extra: self.extra,
        }
    }
}

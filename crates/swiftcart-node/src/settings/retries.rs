//! Retry budget that all nodes share.

use serde::Deserialize;
use swiftcart_core::MeshRetryBudgetSettings;

/// Limits on the retries of the whole mesh to each service.
///
/// Each node enforces its part without messages to other nodes: the share of the requests that it
/// received itself, and the floor divided by the number of live nodes.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Retries {
    /// Allowed retries per request, over the window.
    pub share: f64,
    /// Retries per window that are allowed at any load, over all nodes.
    pub floor: f64,
    /// Window over which requests and retries are counted, in seconds.
    pub window_s: u32,
}

impl Retries {
    /// Converts the settings to the type of the core.
    #[must_use]
    pub const fn budget(&self) -> MeshRetryBudgetSettings {
        MeshRetryBudgetSettings {
            share: self.share,
            floor: self.floor,
            window_s: self.window_s,
        }
    }
}

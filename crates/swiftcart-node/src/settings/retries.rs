//! The budget of retries that all nodes share.

use serde::Deserialize;
use swiftcart_core::MeshRetryBudgetSettings;

/// Bounds the retries of the whole mesh at each service.
///
/// Each node keeps to its part without a message: the share of what it took itself, and
/// the floor divided by the number of live nodes.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Retries {
    /// Retries for each request, over `window_s`.
    pub share: f64,
    /// Retries in `window_s` that are there whatever the load, over all nodes.
    pub floor: f64,
    /// The span over which both count, in seconds.
    pub window_s: u32,
}

impl Retries {
    /// Returns the core's settings.
    #[must_use]
    pub const fn budget(&self) -> MeshRetryBudgetSettings {
        MeshRetryBudgetSettings {
            share: self.share,
            floor: self.floor,
            window_s: self.window_s,
        }
    }
}

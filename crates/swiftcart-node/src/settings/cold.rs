//! How far cold backend servers may be loaded beyond what they say that they bear.

use serde::Deserialize;
use swiftcart_core::ColdBounds;

/// Bounds the requests that a cold backend server gets in a second.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Cold {
    /// Times the rate that it bears; default 1.5.
    pub overage: f64,
    /// Requests on top of that; default 8.
    pub slack: f64,
}

impl Default for Cold {
    fn default() -> Self {
        Self {
            overage: 1.5,
            slack: 8.0,
        }
    }
}

impl Cold {
    /// Returns the core's settings.
    #[must_use]
    pub const fn bounds(&self) -> ColdBounds {
        ColdBounds {
            overage: self.overage,
            slack: self.slack,
        }
    }
}

//! Limits for the load of cold backend servers beyond the rate that they announce.

use serde::Deserialize;
use swiftcart_core::ColdBounds;

/// Limits on the requests per second to a cold backend server.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Cold {
    /// Factor on the rate that the backend server announces while it is cold; default 1.5.
    pub overage: f64,
    /// Additional requests beyond that rate; default 8.
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
    /// Converts the settings to the type of the core.
    #[must_use]
    pub const fn bounds(&self) -> ColdBounds {
        ColdBounds {
            overage: self.overage,
            slack: self.slack,
        }
    }
}

//! How backend servers that name themselves announce themselves.

use serde::Deserialize;

/// Names what the announcements of backend servers hold; the defaults are swiftcart's own.
#[derive(Debug, Default, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Announcements {
    /// A further name of `start_ms`, under which some backend servers tell when they started;
    /// default none. An announcement that has both is refused.
    pub start: Option<String>,
}

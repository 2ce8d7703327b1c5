//! Format of announcements of backend servers that have ids of their own.

use serde::Deserialize;

/// Field names in announcements of backend servers. The defaults are the names of swiftcart.
#[derive(Debug, Default, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Announcements {
    /// Alternative name of the field `start_ms`, which some backend servers use for their start
    /// time; default none. An announcement with both fields is refused.
    pub start: Option<String>,
}

//! Origin of a request: an outside caller, or a running request of a backend server.

use serde::{Deserialize, Serialize};

/// Origin of a request at its ingress.
///
/// A nested call belongs to a request that already occupies a slot elsewhere, so refusing it wastes
/// the work done for that request. The order is that of precedence in a queue.
#[derive(
    Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum RequestOrigin {
    /// The backend server beside the ingress, on behalf of a request that it runs.
    Backend,
    /// A caller outside the mesh.
    #[default]
    Caller,
}

impl RequestOrigin {
    /// Returns the name used in logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Backend => "backend",
            Self::Caller => "caller",
        }
    }
}

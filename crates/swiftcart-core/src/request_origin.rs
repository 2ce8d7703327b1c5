//! Origin of a request: an outside caller, or a running request of a backend server.

use serde::{Deserialize, Serialize};

/// Origin of a request at its ingress.
///
/// A nested call belongs to a request that already occupies a slot elsewhere, so refusing it wastes
/// the work done for that request.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RequestOrigin {
    /// A caller outside the mesh.
    #[default]
    Caller,
    /// The backend server beside the ingress, on behalf of a request that it runs.
    Backend,
}

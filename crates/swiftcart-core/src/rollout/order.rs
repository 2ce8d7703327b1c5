//! Roll-out orders of operators.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ServiceName;

/// Identifier of an order: its offset in the platform's log. A greater offset supersedes a smaller
/// one.
#[derive(
    Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct OrderId(pub u64);

/// Name of a release of a backend server's program, for example `v2`.
#[derive(Debug, Default, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Release(String);

impl Release {
    /// Creates a release name.
    #[must_use]
    pub fn new(name: impl Into<String>) -> Self {
        Self(name.into())
    }

    /// Returns the name.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for Release {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Order to move a service to a release within a given time.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct RolloutOrder {
    /// Identifier of the order.
    pub id: OrderId,
    /// Service to move.
    pub service: ServiceName,
    /// Release to move the service to.
    pub target: Release,
    /// Time from the order to its deadline.
    pub duration: Duration,
}

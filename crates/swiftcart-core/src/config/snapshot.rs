//! A configuration that was accepted elsewhere and comes as a whole.

use serde::{Deserialize, Serialize};

use super::{Digest, Policies, RequestLimits, RowKey, Table, Version};

/// Holds one accepted version in full.
///
/// Where the platform itself judges what operators write, there is no log to fold:
/// its newest version replaces the one before.
///
/// # Examples
///
/// ```
/// use swiftcart_core::{Limits, Snapshot, Table, Version};
///
/// let table = Table::new()
///     .with_service("booking", Limits::default())
///     .with_route("//book.example/crew/", "booking", 1);
/// let snapshot = Snapshot::new(Version(7), table);
/// assert!(snapshot.has_all_services());
/// ```
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The version; greater is newer.
    pub version: Version,
    /// Services, and the weighted routes to them.
    pub table: Table,
    /// The policies of the routes' prefixes.
    pub policies: Policies,
    /// What callers may send; `None` leaves it to the node's settings.
    pub requests: Option<RequestLimits>,
}

impl Snapshot {
    /// Creates a version without policies.
    #[must_use]
    pub const fn new(version: Version, table: Table) -> Self {
        Self {
            version,
            table,
            policies: Policies::new(),
            requests: None,
        }
    }

    /// Sets the policies.
    #[must_use]
    pub fn with_policies(mut self, policies: Policies) -> Self {
        self.policies = policies;
        self
    }

    /// Sets what callers may send.
    #[must_use]
    pub const fn with_request_limits(mut self, requests: RequestLimits) -> Self {
        self.requests = Some(requests);
        self
    }

    /// Tells whether every route leads to a service of the same version.
    #[must_use]
    pub fn has_all_services(&self) -> bool {
        let known = |name| self.table.0.contains_key(&RowKey::Service(name));
        let mut routes = self.table.routes();
        routes.all(|(_, name, _)| known(name.clone()))
    }

    /// Returns the hash of the content.
    #[must_use]
    pub fn digest(&self) -> Digest {
        // Every part has a known length, the only thing that postcard asks for.
        Digest::of(&postcard::to_stdvec(self).unwrap_or_default())
    }
}

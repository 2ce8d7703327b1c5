//! Complete configurations that the platform has already accepted.

use serde::{Deserialize, Serialize};

use super::{Digest, Policies, RequestLimits, RowKey, Table, Version};

/// A complete accepted configuration.
///
/// Snapshots serve platforms that validate the edits of operators themselves. Such a platform has
/// no log to fold, and its newest version replaces the previous version.
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
    /// The version, where a greater number is newer.
    pub version: Version,
    /// The services and the weighted routes to these services.
    pub table: Table,
    /// The policies by path prefix.
    pub policies: Policies,
    /// The limits for requests of callers, or `None` to use the settings of the node.
    pub requests: Option<RequestLimits>,
}

impl Snapshot {
    /// Creates a snapshot without policies and request limits.
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

    /// Sets the limits for requests of callers.
    #[must_use]
    pub const fn with_request_limits(mut self, requests: RequestLimits) -> Self {
        self.requests = Some(requests);
        self
    }

    /// Returns `true` if every route refers to a service in the table.
    #[must_use]
    pub fn has_all_services(&self) -> bool {
        let known = |name| self.table.0.contains_key(&RowKey::Service(name));
        let mut routes = self.table.routes();
        routes.all(|(_, name, _)| known(name.clone()))
    }

    /// Returns the hash of the canonical encoding.
    #[must_use]
    pub fn digest(&self) -> Digest {
        // Encoding cannot fail, since `postcard` only requires that every sequence has a known
        // length.
        Digest::of(&postcard::to_stdvec(self).unwrap_or_default())
    }
}

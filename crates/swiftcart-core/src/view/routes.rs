//! The routes of one version, whoever the members are.

use std::collections::BTreeMap;

use super::prefix_tree::{PrefixNode, TrailingSlash, WeightedTargets};
use crate::{
    Accounts, AllowedRegions, ColdStart, Limits, Policies, RequestLimits, RouteKey, ServiceName,
    Snapshot, Table, Version,
};

/// Holds the services and routes of one version, ready for lookups.
///
/// They change with the version only; views of changing members share them.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Routes {
    version: Version,
    /// The services in name order.
    services: Vec<(ServiceName, Limits)>,
    /// The routes of any host.
    root: PrefixNode,
    /// The routes of one host each.
    hosts: BTreeMap<Box<str>, PrefixNode>,
    requests: Option<RequestLimits>,
    accounts: Accounts,
    cold_starts: BTreeMap<ServiceName, ColdStart>,
}

impl Routes {
    /// Creates the routes of `table`, which is of `version`.
    #[must_use]
    pub fn new(version: Version, table: &Table) -> Self {
        Self::build(version, table, &Policies::new())
    }

    /// Creates the routes of a version that came as a whole.
    #[must_use]
    pub fn from_snapshot(snapshot: &Snapshot) -> Self {
        Self {
            requests: snapshot.requests,
            ..Self::build(snapshot.version, &snapshot.table, &snapshot.policies)
        }
    }

    fn build(version: Version, table: &Table, policies: &Policies) -> Self {
        let services = table
            .services()
            .map(|(name, limits)| (name.clone(), limits));
        let cold_starts = table.cold_starts().map(|(name, cold)| (name.clone(), cold));
        let mut routes = Self {
            version,
            services: services.collect(),
            accounts: Accounts::new(table),
            cold_starts: cold_starts.collect(),
            ..Self::default()
        };
        for (prefix, name, weight) in table.routes() {
            if let Some(service) = routes.place(name.as_str()) {
                let choice = routes.choice(prefix);
                choice.set_route(RouteKey::new(prefix));
                choice.set_policy(policies.get(prefix).copied());
                choice.set_access(table.access(prefix));
                choice.set_regions(table.prefix_homes(prefix).map(AllowedRegions::from));
                choice.add(service, weight);
            }
        }
        routes
    }

    /// Returns the version.
    #[must_use]
    pub const fn version(&self) -> Version {
        self.version
    }

    /// Returns what callers may send, where the configuration says so.
    #[must_use]
    pub const fn requests(&self) -> Option<RequestLimits> {
        self.requests
    }

    /// Returns the client accounts; none where the configuration asks for no keys.
    #[must_use]
    pub const fn accounts(&self) -> &Accounts {
        &self.accounts
    }

    /// Returns what the backend servers of a service bear while they are cold, where that is less.
    #[must_use]
    pub fn cold_start(&self, service: &ServiceName) -> Option<ColdStart> {
        self.cold_starts.get(service).copied()
    }

    /// Returns the services in name order with their limits.
    pub(super) fn services(&self) -> &[(ServiceName, Limits)] {
        &self.services
    }

    /// Returns the place of a service in name order.
    pub(super) fn place(&self, name: &str) -> Option<usize> {
        let found = self
            .services
            .binary_search_by(|(n, _)| n.as_str().cmp(name));
        found.ok()
    }

    /// Returns the choice of the longest prefix; those of a host go before those of any.
    pub(super) fn find(&self, host: Option<&str>, path: &str) -> Option<&WeightedTargets> {
        let own = host.and_then(|host| self.hosts.get(without_port(host)));
        let own = own.and_then(|segment| segment.find(path));
        own.or_else(|| self.root.find(path))
    }

    fn choice(&mut self, prefix: &str) -> &mut WeightedTargets {
        match split_host(prefix) {
            Some((host, path)) => {
                let segment = self.hosts.entry(host.into()).or_default();
                segment.insert(path, TrailingSlash::Required)
            }
            None => self.root.insert(prefix, TrailingSlash::Optional),
        }
    }
}

/// Splits a prefix of the form `//host/path` into host and path.
fn split_host(prefix: &str) -> Option<(&str, &str)> {
    let rest = prefix.strip_prefix("//")?;
    let slash = rest.find('/').filter(|at| *at > 0)?;
    Some(rest.split_at(slash))
}

fn without_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|b| b.is_ascii_digit()) => name,
        _ => host,
    }
}

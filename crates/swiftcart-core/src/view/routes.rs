//! Routes of one configuration version, independent of the member list.

use std::collections::BTreeMap;

use super::prefix_tree::{PrefixNode, TrailingSlash, WeightedTargets};
use crate::{
    Accounts, AllowedRegions, ColdStart, Limits, Policies, RequestLimits, RouteKey, ServiceName,
    Snapshot, Table, Version,
};

/// Services and routes of one configuration version, indexed for lookups.
///
/// Routes change only with the version, so views of different member lists share them.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Routes {
    version: Version,
    /// Services, sorted by name.
    services: Vec<(ServiceName, Limits)>,
    /// Routes that apply to any host.
    any_host: PrefixNode,
    /// Routes that apply to one host, by host name.
    hosts: BTreeMap<Box<str>, PrefixNode>,
    requests: Option<RequestLimits>,
    accounts: Accounts,
    cold_starts: BTreeMap<ServiceName, ColdStart>,
}

impl Routes {
    /// Creates the routes of `table` with version `version`, without policies.
    #[must_use]
    pub fn new(version: Version, table: &Table) -> Self {
        Self::build(version, table, &Policies::new())
    }

    /// Creates the routes of a configuration snapshot.
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
            if let Some(service) = routes.service_index(name.as_str()) {
                let targets = routes.targets_mut(prefix);
                targets.set_route(RouteKey::new(prefix));
                targets.set_policy(policies.get(prefix).copied());
                targets.set_access(table.access(prefix));
                targets.set_regions(table.prefix_homes(prefix).map(AllowedRegions::from));
                targets.add(service, weight);
            }
        }
        routes
    }

    /// Returns the configuration version.
    #[must_use]
    pub const fn version(&self) -> Version {
        self.version
    }

    /// Returns the limits on callers' requests, if configured.
    #[must_use]
    pub const fn requests(&self) -> Option<RequestLimits> {
        self.requests
    }

    /// Returns the client accounts, empty if the configuration requires no API keys.
    #[must_use]
    pub const fn accounts(&self) -> &Accounts {
        &self.accounts
    }

    /// Returns the reduced rate of a service's backend servers during a cold start, if configured.
    #[must_use]
    pub fn cold_start(&self, service: &ServiceName) -> Option<ColdStart> {
        self.cold_starts.get(service).copied()
    }

    /// Returns the services with their limits, sorted by name.
    pub(super) fn services(&self) -> &[(ServiceName, Limits)] {
        &self.services
    }

    /// Returns the index of a service in the list sorted by name.
    pub(super) fn service_index(&self, name: &str) -> Option<usize> {
        let found = self
            .services
            .binary_search_by(|(n, _)| n.as_str().cmp(name));
        found.ok()
    }

    /// Returns the targets of the longest matching prefix.
    ///
    /// Prefixes of the given host take precedence over prefixes of any host.
    pub(super) fn find(&self, host: Option<&str>, path: &str) -> Option<&WeightedTargets> {
        let host_root = host.and_then(|host| self.hosts.get(without_port(host)));
        let host_match = host_root.and_then(|root| root.find(path));
        host_match.or_else(|| self.any_host.find(path))
    }

    fn targets_mut(&mut self, prefix: &str) -> &mut WeightedTargets {
        match split_host(prefix) {
            Some((host, path)) => {
                let root = self.hosts.entry(host.into()).or_default();
                root.insert(path, TrailingSlash::Required)
            }
            None => self.any_host.insert(prefix, TrailingSlash::Optional),
        }
    }
}

/// Splits a prefix of the form `//host/path` into host and path.
///
/// Returns `None` for a prefix of any host.
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

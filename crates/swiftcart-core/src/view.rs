//! One immutable picture of where requests go: the table joined with the members.

mod entry;
mod segment;

use std::collections::{BTreeMap, BTreeSet};

use rand::Rng;

use crate::{
    FailureDomain, Member, NodeId, Policies, Policy, Reason, RequestLimits, Snapshot, Table,
    Version,
};
pub use entry::*;
use segment::{Segment, Slash};

/// Tells where a request goes and how it is treated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Routed<'a> {
    /// The service that was chosen.
    pub entry: &'a ServiceEntry,
    /// How the request is treated; without one its method decides.
    pub policy: Option<Policy>,
}

/// Holds one configuration version joined with one state of the membership.
///
/// A view never changes after it is built; a node swaps the whole of it, and a
/// request uses one view from start to end. Every route in it points at a
/// service of the table, and every candidate is a routable member. A service
/// without a backend server that takes work is left out of the weighted choice.
///
/// # Examples
///
/// ```
/// use rand::{SeedableRng, rngs::SmallRng};
/// use swiftcart_core::{FailureDomain, Limits, NodeId, Reason, Table, Version, View};
///
/// let table = Table::new()
///     .with_service("sensor", Limits::default())
///     .with_route("/moisture", "sensor", 1);
/// let me = NodeId("127.0.0.1:7000".parse()?);
/// let view = View::new(Version(1), &table, [].into_iter(), me, &FailureDomain::new("sur"));
/// let mut rng = SmallRng::seed_from_u64(1);
/// assert_eq!(view.route("/moisture/7", &mut rng), Err(Reason::NoBackend));
/// assert_eq!(view.route("/footage", &mut rng), Err(Reason::NoRoute));
/// # Ok::<(), std::net::AddrParseError>(())
/// ```
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct View {
    version: Version,
    services: Vec<ServiceEntry>,
    /// The routes of any host.
    root: Segment,
    /// The routes of one host each.
    hosts: BTreeMap<Box<str>, Segment>,
    ids: BTreeSet<NodeId>,
    requests: Option<RequestLimits>,
}

impl View {
    /// Creates the view that the node `me` in `domain` has of `table` and `members`.
    ///
    /// `members` are those that requests may be sent to; the others stay outside.
    #[must_use]
    pub fn new<'a>(
        version: Version,
        table: &Table,
        members: impl Iterator<Item = &'a Member>,
        me: NodeId,
        domain: &FailureDomain,
    ) -> Self {
        Self::build(version, table, &Policies::new(), members, me, domain)
    }

    /// Creates the view that the node `me` in `domain` has of `snapshot` and `members`.
    #[must_use]
    pub fn from_snapshot<'a>(
        snapshot: &Snapshot,
        members: impl Iterator<Item = &'a Member>,
        me: NodeId,
        domain: &FailureDomain,
    ) -> Self {
        let (table, policies) = (&snapshot.table, &snapshot.policies);
        Self {
            requests: snapshot.requests,
            ..Self::build(snapshot.version, table, policies, members, me, domain)
        }
    }

    fn build<'a>(
        version: Version,
        table: &Table,
        policies: &Policies,
        members: impl Iterator<Item = &'a Member>,
        me: NodeId,
        domain: &FailureDomain,
    ) -> Self {
        let mut services: Vec<_> = table
            .services()
            .map(|(name, limits)| ServiceEntry::new(name.clone(), limits))
            .collect();
        for member in members {
            if let Some(backend) = &member.backend
                && let Ok(i) = services.binary_search_by(|s| s.name().cmp(&backend.service))
            {
                services[i].add(member, backend, me, domain);
            }
        }
        services.iter_mut().for_each(ServiceEntry::order);
        let mut root = Segment::default();
        let mut hosts = BTreeMap::<Box<str>, Segment>::new();
        for (prefix, name, weight) in table.routes() {
            if let Ok(i) = services.binary_search_by(|s| s.name().cmp(name)) {
                let choice = match split_host(prefix) {
                    Some((host, path)) => {
                        let segment = hosts.entry(host.into()).or_default();
                        segment.insert(path, Slash::Needed)
                    }
                    None => root.insert(prefix, Slash::Optional),
                };
                choice.set_policy(policies.get(prefix).copied());
                choice.add(i, &services[i], weight);
            }
        }
        let ids = services.iter().flat_map(ServiceEntry::candidates);
        Self {
            version,
            ids: ids.map(|c| c.id).collect(),
            services,
            root,
            hosts,
            requests: None,
        }
    }

    /// Returns the version of the table.
    #[must_use]
    pub const fn version(&self) -> Version {
        self.version
    }

    /// Returns the services in name order.
    #[must_use]
    pub fn services(&self) -> &[ServiceEntry] {
        &self.services
    }

    /// Returns the service with this name, or `None` when the table lacks it.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&ServiceEntry> {
        let i = self
            .services
            .binary_search_by(|s| s.name().as_str().cmp(name))
            .ok()?;
        self.services.get(i)
    }

    /// Tells whether `id` stands beside a backend server that takes work.
    #[must_use]
    pub fn has_candidate(&self, id: NodeId) -> bool {
        self.ids.contains(&id)
    }

    /// Chooses the service for `path` by the longest prefix, then by weight.
    ///
    /// Prefixes match whole path segments: `/a` takes `/a` and `/a/b`, not `/ab`.
    /// A query is left aside; the path is compared as it came, without decoding.
    /// The lookup does not allocate, and its cost is bounded by the depth of the
    /// deepest prefix, whatever the path's length.
    ///
    /// # Errors
    ///
    /// [`Reason::NoRoute`] when no prefix matches or the matching one has weight 0
    /// only, [`Reason::NotReady`] when backend servers are known and none takes
    /// work, [`Reason::NoBackend`] when none is known.
    pub fn route<R: Rng + ?Sized>(&self, path: &str, rng: &mut R) -> Result<&ServiceEntry, Reason> {
        self.find(None, path, rng).map(|routed| routed.entry)
    }

    /// Chooses the service for `path` at `host`, and tells how the request is treated.
    ///
    /// A prefix that begins with `//` belongs to the host that follows: `//book.example/crew/`.
    /// Such a prefix takes what begins with its path, its last slash included. Prefixes of
    /// a host go before those of any host. The host is compared without its port.
    ///
    /// # Errors
    ///
    /// The same as [`route`](Self::route).
    pub fn find<R: Rng + ?Sized>(
        &self,
        host: Option<&str>,
        path: &str,
        rng: &mut R,
    ) -> Result<Routed<'_>, Reason> {
        let own = host.and_then(|host| self.hosts.get(without_port(host)));
        let choice = own
            .and_then(|segment| segment.find(path))
            .or_else(|| self.root.find(path))
            .ok_or(Reason::NoRoute)?;
        let entry = self.services.get(choice.pick(rng)?);
        Ok(Routed {
            entry: entry.ok_or(Reason::NoBackend)?,
            policy: choice.policy(),
        })
    }

    /// Returns what callers may send, where the configuration says so.
    #[must_use]
    pub const fn requests(&self) -> Option<RequestLimits> {
        self.requests
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

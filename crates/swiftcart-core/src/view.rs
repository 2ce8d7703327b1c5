//! Immutable routing view of a node: the configuration table joined with the member list.

mod entry;
mod key;
mod locality;
mod prefix_tree;
mod routes;

use std::collections::BTreeSet;
use std::sync::Arc;

use rand::Rng;

use crate::{
    Access, Accounts, AllowedRegions, ColdStart, FailureDomain, Member, NodeId, Policy, Reason,
    RequestLimits, ServiceName, Table, Version,
};
pub use entry::*;
pub use key::*;
pub use locality::*;
pub use routes::*;

/// Result of a route lookup: the service, the policy and the access rules of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RouteMatch<'a> {
    /// Chosen service.
    pub entry: &'a ServiceEntry,
    /// Call policy of the route. Without a policy, the request's method decides whether the request
    /// is idempotent.
    pub policy: Option<Policy>,
    /// Key of the matching route.
    pub route: RouteKey,
    /// Access rule of the route, if the configuration has client accounts.
    pub access: Access,
    /// Regions in which the route allows the request to run.
    pub regions: &'a AllowedRegions,
}

/// Immutable routing state built from one configuration version and one member list.
///
/// A node replaces its view as a whole, and a request uses the same view from start to end.
/// Every route points to a service of the table, and every candidate is a routable member.
/// On routes without a policy, the weighted choice skips services without a ready backend
/// server.
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
    routes: Arc<Routes>,
    services: Vec<ServiceEntry>,
    ids: BTreeSet<NodeId>,
}

impl View {
    /// Creates the view of the node `me` in `domain` from `table` and `members`.
    ///
    /// `members` must contain only the members that requests may be sent to.
    #[must_use]
    pub fn new<'a>(
        version: Version,
        table: &Table,
        members: impl Iterator<Item = &'a Member>,
        me: NodeId,
        domain: &'a FailureDomain,
    ) -> Self {
        let routes = Arc::new(Routes::new(version, table));
        Self::with_routes(routes, members, me, domain)
    }

    /// Creates the view of the node `me` at `locality` from `routes` and `members`.
    #[must_use]
    pub fn with_routes<'a>(
        routes: Arc<Routes>,
        members: impl Iterator<Item = &'a Member>,
        me: NodeId,
        locality: impl Into<Locality<'a>>,
    ) -> Self {
        let locality = locality.into();
        let mut services: Vec<_> = routes
            .services()
            .iter()
            .map(|(name, limits)| ServiceEntry::new(name.clone(), *limits))
            .collect();
        for member in members {
            if let Some(backend) = &member.backend
                && let Some(i) = routes.service_index(backend.service.as_str())
            {
                services[i].add(member, backend, me, locality);
            }
        }
        services.iter_mut().for_each(ServiceEntry::sort_by_distance);
        let ids = services.iter().flat_map(ServiceEntry::candidates);
        Self {
            ids: ids.map(|c| c.id).collect(),
            routes,
            services,
        }
    }

    /// Returns the version of the configuration table.
    #[must_use]
    pub fn version(&self) -> Version {
        self.routes.version()
    }

    /// Returns the services, sorted by name.
    #[must_use]
    pub fn services(&self) -> &[ServiceEntry] {
        &self.services
    }

    /// Returns the service with this name, or `None` if the table does not contain it.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&ServiceEntry> {
        let i = self.routes.service_index(name)?;
        self.services.get(i)
    }

    /// Returns `true` if the backend server beside node `id` is ready for requests.
    #[must_use]
    pub fn has_candidate(&self, id: NodeId) -> bool {
        self.ids.contains(&id)
    }

    /// Returns the service for `path`, chosen by longest prefix, then by weight.
    ///
    /// Prefixes match whole path segments: `/a` matches `/a` and `/a/b`, but not `/ab`.
    /// The query string is ignored, and the path is compared without percent-decoding.
    /// The lookup does not allocate. Its cost is bounded by the depth of the deepest prefix,
    /// regardless of the path's length.
    ///
    /// # Errors
    ///
    /// Returns [`Reason::NoRoute`] if no prefix matches, or if all services of the matching
    /// prefix have weight 0. Returns [`Reason::NotReady`] if backend servers are known but none
    /// is ready, and [`Reason::NoBackend`] if no backend server is known.
    pub fn route<R: Rng + ?Sized>(&self, path: &str, rng: &mut R) -> Result<&ServiceEntry, Reason> {
        self.find(None, path, rng).map(|routed| routed.entry)
    }

    /// Returns the route for `path` at `host`, with its chosen service and its rules.
    ///
    /// A prefix that begins with `//` applies to one host only: `//book.example/crew/`.
    /// A host-specific prefix with a trailing slash matches only paths that start with the whole
    /// prefix, including that slash.
    /// Host-specific prefixes take precedence over prefixes that apply to any host.
    /// The host is compared without its port.
    ///
    /// # Errors
    ///
    /// Returns the same errors as [`route`](Self::route).
    pub fn find<R: Rng + ?Sized>(
        &self,
        host: Option<&str>,
        path: &str,
        rng: &mut R,
    ) -> Result<RouteMatch<'_>, Reason> {
        let targets = self.routes.find(host, path).ok_or(Reason::NoRoute)?;
        let entry = self.services.get(targets.pick(&self.services, rng)?);
        Ok(RouteMatch {
            entry: entry.ok_or(Reason::NoBackend)?,
            policy: targets.policy(),
            route: targets.route(),
            access: targets.access(),
            regions: targets.regions(),
        })
    }

    /// Returns the reduced rate of a service's backend servers during a cold start, if configured.
    #[must_use]
    pub fn cold_start(&self, service: &ServiceName) -> Option<ColdStart> {
        self.routes.cold_start(service)
    }

    /// Returns the client accounts, empty if the configuration requires no API keys.
    #[must_use]
    pub fn accounts(&self) -> &Accounts {
        self.routes.accounts()
    }

    /// Returns the limits on callers' requests, if configured.
    #[must_use]
    pub fn requests(&self) -> Option<RequestLimits> {
        self.routes.requests()
    }
}

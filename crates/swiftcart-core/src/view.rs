//! One immutable picture of where requests go: the table joined with the members.

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

/// Tells where a request goes and how it is treated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RouteMatch<'a> {
    /// The service that was chosen.
    pub entry: &'a ServiceEntry,
    /// How the request is treated; without one its method decides.
    pub policy: Option<Policy>,
    /// Names the route that was found.
    pub route: RouteKey,
    /// Who may use it, where the configuration has accounts.
    pub access: Access,
    /// Where the request may be run, as far as the route says.
    pub regions: &'a AllowedRegions,
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
    routes: Arc<Routes>,
    services: Vec<ServiceEntry>,
    ids: BTreeSet<NodeId>,
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
        domain: &'a FailureDomain,
    ) -> Self {
        let routes = Arc::new(Routes::new(version, table));
        Self::with_routes(routes, members, me, domain)
    }

    /// Creates the view that the node `me` at `place` has of `members` under `routes`.
    #[must_use]
    pub fn with_routes<'a>(
        routes: Arc<Routes>,
        members: impl Iterator<Item = &'a Member>,
        me: NodeId,
        place: impl Into<Locality<'a>>,
    ) -> Self {
        let place = place.into();
        let mut services: Vec<_> = routes
            .services()
            .iter()
            .map(|(name, limits)| ServiceEntry::new(name.clone(), *limits))
            .collect();
        for member in members {
            if let Some(backend) = &member.backend
                && let Some(i) = routes.place(backend.service.as_str())
            {
                services[i].add(member, backend, me, place);
            }
        }
        services.iter_mut().for_each(ServiceEntry::order);
        let ids = services.iter().flat_map(ServiceEntry::candidates);
        Self {
            ids: ids.map(|c| c.id).collect(),
            routes,
            services,
        }
    }

    /// Returns the version of the table.
    #[must_use]
    pub fn version(&self) -> Version {
        self.routes.version()
    }

    /// Returns the services in name order.
    #[must_use]
    pub fn services(&self) -> &[ServiceEntry] {
        &self.services
    }

    /// Returns the service with this name, or `None` when the table lacks it.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&ServiceEntry> {
        let i = self.routes.place(name)?;
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
    ) -> Result<RouteMatch<'_>, Reason> {
        let choice = self.routes.find(host, path).ok_or(Reason::NoRoute)?;
        let entry = self.services.get(choice.pick(&self.services, rng)?);
        Ok(RouteMatch {
            entry: entry.ok_or(Reason::NoBackend)?,
            policy: choice.policy(),
            route: choice.route(),
            access: choice.access(),
            regions: choice.regions(),
        })
    }

    /// Returns what the backend servers of a service bear while they are cold, where that is less.
    #[must_use]
    pub fn cold_start(&self, service: &ServiceName) -> Option<ColdStart> {
        self.routes.cold_start(service)
    }

    /// Returns the client accounts; none where the configuration asks for no keys.
    #[must_use]
    pub fn accounts(&self) -> &Accounts {
        self.routes.accounts()
    }

    /// Returns what callers may send, where the configuration says so.
    #[must_use]
    pub fn requests(&self) -> Option<RequestLimits> {
        self.routes.requests()
    }
}

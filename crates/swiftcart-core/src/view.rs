//! One immutable picture of where requests go: the table joined with the members.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use rand::Rng;

use crate::{
    Backend, FailureDomain, Limits, Member, NodeId, Readiness, Reason, ServiceName, Table, Version,
};

/// Names a backend server that may be given a request, by the node beside it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Candidate {
    /// The node beside the backend server.
    pub id: NodeId,
    /// Where that node takes requests for it.
    pub peer: SocketAddr,
    /// Requests that the backend server says it runs at once.
    pub slots: u32,
    /// Whether it is in the failure domain of the view's node.
    pub near: bool,
}

/// Holds what a node knows of one service: its limits and its backend servers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceEntry {
    name: ServiceName,
    limits: Limits,
    /// Those that take work: the own failure domain first, each part in id order.
    ready: Vec<Candidate>,
    near: usize,
    own: Option<Candidate>,
    known: usize,
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
    root: Segment,
    ids: BTreeSet<NodeId>,
}

/// One node of the prefix tree; its depth is the number of path segments.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
struct Segment {
    children: BTreeMap<Box<str>, Segment>,
    choice: Option<Choice>,
}

/// The weighted services of one prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Choice {
    targets: Vec<Target>,
    total: u64,
    /// Why there is no service, when the targets are empty.
    without: Reason,
}

/// One service of a choice; its share ends at `end` on the line from 0 to the total weight.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Target {
    service: usize,
    end: u64,
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
        let mut services: Vec<_> = table
            .services()
            .map(|(name, limits)| ServiceEntry::new(name.clone(), limits))
            .collect();
        for member in members {
            if let Some(backend) = &member.backend
                && let Ok(i) = services.binary_search_by(|s| s.name.cmp(&backend.service))
            {
                services[i].add(member, backend, me, domain);
            }
        }
        services.iter_mut().for_each(ServiceEntry::order);
        let mut root = Segment::default();
        for (prefix, name, weight) in table.routes() {
            if let Ok(i) = services.binary_search_by(|s| s.name.cmp(name)) {
                let choice = root.insert(prefix);
                choice.add(i, &services[i], weight);
            }
        }
        let ids = services.iter().flat_map(|s| &s.ready).map(|c| c.id);
        Self {
            version,
            ids: ids.collect(),
            services,
            root,
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
            .binary_search_by(|s| s.name.as_str().cmp(name))
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
        let choice = self.root.find(path).ok_or(Reason::NoRoute)?;
        let service = choice.pick(rng)?;
        self.services.get(service).ok_or(Reason::NoBackend)
    }
}

impl ServiceEntry {
    const fn new(name: ServiceName, limits: Limits) -> Self {
        Self {
            name,
            limits,
            ready: Vec::new(),
            near: 0,
            own: None,
            known: 0,
        }
    }

    /// Returns the service's name.
    #[must_use]
    pub const fn name(&self) -> &ServiceName {
        &self.name
    }

    /// Returns the service's limits.
    #[must_use]
    pub const fn limits(&self) -> Limits {
        self.limits
    }

    /// Returns the backend servers that take work.
    #[must_use]
    pub fn candidates(&self) -> &[Candidate] {
        &self.ready
    }

    /// Returns the backend servers of the own failure domain that take work.
    #[must_use]
    pub fn near(&self) -> &[Candidate] {
        &self.ready[..self.near]
    }

    /// Returns the backend servers of the other failure domains that take work.
    #[must_use]
    pub fn far(&self) -> &[Candidate] {
        &self.ready[self.near..]
    }

    /// Returns the node's own backend server when it is of this service and takes work.
    #[must_use]
    pub const fn own(&self) -> Option<&Candidate> {
        self.own.as_ref()
    }

    /// Returns why no candidate is there, or `None` when one is.
    #[must_use]
    pub const fn shortage(&self) -> Option<Reason> {
        match (self.ready.len(), self.known) {
            (0, 0) => Some(Reason::NoBackend),
            (0, _) => Some(Reason::NotReady),
            _ => None,
        }
    }

    fn add(&mut self, member: &Member, backend: &Backend, me: NodeId, domain: &FailureDomain) {
        self.known += 1;
        if backend.readiness != Readiness::Ready {
            return;
        }
        let candidate = Candidate {
            id: member.id,
            peer: member.peer,
            slots: backend.slots,
            near: member.domain == *domain,
        };
        if member.id == me {
            self.own = Some(candidate);
        }
        self.near += usize::from(candidate.near);
        self.ready.push(candidate);
    }

    fn order(&mut self) {
        self.ready.sort_unstable_by_key(|c| (!c.near, c.id));
    }
}

impl Segment {
    fn insert(&mut self, prefix: &str) -> &mut Choice {
        let mut at = self;
        for name in segments(prefix.trim_end_matches('/')) {
            at = at.children.entry(name.into()).or_default();
        }
        at.choice.get_or_insert_with(Choice::new)
    }

    fn find(&self, path: &str) -> Option<&Choice> {
        let path = path.split_once('?').map_or(path, |(path, _)| path);
        let mut best = self.choice.as_ref();
        let mut at = self;
        for name in segments(path) {
            match at.children.get(name) {
                Some(child) => at = child,
                None => break,
            }
            best = at.choice.as_ref().or(best);
        }
        best
    }
}

impl Choice {
    const fn new() -> Self {
        Self {
            targets: Vec::new(),
            total: 0,
            without: Reason::NoRoute,
        }
    }

    fn add(&mut self, service: usize, entry: &ServiceEntry, weight: u32) {
        match entry.shortage() {
            _ if weight == 0 => {}
            Some(reason) if self.without != Reason::NotReady => self.without = reason,
            Some(_) => {}
            None => {
                self.total += u64::from(weight);
                let end = self.total;
                self.targets.push(Target { service, end });
            }
        }
    }

    fn pick<R: Rng + ?Sized>(&self, rng: &mut R) -> Result<usize, Reason> {
        match self.targets.as_slice() {
            [] => Err(self.without),
            [only] => Ok(only.service),
            targets => {
                let point = rng.random_range(0..self.total);
                let i = targets.partition_point(|t| t.end <= point);
                targets.get(i).map(|t| t.service).ok_or(self.without)
            }
        }
    }
}

/// Splits an absolute path into its segments; `/` and the empty path have none.
fn segments(path: &str) -> impl Iterator<Item = &str> {
    let path = path.strip_prefix('/').unwrap_or(path);
    path.split('/').filter(move |_| !path.is_empty())
}

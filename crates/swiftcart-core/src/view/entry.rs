//! One service of a view: its limits and the backend servers that take its work.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;

use crate::{
    Backend, Distance, FailureDomain, Limits, Locality, Member, NodeId, Pace, Readiness, Reason,
    RegionTag, ServiceName,
};

/// Tells failure domains apart where their names are too long to be copied about.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct DomainTag(u64);

impl DomainTag {
    /// Returns the tag of a failure domain, the same in each process of one release.
    ///
    /// # Examples
    ///
    /// ```
    /// use swiftcart_core::{DomainTag, FailureDomain};
    ///
    /// let tag = |name| DomainTag::new(&FailureDomain::new(name));
    /// assert_eq!(tag("norte"), tag("norte"));
    /// assert_ne!(tag("norte"), tag("sur"));
    /// ```
    #[must_use]
    pub fn new(domain: &FailureDomain) -> Self {
        let mut hasher = DefaultHasher::new();
        domain.hash(&mut hasher);
        Self(hasher.finish())
    }
}

/// Names a backend server that may be given a request, by the node beside it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Candidate {
    /// The node beside the backend server.
    pub id: NodeId,
    /// Where that node takes requests for it.
    pub peer: SocketAddr,
    /// Requests that the backend server says it runs at once.
    pub slots: u32,
    /// Its failure domain.
    pub domain: DomainTag,
    /// Its region.
    pub region: RegionTag,
    /// How far it is from the view's node.
    pub distance: Distance,
    /// How long its calls take, as its node has told all others.
    pub pace: Option<Pace>,
}

impl Candidate {
    /// Tells whether it is in the failure domain of the view's node.
    #[must_use]
    pub fn in_same_domain(&self) -> bool {
        self.distance == Distance::SameDomain
    }
}

/// Holds what a node knows of one service: its limits and its backend servers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceEntry {
    name: ServiceName,
    limits: Limits,
    /// Those that take work: the own failure domain first, other regions last, each part in id order.
    ready: Vec<Candidate>,
    near: usize,
    /// Those of the own region, the own failure domain included.
    regional: usize,
    /// Those that are tried, the own failure domain first.
    tried: Vec<Candidate>,
    /// Those that are known and take no work yet.
    warming: Vec<NodeId>,
    own: Option<Candidate>,
    known: usize,
}

impl ServiceEntry {
    pub(super) const fn new(name: ServiceName, limits: Limits) -> Self {
        Self {
            name,
            limits,
            ready: Vec::new(),
            near: 0,
            regional: 0,
            tried: Vec::new(),
            warming: Vec::new(),
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

    /// Returns the backend servers of the region's other failure domains that take work.
    #[must_use]
    pub fn far(&self) -> &[Candidate] {
        &self.ready[self.near..self.regional]
    }

    /// Returns the backend servers of other regions that take work.
    #[must_use]
    pub fn remote(&self) -> &[Candidate] {
        &self.ready[self.regional..]
    }

    /// Returns the backend servers whose release is on trial, those of the own failure domain first.
    #[must_use]
    pub fn tried(&self) -> &[Candidate] {
        &self.tried
    }

    /// Returns the nodes whose backend servers take no work yet.
    #[must_use]
    pub fn warming(&self) -> &[NodeId] {
        &self.warming
    }

    /// Returns the node's own backend server when it is of this service and takes work.
    #[must_use]
    pub const fn own(&self) -> Option<&Candidate> {
        self.own.as_ref()
    }

    /// Returns why no candidate is there, or `None` when one is.
    #[must_use]
    pub const fn unavailable_reason(&self) -> Option<Reason> {
        match (self.ready.len(), self.known) {
            (0, 0) => Some(Reason::NoBackend),
            (0, _) => Some(Reason::NotReady),
            _ => None,
        }
    }

    pub(super) fn add(
        &mut self,
        member: &Member,
        backend: &Backend,
        me: NodeId,
        place: Locality<'_>,
    ) {
        self.known += 1;
        match backend.readiness {
            Readiness::Ready | Readiness::OnTrial => {}
            Readiness::Warming => return self.warming.push(member.id),
            Readiness::Draining => return,
        }
        let candidate = Candidate {
            id: member.id,
            peer: member.peer,
            slots: backend.slots,
            domain: DomainTag::new(&member.domain),
            region: place.region(&member.domain),
            distance: place.distance(&member.domain),
            pace: member.pace,
        };
        if backend.readiness == Readiness::OnTrial {
            return self.tried.push(candidate);
        }
        if member.id == me {
            self.own = Some(candidate);
        }
        self.near += usize::from(candidate.in_same_domain());
        self.regional += usize::from(candidate.distance != Distance::OtherRegion);
        self.ready.push(candidate);
    }

    pub(super) fn order(&mut self) {
        self.ready.sort_unstable_by_key(|c| (c.distance, c.id));
        self.tried.sort_unstable_by_key(|c| (c.distance, c.id));
    }
}

//! Service of a view: its limits and its backend servers.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;

use crate::{
    Backend, Distance, FailureDomain, Limits, Locality, Member, NodeId, Pace, Readiness, Reason,
    RegionTag, ServiceName,
};

/// Hash of a failure domain's name, which is cheaper to copy than the name.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct DomainTag(u64);

impl DomainTag {
    /// Returns the tag of a failure domain. All processes of one release compute the same tag.
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

/// Backend server that can receive a request, identified by the node beside it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Candidate {
    /// Node beside the backend server.
    pub id: NodeId,
    /// Address at which that node accepts requests for the backend server.
    pub peer: SocketAddr,
    /// Number of concurrent requests that the backend server announces.
    pub slots: u32,
    /// Failure domain of the backend server.
    pub domain: DomainTag,
    /// Region of the backend server.
    pub region: RegionTag,
    /// Distance from the view's node.
    pub distance: Distance,
    /// Pace of the backend server's calls, as the node beside the backend server reports it to the
    /// other nodes.
    pub pace: Option<Pace>,
}

impl Candidate {
    /// Returns `true` if the backend server is in the failure domain of the view's node.
    #[must_use]
    pub fn in_same_domain(&self) -> bool {
        self.distance == Distance::SameDomain
    }
}

/// Limits and backend servers of one service, as known to a node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceEntry {
    name: ServiceName,
    limits: Limits,
    /// Ready backend servers, sorted by distance, then by id.
    ready: Vec<Candidate>,
    near_count: usize,
    /// Number of ready backend servers in the node's region, including its failure domain.
    regional_count: usize,
    /// Backend servers whose release is on trial, sorted by distance, then by id.
    tried: Vec<Candidate>,
    /// Nodes whose backend servers are still warming up.
    warming: Vec<NodeId>,
    own: Option<Candidate>,
    known_count: usize,
}

impl ServiceEntry {
    pub(super) const fn new(name: ServiceName, limits: Limits) -> Self {
        Self {
            name,
            limits,
            ready: Vec::new(),
            near_count: 0,
            regional_count: 0,
            tried: Vec::new(),
            warming: Vec::new(),
            own: None,
            known_count: 0,
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

    /// Returns the ready backend servers.
    #[must_use]
    pub fn candidates(&self) -> &[Candidate] {
        &self.ready
    }

    /// Returns the ready backend servers in the failure domain of the view's node.
    #[must_use]
    pub fn near(&self) -> &[Candidate] {
        &self.ready[..self.near_count]
    }

    /// Returns the ready backend servers in the region's other failure domains.
    #[must_use]
    pub fn far(&self) -> &[Candidate] {
        &self.ready[self.near_count..self.regional_count]
    }

    /// Returns the ready backend servers in other regions.
    #[must_use]
    pub fn remote(&self) -> &[Candidate] {
        &self.ready[self.regional_count..]
    }

    /// Returns the backend servers whose release is on trial (canaries), the nearest first.
    #[must_use]
    pub fn tried(&self) -> &[Candidate] {
        &self.tried
    }

    /// Returns the nodes whose backend servers are warming up and accept no requests yet.
    #[must_use]
    pub fn warming(&self) -> &[NodeId] {
        &self.warming
    }

    /// Returns the node's own backend server if it belongs to this service and is ready.
    #[must_use]
    pub const fn own(&self) -> Option<&Candidate> {
        self.own.as_ref()
    }

    /// Returns the reason why no backend server is ready, or `None` if at least one is.
    #[must_use]
    pub const fn unavailable_reason(&self) -> Option<Reason> {
        match (self.ready.len(), self.known_count) {
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
        locality: Locality<'_>,
    ) {
        self.known_count += 1;
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
            region: locality.region(&member.domain),
            distance: locality.distance(&member.domain),
            pace: member.pace,
        };
        if backend.readiness == Readiness::OnTrial {
            return self.tried.push(candidate);
        }
        if member.id == me {
            self.own = Some(candidate);
        }
        self.near_count += usize::from(candidate.in_same_domain());
        self.regional_count += usize::from(candidate.distance != Distance::OtherRegion);
        self.ready.push(candidate);
    }

    pub(super) fn sort_by_distance(&mut self) {
        self.ready.sort_unstable_by_key(|c| (c.distance, c.id));
        self.tried.sort_unstable_by_key(|c| (c.distance, c.id));
    }
}

//! Tree of path prefixes with the weighted target services of each prefix.

use rand::Rng;

use super::ServiceEntry;
use crate::{Access, AllowedRegions, Policy, Reason, RouteKey};

/// Node of the prefix tree. Its depth is the number of path segments of its prefix.
///
/// Most nodes have at most one child, so the children are stored in a vector with little spare
/// capacity. A map allocates room for eleven children: with 2,500 routes, this takes 1.5 kB of
/// the 1.9 kB per route, and the vector reduces these 1.5 kB to 0.3 kB. The size matters because
/// a node process holds two versions in memory while it switches from one to the next.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub(super) struct PrefixNode {
    /// Children, sorted by name.
    children: Vec<Child>,
    /// Targets of the prefix itself and all paths below it.
    targets: Option<Box<WeightedTargets>>,
    /// Targets of the paths below the prefix, without the prefix itself.
    descendant_targets: Option<Box<WeightedTargets>>,
}

/// Child node with its path segment.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Child {
    name: Box<str>,
    node: PrefixNode,
}

/// Matching rule for a prefix with a trailing slash.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum TrailingSlash {
    /// The prefix also matches the path without the trailing slash.
    Optional,
    /// The prefix matches only paths that contain the trailing slash.
    Required,
}

/// Weighted target services and request rules of one prefix.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub(super) struct WeightedTargets {
    targets: Vec<Target>,
    /// Call policy of the prefix, if configured.
    policy: Option<Policy>,
    /// Key of the prefix.
    route: RouteKey,
    access: Access,
    /// Regions in which the requests may run.
    regions: AllowedRegions,
}

/// Target service, as an index into the list of services, with a weight above 0.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Target {
    service: u32,
    weight: u32,
}

impl PrefixNode {
    /// Returns the targets of `prefix`, and inserts an empty set if the prefix is new.
    pub(super) fn insert(&mut self, prefix: &str, slash: TrailingSlash) -> &mut WeightedTargets {
        let mut node = self;
        let path = prefix.trim_end_matches('/');
        for name in segments(path) {
            node = node.child_or_insert(name);
        }
        let slot = match slash {
            TrailingSlash::Required if !path.is_empty() && prefix.ends_with('/') => {
                &mut node.descendant_targets
            }
            TrailingSlash::Required | TrailingSlash::Optional => &mut node.targets,
        };
        slot.get_or_insert_default()
    }

    /// Returns the targets of the longest prefix that matches `path`.
    pub(super) fn find(&self, path: &str) -> Option<&WeightedTargets> {
        let path = path.split_once('?').map_or(path, |(path, _)| path);
        let mut best = self.targets.as_deref();
        let mut node = self;
        for name in segments(path) {
            best = node.descendant_targets.as_deref().or(best);
            match node.child_index(name) {
                Ok(index) => node = &node.children[index].node,
                Err(_) => break,
            }
            best = node.targets.as_deref().or(best);
        }
        best
    }

    /// Returns the child with this name, and inserts it if it does not exist.
    fn child_or_insert(&mut self, name: &str) -> &mut Self {
        let index = match self.child_index(name) {
            Ok(index) => index,
            Err(index) => {
                grow_if_full(&mut self.children);
                let child = Child {
                    name: name.into(),
                    node: Self::default(),
                };
                self.children.insert(index, child);
                index
            }
        };
        &mut self.children[index].node
    }

    /// Returns the index of the child with this name, or the index at which to insert it.
    fn child_index(&self, name: &str) -> Result<usize, usize> {
        self.children
            .binary_search_by(|child| child.name.as_ref().cmp(name))
    }
}

/// Doubles the capacity of a full vector, starting at 1.
///
/// `Vec::push` reserves more spare capacity, which most of these short vectors never use.
fn grow_if_full<T>(list: &mut Vec<T>) {
    if list.len() == list.capacity() {
        list.reserve_exact(list.len().max(1));
    }
}

impl WeightedTargets {
    /// Sets the key of the prefix.
    pub(super) const fn set_route(&mut self, route: RouteKey) {
        self.route = route;
    }

    /// Returns the key of the prefix.
    pub(super) const fn route(&self) -> RouteKey {
        self.route
    }

    /// Sets the call policy.
    pub(super) const fn set_policy(&mut self, policy: Option<Policy>) {
        self.policy = policy;
    }

    /// Returns the call policy, if configured.
    pub(super) const fn policy(&self) -> Option<Policy> {
        self.policy
    }

    /// Sets the access rule of the prefix.
    pub(super) const fn set_access(&mut self, access: Access) {
        self.access = access;
    }

    /// Sets the regions in which the requests may run.
    pub(super) fn set_regions(&mut self, regions: Option<AllowedRegions>) {
        self.regions = regions.unwrap_or_default();
    }

    /// Returns the regions in which the requests may run.
    pub(super) const fn regions(&self) -> &AllowedRegions {
        &self.regions
    }

    /// Returns the access rule of the prefix.
    pub(super) const fn access(&self) -> Access {
        self.access
    }

    /// Adds a service with its weight. A service with weight 0 is ignored.
    pub(super) fn add(&mut self, service: usize, weight: u32) {
        let Ok(service) = u32::try_from(service) else {
            return;
        };
        if weight > 0 {
            grow_if_full(&mut self.targets);
            self.targets.push(Target { service, weight });
        }
    }

    /// Returns the index of a service in `services`, chosen at random by weight.
    ///
    /// A prefix with a policy splits its requests by weight alone: requests for a service
    /// without a ready backend server are refused, not sent to the other services. A prefix
    /// without a policy skips services without a ready backend server.
    pub(super) fn pick<R: Rng + ?Sized>(
        &self,
        services: &[ServiceEntry],
        rng: &mut R,
    ) -> Result<usize, Reason> {
        let is_eligible = |target: &&Target| match services.get(target.service_index()) {
            Some(entry) => self.policy.is_some() || entry.unavailable_reason().is_none(),
            None => false,
        };
        let total: u64 = self
            .targets
            .iter()
            .filter(is_eligible)
            .map(Target::weight)
            .sum();
        if total == 0 {
            return Err(self.unavailable_reason(services));
        }
        let mut point = match self.targets.as_slice() {
            [_] => 0,
            _ => rng.random_range(0..total),
        };
        for target in self.targets.iter().filter(is_eligible) {
            match point.checked_sub(target.weight()) {
                Some(rest) => point = rest,
                None => return Ok(target.service_index()),
            }
        }
        Err(Reason::NoRoute)
    }

    /// Returns the reason why no service can be chosen.
    ///
    /// [`Reason::NotReady`] takes precedence, since it is the most specific reason.
    fn unavailable_reason(&self, services: &[ServiceEntry]) -> Reason {
        let entries = self
            .targets
            .iter()
            .filter_map(|t| services.get(t.service_index()));
        let mut reasons = entries.filter_map(ServiceEntry::unavailable_reason);
        let first = reasons.next();
        match reasons.find(|reason| *reason == Reason::NotReady) {
            Some(reason) => reason,
            None => first.unwrap_or(Reason::NoRoute),
        }
    }
}

impl Target {
    fn weight(&self) -> u64 {
        self.weight.into()
    }

    const fn service_index(&self) -> usize {
        self.service as usize
    }
}

/// Splits an absolute path into its segments. `/` and the empty path have no segments.
fn segments(path: &str) -> impl Iterator<Item = &str> {
    let path = path.strip_prefix('/').unwrap_or(path);
    path.split('/').filter(move |_| !path.is_empty())
}

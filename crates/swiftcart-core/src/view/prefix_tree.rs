//! The tree of path prefixes, and the weighted choice at each.

use rand::Rng;

use super::ServiceEntry;
use crate::{Access, AllowedRegions, Policy, Reason, RouteKey};

/// One node of the prefix tree; its depth is the number of path segments.
///
/// Most nodes have one child or none. A map of one child takes the room of eleven, 1.5 kB of
/// 1.9 kB for each of 2,500 routes; a list of the right length leaves 0.3 kB of them, and a node
/// holds two versions while it goes from one to the next.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub(super) struct PrefixNode {
    /// In the order of their names.
    children: Vec<Child>,
    /// Of the prefix itself and all below it.
    choice: Option<Box<WeightedTargets>>,
    /// Of what is below the prefix only.
    below: Option<Box<WeightedTargets>>,
}

/// A node with the path segment that leads to it.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Child {
    name: Box<str>,
    segment: PrefixNode,
}

/// Tells what a prefix with a slash at its end takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum TrailingSlash {
    /// The path without that slash too.
    Optional,
    /// Only paths that have it.
    Required,
}

/// The weighted services of one prefix.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub(super) struct WeightedTargets {
    targets: Vec<Target>,
    /// How the requests of the prefix are treated, where the configuration says so.
    policy: Option<Policy>,
    /// Names the prefix.
    route: RouteKey,
    access: Access,
    /// Where the requests may be run.
    regions: AllowedRegions,
}

/// One service of a choice, by its place among the services, and its weight above 0.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Target {
    service: u32,
    weight: u32,
}

impl PrefixNode {
    /// Returns the choice of `prefix`, which is empty when it was not there yet.
    pub(super) fn insert(&mut self, prefix: &str, slash: TrailingSlash) -> &mut WeightedTargets {
        let mut at = self;
        let path = prefix.trim_end_matches('/');
        for name in segments(path) {
            at = at.child(name);
        }
        let place = match slash {
            TrailingSlash::Required if !path.is_empty() && prefix.ends_with('/') => &mut at.below,
            TrailingSlash::Required | TrailingSlash::Optional => &mut at.choice,
        };
        place.get_or_insert_default()
    }

    /// Returns the choice of the longest prefix that takes `path`.
    pub(super) fn find(&self, path: &str) -> Option<&WeightedTargets> {
        let path = path.split_once('?').map_or(path, |(path, _)| path);
        let mut best = self.choice.as_deref();
        let mut at = self;
        for name in segments(path) {
            best = at.below.as_deref().or(best);
            match at.place(name) {
                Ok(place) => at = &at.children[place].segment,
                Err(_) => break,
            }
            best = at.choice.as_deref().or(best);
        }
        best
    }

    /// Returns the child of this name, which is new when it was not there yet.
    fn child(&mut self, name: &str) -> &mut Self {
        let place = match self.place(name) {
            Ok(place) => place,
            Err(place) => {
                grow(&mut self.children);
                let child = Child {
                    name: name.into(),
                    segment: Self::default(),
                };
                self.children.insert(place, child);
                place
            }
        };
        &mut self.children[place].segment
    }

    /// Returns where the child of this name is, or where it belongs.
    fn place(&self, name: &str) -> Result<usize, usize> {
        self.children
            .binary_search_by(|child| child.name.as_ref().cmp(name))
    }
}

/// Makes room for one more without the spare room of a list that is expected to grow.
fn grow<T>(list: &mut Vec<T>) {
    if list.len() == list.capacity() {
        list.reserve_exact(list.len().max(1));
    }
}

impl WeightedTargets {
    /// Sets the name of the prefix.
    pub(super) const fn set_route(&mut self, route: RouteKey) {
        self.route = route;
    }

    /// Returns the name of the prefix.
    pub(super) const fn route(&self) -> RouteKey {
        self.route
    }

    /// Sets how the requests are treated.
    pub(super) const fn set_policy(&mut self, policy: Option<Policy>) {
        self.policy = policy;
    }

    /// Returns how the requests are treated, where the configuration says so.
    pub(super) const fn policy(&self) -> Option<Policy> {
        self.policy
    }

    /// Sets who may use the prefix.
    pub(super) const fn set_access(&mut self, access: Access) {
        self.access = access;
    }

    /// Sets where the requests may be run.
    pub(super) fn set_regions(&mut self, regions: Option<AllowedRegions>) {
        self.regions = regions.unwrap_or_default();
    }

    /// Returns where the requests may be run.
    pub(super) const fn regions(&self) -> &AllowedRegions {
        &self.regions
    }

    /// Returns who may use the prefix.
    pub(super) const fn access(&self) -> Access {
        self.access
    }

    /// Adds a service with its weight.
    pub(super) fn add(&mut self, service: usize, weight: u32) {
        let Ok(service) = u32::try_from(service) else {
            return;
        };
        if weight > 0 {
            grow(&mut self.targets);
            self.targets.push(Target { service, weight });
        }
    }

    /// Chooses one of `services` by weight.
    ///
    /// A prefix with a policy splits by weight alone: what a service without a backend
    /// server cannot take is refused, and does not go to the others. Without one, services
    /// that are short of backend servers are left out.
    pub(super) fn pick<R: Rng + ?Sized>(
        &self,
        services: &[ServiceEntry],
        rng: &mut R,
    ) -> Result<usize, Reason> {
        let fits = |target: &&Target| match services.get(target.place()) {
            Some(entry) => self.policy.is_some() || entry.unavailable_reason().is_none(),
            None => false,
        };
        let total: u64 = self.targets.iter().filter(fits).map(Target::share).sum();
        if total == 0 {
            return Err(self.unavailable_reason(services));
        }
        let mut point = match self.targets.as_slice() {
            [_] => 0,
            _ => rng.random_range(0..total),
        };
        for target in self.targets.iter().filter(fits) {
            match point.checked_sub(target.share()) {
                Some(rest) => point = rest,
                None => return Ok(target.place()),
            }
        }
        Err(Reason::NoRoute)
    }

    /// Returns why no service can be chosen; backend servers that are not ready say most.
    fn unavailable_reason(&self, services: &[ServiceEntry]) -> Reason {
        let entries = self.targets.iter().filter_map(|t| services.get(t.place()));
        let mut shortages = entries.filter_map(ServiceEntry::unavailable_reason);
        let first = shortages.next();
        match shortages.find(|reason| *reason == Reason::NotReady) {
            Some(reason) => reason,
            None => first.unwrap_or(Reason::NoRoute),
        }
    }
}

impl Target {
    fn share(&self) -> u64 {
        self.weight.into()
    }

    const fn place(&self) -> usize {
        self.service as usize
    }
}

/// Splits an absolute path into its segments; `/` and the empty path have none.
fn segments(path: &str) -> impl Iterator<Item = &str> {
    let path = path.strip_prefix('/').unwrap_or(path);
    path.split('/').filter(move |_| !path.is_empty())
}

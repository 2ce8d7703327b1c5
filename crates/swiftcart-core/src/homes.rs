//! Data residency: the regions in which requests of a route or of a client account may run.

use std::collections::BTreeSet;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::Region;

/// Regions in which requests may run and be stored. An empty set allows all regions.
///
/// # Examples
///
/// ```
/// use swiftcart_core::{Homes, Region};
///
/// let homes = Homes::new().with_region(Region::new("alfold"));
/// assert!(homes.regions().contains(&Region::new("alfold")));
/// ```
#[derive(Debug, Default, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Homes(BTreeSet<Region>);

/// Hash of a region's name, which is cheaper to copy than the name.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RegionTag(u64);

/// Regions to which a request may be sent.
///
/// # Examples
///
/// ```
/// use swiftcart_core::{AllowedRegions, Homes, Region, RegionTag};
///
/// let [east, west] = ["east", "west"].map(Region::new);
/// let of_route = Homes::new().with_region(east.clone()).with_region(west.clone());
/// let of_account = Homes::new().with_region(east.clone());
/// let both = AllowedRegions::from(&of_route).and(&AllowedRegions::from(&of_account));
/// assert!(both.allows(RegionTag::new(&east)));
/// assert!(!both.allows(RegionTag::new(&west)));
/// assert!(AllowedRegions::default().allows(RegionTag::new(&west)));
/// ```
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct AllowedRegions(Option<Arc<[RegionTag]>>);

impl Homes {
    /// Creates an empty set, which allows all regions.
    #[must_use]
    pub const fn new() -> Self {
        Self(BTreeSet::new())
    }

    /// Adds a region.
    #[must_use]
    pub fn with_region(mut self, region: Region) -> Self {
        self.0.insert(region);
        self
    }

    /// Returns the set of regions.
    #[must_use]
    pub const fn regions(&self) -> &BTreeSet<Region> {
        &self.0
    }

    /// Returns `true` if all regions are allowed.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl FromIterator<Region> for Homes {
    fn from_iter<T: IntoIterator<Item = Region>>(regions: T) -> Self {
        Self(regions.into_iter().collect())
    }
}

impl RegionTag {
    /// Returns the tag of a region, which is the same in all processes of one release.
    #[must_use]
    pub fn new(region: &Region) -> Self {
        let mut hasher = DefaultHasher::new();
        region.hash(&mut hasher);
        Self(hasher.finish())
    }
}

impl AllowedRegions {
    /// Returns `true` if a request may be sent to the region.
    #[must_use]
    pub fn allows(&self, region: RegionTag) -> bool {
        self.0.as_ref().is_none_or(|tags| tags.contains(&region))
    }

    /// Returns `true` if a request may be sent to all regions.
    #[must_use]
    pub const fn is_unrestricted(&self) -> bool {
        self.0.is_none()
    }

    /// Returns the intersection of both sets of allowed regions.
    #[must_use]
    pub fn and(&self, other: &Self) -> Self {
        match (&self.0, &other.0) {
            (None, _) => other.clone(),
            (_, None) => self.clone(),
            (Some(tags), Some(_)) => {
                let both = tags.iter().copied().filter(|tag| other.allows(*tag));
                Self(Some(both.collect()))
            }
        }
    }
}

impl From<&Homes> for AllowedRegions {
    fn from(homes: &Homes) -> Self {
        let tags = || homes.regions().iter().map(RegionTag::new).collect();
        Self((!homes.is_empty()).then(tags))
    }
}

//! Location of a node among failure domains and regions.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{FailureDomain, RegionTag};

/// Name of a region, which groups failure domains, for example `dunantul`.
#[derive(Debug, Default, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Region(pub String);

impl Region {
    /// Creates a region with this name.
    #[must_use]
    pub fn new(name: impl Into<String>) -> Self {
        Self(name.into())
    }
}

/// Region of each failure domain. A failure domain without an entry counts as part of the node's
/// region.
pub type Regions = BTreeMap<FailureDomain, Region>;

/// Distance between a node and a failure domain.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Distance {
    /// The node's own failure domain.
    #[default]
    SameDomain,
    /// Another failure domain of the node's region.
    SameRegion,
    /// A failure domain of another region.
    OtherRegion,
}

/// Location of a node among failure domains and regions.
///
/// # Examples
///
/// ```
/// use swiftcart_core::{Distance, FailureDomain, Locality, Region, Regions};
///
/// let [gyor, pecs, szeged] = ["gyor", "pecs", "szeged"].map(FailureDomain::new);
/// let regions: Regions = [(&gyor, "west"), (&pecs, "west"), (&szeged, "east")]
///     .map(|(domain, region)| (domain.clone(), Region::new(region)))
///     .into();
/// let here = Locality::new(&gyor).with_regions(&regions);
/// assert_eq!(here.distance(&gyor), Distance::SameDomain);
/// assert_eq!(here.distance(&pecs), Distance::SameRegion);
/// assert_eq!(here.distance(&szeged), Distance::OtherRegion);
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Locality<'a> {
    domain: &'a FailureDomain,
    regions: Option<&'a Regions>,
}

impl<'a> Locality<'a> {
    /// Creates the location of a node in `domain`, with a single region.
    #[must_use]
    pub const fn new(domain: &'a FailureDomain) -> Self {
        Self {
            domain,
            regions: None,
        }
    }

    /// Sets the region of each failure domain.
    #[must_use]
    pub const fn with_regions(mut self, regions: &'a Regions) -> Self {
        self.regions = Some(regions);
        self
    }

    /// Returns the distance from the node to a failure domain.
    #[must_use]
    pub fn distance(&self, domain: &FailureDomain) -> Distance {
        match (
            self.configured_region(self.domain),
            self.configured_region(domain),
        ) {
            _ if domain == self.domain => Distance::SameDomain,
            (Some(here), Some(there)) if here != there => Distance::OtherRegion,
            _ => Distance::SameRegion,
        }
    }
}

impl<'a> Locality<'a> {
    /// Returns the tag of a failure domain's region.
    ///
    /// A failure domain without a region counts as in the node's region. If the node has no
    /// region either, the default tag is returned, and requests that are restricted to home
    /// regions must not be sent there.
    #[must_use]
    pub fn region(&self, domain: &FailureDomain) -> RegionTag {
        let region = self
            .configured_region(domain)
            .or_else(|| self.configured_region(self.domain));
        region.map_or_else(RegionTag::default, RegionTag::new)
    }

    fn configured_region(&self, domain: &FailureDomain) -> Option<&'a Region> {
        self.regions.and_then(|regions| regions.get(domain))
    }
}

impl<'a> From<&'a FailureDomain> for Locality<'a> {
    fn from(domain: &'a FailureDomain) -> Self {
        Self::new(domain)
    }
}

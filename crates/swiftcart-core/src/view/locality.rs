//! Where a node is, and which other failure domains are in its region.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{FailureDomain, RegionTag};

/// Names a region, which holds failure domains, for example `dunantul`.
#[derive(Debug, Default, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Region(pub String);

impl Region {
    /// Creates a region's name.
    #[must_use]
    pub fn new(name: impl Into<String>) -> Self {
        Self(name.into())
    }
}

/// Names the region of each failure domain; those that it lacks are in the region of the node.
pub type Regions = BTreeMap<FailureDomain, Region>;

/// Tells how far something is from a node.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Distance {
    /// In its failure domain.
    #[default]
    SameDomain,
    /// In another failure domain of its region.
    SameRegion,
    /// In another region.
    OtherRegion,
}

/// The place of a node among failure domains and regions.
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
    /// Creates the place of a node in `domain`, where there is one region only.
    #[must_use]
    pub const fn new(domain: &'a FailureDomain) -> Self {
        Self {
            domain,
            regions: None,
        }
    }

    /// Sets which failure domains are in which region.
    #[must_use]
    pub const fn with_regions(mut self, regions: &'a Regions) -> Self {
        self.regions = Some(regions);
        self
    }

    /// Returns how far a failure domain is.
    #[must_use]
    pub fn distance(&self, domain: &FailureDomain) -> Distance {
        match (self.named(self.domain), self.named(domain)) {
            _ if domain == self.domain => Distance::SameDomain,
            (Some(here), Some(there)) if here != there => Distance::OtherRegion,
            _ => Distance::SameRegion,
        }
    }
}

impl<'a> Locality<'a> {
    /// Returns the tag of a failure domain's region; one that is not named is the node's own, and where that
    /// is not named either, no request with homes may be sent there.
    #[must_use]
    pub fn region(&self, domain: &FailureDomain) -> RegionTag {
        let region = self.named(domain).or_else(|| self.named(self.domain));
        region.map_or_else(RegionTag::default, RegionTag::new)
    }

    fn named(&self, domain: &FailureDomain) -> Option<&'a Region> {
        self.regions.and_then(|regions| regions.get(domain))
    }
}

impl<'a> From<&'a FailureDomain> for Locality<'a> {
    fn from(domain: &'a FailureDomain) -> Self {
        Self::new(domain)
    }
}

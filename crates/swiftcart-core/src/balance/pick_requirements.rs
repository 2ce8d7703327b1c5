//! Requirements of a request on its backend server.

use super::Payload;
use crate::{AllowedRegions, SpillDraw};

/// Requirements of a request on its backend server, apart from the service.
///
/// # Examples
///
/// ```
/// use swiftcart_core::{Payload, PickRequirements};
///
/// let requirements = PickRequirements::from(Payload::Heavy);
/// assert!(requirements.regions.is_unrestricted());
/// ```
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct PickRequirements {
    /// Size class of the request and its response.
    pub payload: Payload,
    /// Regions to which the request may be sent.
    pub regions: AllowedRegions,
    /// Draw that decides with the service's spill plan whether the request leaves its failure
    /// domain, or `None` to compare a few candidates instead.
    pub spill: Option<SpillDraw>,
    /// `true` if the request should leave its failure domain as reluctantly as one with a long body.
    pub stays_near: bool,
}

impl PickRequirements {
    /// Sets the regions to which the request may be sent.
    #[must_use]
    pub fn with_regions(mut self, regions: AllowedRegions) -> Self {
        self.regions = regions;
        self
    }

    /// Sets the draw that decides with the spill plan whether the request leaves its failure domain.
    #[must_use]
    pub const fn with_spill(mut self, draw: Option<SpillDraw>) -> Self {
        self.spill = draw;
        self
    }

    /// Sets whether the request should leave its failure domain as reluctantly as one with a long
    /// body, for example because the other domains rarely accept requests.
    #[must_use]
    pub const fn with_stays_near(mut self, stays_near: bool) -> Self {
        self.stays_near = stays_near;
        self
    }

    /// Returns the size class whose cost of leaving the failure domain applies.
    pub(super) const fn crossing(&self) -> Payload {
        match self.stays_near {
            true => Payload::Heavy,
            false => self.payload,
        }
    }
}

impl From<Payload> for PickRequirements {
    fn from(payload: Payload) -> Self {
        Self {
            payload,
            ..Self::default()
        }
    }
}

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
}

impl From<Payload> for PickRequirements {
    fn from(payload: Payload) -> Self {
        Self {
            payload,
            ..Self::default()
        }
    }
}

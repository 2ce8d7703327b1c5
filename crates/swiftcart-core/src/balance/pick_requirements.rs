//! Requirements of a request on its backend server.

use super::Payload;
use crate::AllowedRegions;

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
}

impl PickRequirements {
    /// Sets the regions to which the request may be sent.
    #[must_use]
    pub fn with_regions(mut self, regions: AllowedRegions) -> Self {
        self.regions = regions;
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

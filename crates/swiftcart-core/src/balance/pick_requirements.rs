//! What a request asks of the backend server that is chosen for it.

use super::Payload;
use crate::AllowedRegions;

/// Says what a request asks of a backend server besides its service.
///
/// # Examples
///
/// ```
/// use swiftcart_core::{Payload, PickRequirements};
///
/// let need = PickRequirements::from(Payload::Heavy);
/// assert!(need.regions.is_everywhere());
/// ```
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct PickRequirements {
    /// How much the request and its answer weigh on the way.
    pub payload: Payload,
    /// The regions to which it may be sent.
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

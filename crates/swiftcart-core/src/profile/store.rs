//! The profiles of all routes that a node takes requests on.

use std::collections::HashMap;

use super::RouteProfile;
use crate::RouteKey;

/// The routes that are remembered at most; a profile takes about 250 bytes. Traffic concentrates
/// on a few routes, and one that is forgotten is known again after some requests.
const MOST_ROUTES: usize = 512;

/// Holds what a node has learned of each route.
///
/// The profiles outlive the versions of the configuration: a version that changes a route's
/// service or its policy leaves its callers the same.
///
/// # Examples
///
/// ```
/// use swiftcart_core::{Payload, RouteKey, RouteProfiles};
///
/// let mut profiles = RouteProfiles::default();
/// let plots = RouteKey::new("//hire.example/plots/");
/// profiles.of(plots).record_response(90_000);
/// assert_eq!(profiles.of(plots).payload(), Payload::Heavy);
/// assert_eq!(profiles.of(RouteKey::new("/stock")).payload(), Payload::Light);
/// ```
#[derive(Debug, Default, Clone, PartialEq)]
pub struct RouteProfiles {
    routes: HashMap<RouteKey, RouteProfile>,
}

impl RouteProfiles {
    /// Returns the profile of a route, an empty one when nothing is known of it.
    pub fn of(&mut self, route: RouteKey) -> &mut RouteProfile {
        if self.routes.len() >= MOST_ROUTES && !self.routes.contains_key(&route) {
            self.routes.clear();
        }
        self.routes.entry(route).or_default()
    }
}

//! Profiles of all routes on which a node accepts requests.

use std::collections::HashMap;

use super::RouteProfile;
use crate::RouteKey;

/// Maximum number of stored route profiles of about 250 bytes each. One more route removes all
/// stored profiles. Traffic concentrates on a few routes, and a removed profile is rebuilt after a
/// few requests.
const MAX_ROUTES: usize = 512;

/// Profiles of the routes of a node.
///
/// Profiles are kept across configuration versions, because a version that changes the service or
/// the policy of a route does not change its callers.
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
    /// Returns the profile of a route, which is created if it does not exist.
    pub fn of(&mut self, route: RouteKey) -> &mut RouteProfile {
        if self.routes.len() >= MAX_ROUTES && !self.routes.contains_key(&route) {
            self.routes.clear();
        }
        self.routes.entry(route).or_default()
    }
}

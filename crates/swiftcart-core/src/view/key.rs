//! Route key that is stable across configuration versions.

use std::hash::{DefaultHasher, Hash, Hasher};

/// Hash of a route's prefix, equal in all processes of one release of Swiftcart.
///
/// Statistics of a route are stored under this key. They are kept across all configuration
/// versions that contain the route.
///
/// # Examples
///
/// ```
/// use swiftcart_core::RouteKey;
///
/// assert_eq!(RouteKey::new("/stock"), RouteKey::new("/stock"));
/// assert_ne!(RouteKey::new("/stock"), RouteKey::new("/plots"));
/// ```
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RouteKey(u64);

impl RouteKey {
    /// Creates the key of the route with this prefix.
    #[must_use]
    pub fn new(prefix: &str) -> Self {
        let mut hasher = DefaultHasher::new();
        prefix.hash(&mut hasher);
        Self(hasher.finish())
    }

    /// Returns the hash as a number.
    pub(crate) const fn number(self) -> u64 {
        self.0
    }
}

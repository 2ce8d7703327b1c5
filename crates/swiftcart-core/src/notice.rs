//! Notices that backend servers give in the heads of their answers: a rate limit or a coming
//! shutdown.

mod cache;
mod rate;
mod tracker;

pub use cache::*;
pub use rate::*;
pub use tracker::*;

/// Notice that one answer gives about its backend server.
///
/// # Examples
///
/// ```
/// use swiftcart_core::{Notice, ServerRate};
///
/// let notice = Notice::default().with_rate(ServerRate::new(49.2));
/// assert_eq!(notice.rate.map(ServerRate::per_second), Some(49.2));
/// assert!(!notice.leaving);
/// ```
#[derive(Debug, Default, Clone, Copy, PartialEq)]
pub struct Notice {
    /// Rate limit for all callers together. Without one, only the number of slots limits the
    /// requests.
    pub rate: Option<ServerRate>,
    /// `true` if the backend server is shutting down and accepts no new requests.
    pub leaving: bool,
}

impl Notice {
    /// Sets the rate limit.
    #[must_use]
    pub const fn with_rate(mut self, rate: Option<ServerRate>) -> Self {
        self.rate = rate;
        self
    }

    /// Sets whether the backend server is shutting down.
    #[must_use]
    pub const fn with_leaving(mut self, leaving: bool) -> Self {
        self.leaving = leaving;
        self
    }
}

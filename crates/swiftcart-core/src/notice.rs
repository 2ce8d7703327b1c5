//! What backend servers say of themselves in the heads of their answers: the rate that they take, and
//! that they leave.

mod cache;
mod rate;
mod tracker;

pub use cache::*;
pub use rate::*;
pub use tracker::*;

/// Holds what one answer says of the backend server that gave it.
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
    /// The requests a second that it takes from all callers together; without one, as many as it has slots for.
    pub rate: Option<ServerRate>,
    /// Whether it leaves, and takes no new work.
    pub leaving: bool,
}

impl Notice {
    /// Sets the rate.
    #[must_use]
    pub const fn with_rate(mut self, rate: Option<ServerRate>) -> Self {
        self.rate = rate;
        self
    }

    /// Sets whether the backend server leaves.
    #[must_use]
    pub const fn with_leaving(mut self, leaving: bool) -> Self {
        self.leaving = leaving;
        self
    }
}

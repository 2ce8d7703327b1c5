//! What a node learns of one route from the requests that it takes there.

mod request_age;
mod store;

use std::time::Duration;

use crate::Payload;
pub use request_age::RequestAgeEstimator;
pub use store::RouteProfiles;

/// The length from which on an answer counts as long, in bytes.
///
/// A kilobyte on the way to another failure domain costs about a hundredth of what a short answer is
/// worth; at 32 kB it is a third, about what a late answer keeps. On a link of 15 Mbit/s others
/// wait 17 ms behind it.
pub const HEAVY_RESPONSE_BYTES: u64 = 32 << 10;

/// The weight of one answer in the mean length of a route's answers.
const LENGTH_WEIGHT: f64 = 1.0 / 16.0;

/// Holds what one node has learned of a route.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use swiftcart_core::{Payload, RouteProfile};
///
/// let mut plots = RouteProfile::default();
/// assert_eq!(plots.payload(), Payload::Light);
/// plots.record_response(90_000);
/// assert_eq!(plots.payload(), Payload::Heavy);
/// for _ in 0..20 {
///     plots.age(Duration::from_millis(1_500));
/// }
/// assert_eq!(plots.age(Duration::from_millis(1_100)), Duration::from_millis(400));
/// ```
#[derive(Debug, Default, Clone, PartialEq)]
pub struct RouteProfile {
    given: RequestAgeEstimator,
    /// The mean length of the answers, in bytes.
    length: Option<f64>,
}

impl RouteProfile {
    /// Takes in the time that a caller gives a request, and returns for how long it has been
    /// trying.
    pub fn age(&mut self, given: Duration) -> Duration {
        self.given.age(given)
    }

    /// Takes in the length of an answer, in bytes.
    pub fn record_response(&mut self, bytes: u64) {
        let bytes = bytes as f64;
        let mean = self.length.get_or_insert(bytes);
        *mean += LENGTH_WEIGHT * (bytes - *mean);
    }

    /// Returns how much the answers weigh on the way; short as long as none was seen.
    #[must_use]
    pub fn payload(&self) -> Payload {
        match self.length {
            Some(mean) if mean >= HEAVY_RESPONSE_BYTES as f64 => Payload::Heavy,
            _ => Payload::Light,
        }
    }
}

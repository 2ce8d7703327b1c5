//! Statistics that a node keeps about the requests of one route.

mod request_age;
mod store;

use std::time::Duration;

use crate::Payload;
pub use request_age::RequestAgeEstimator;
pub use store::RouteProfiles;

/// Minimum length in bytes of a response that counts as long.
///
/// A kilobyte sent to another failure domain costs about a hundredth of the value of a short
/// response. At 32 kB the cost is a third, about the value that a late response retains. On a link
/// of 15 Mbit/s such a response delays others by 17 ms.
pub const HEAVY_RESPONSE_BYTES: u64 = 32 << 10;

/// Weight of one response in the moving average of a route's response length.
const LENGTH_WEIGHT: f64 = 1.0 / 16.0;

/// Statistics that a node keeps about one route.
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
    age_estimator: RequestAgeEstimator,
    /// Moving average of the response length in bytes.
    length: Option<f64>,
}

impl RouteProfile {
    /// Records the time limit of a request and returns the estimated time since the caller's first
    /// attempt.
    pub fn age(&mut self, time_limit: Duration) -> Duration {
        self.age_estimator.age(time_limit)
    }

    /// Records the length of a response in bytes.
    pub fn record_response(&mut self, bytes: u64) {
        let bytes = bytes as f64;
        let mean = self.length.get_or_insert(bytes);
        *mean += LENGTH_WEIGHT * (bytes - *mean);
    }

    /// Returns the size class of the responses, which is light until a response was recorded.
    #[must_use]
    pub fn payload(&self) -> Payload {
        match self.length {
            Some(mean) if mean >= HEAVY_RESPONSE_BYTES as f64 => Payload::Heavy,
            _ => Payload::Light,
        }
    }
}

//! Limit of the long responses that a guard has in flight.

use std::time::Duration;

use crate::LinkRate;

/// Number of long responses allowed in flight beyond those that the link carries while the backend
/// server produces one.
///
/// Each extra response makes slightly better use of the link, but delays the other long responses
/// by its send time (48 ms for 90 kB over 15 Mbit/s) and short responses by a part of the send
/// time. With five extra responses, 705 of 6,985 short calls are late instead of 229, and no more
/// long responses are served. With one extra response, 159 short calls are late.
const EXTRA_RESPONSES: f64 = 1.0;

/// Weight of one response in the moving averages.
const MEAN_WEIGHT: f64 = 1.0 / 16.0;

/// Limiter that bounds the long responses in flight by the capacity of the instance's link.
///
/// Long responses can saturate a slow link long before all slots are in use: twenty responses of
/// 90 kB per second fill 15 Mbit/s. All other egress traffic of the instance then waits behind the
/// long responses, including new connections.
///
/// The limit is the number of responses that the link carries while the backend server produces
/// one, which is enough to keep the link busy. On a fast link the limit exceeds the slots and has
/// no effect. If the link's rate is unknown, there is no limit.
///
/// # Examples
///
/// A response takes 200 ms to produce and 50 ms to send, so the link carries four responses while
/// one is produced. One extra response is allowed.
///
/// ```
/// use std::time::Duration;
/// use swiftcart_core::{EgressLimiter, LinkRate};
///
/// let mut limiter = EgressLimiter::new(Some(LinkRate { kbit_s: 8_000 }));
/// assert!(limiter.has_room(Duration::ZERO), "no response has been recorded yet");
/// limiter.begin();
/// limiter.head(Duration::from_millis(200), 50_000);
/// for _ in 0..4 {
///     assert!(limiter.has_room(Duration::ZERO));
///     limiter.begin();
/// }
/// assert!(!limiter.has_room(Duration::ZERO));
/// limiter.end();
/// assert!(limiter.has_room(Duration::ZERO));
/// assert!(!limiter.has_room(Duration::from_millis(60)), "the link still sends earlier responses");
/// ```
#[derive(Debug, Default, Clone, Copy, PartialEq)]
pub struct EgressLimiter {
    link: Option<LinkRate>,
    /// Number of long responses that are being produced or forwarded.
    in_flight: u32,
    /// Moving average of the time until the head of a long response arrives, in seconds.
    head_secs: Option<f64>,
    /// Moving average of the length of a long response, in bytes.
    length_bytes: Option<f64>,
}

impl EgressLimiter {
    /// Creates a limiter for a link. Without a known rate the limiter has no effect.
    #[must_use]
    pub const fn new(link: Option<LinkRate>) -> Self {
        Self {
            link,
            in_flight: 0,
            head_secs: None,
            length_bytes: None,
        }
    }

    /// Records that a request with a long response is forwarded to the backend server.
    pub const fn begin(&mut self) {
        self.in_flight = self.in_flight.saturating_add(1);
    }

    /// Records that the head of a long response has arrived. `after` is the time since the request
    /// was forwarded.
    ///
    /// `bytes` is the length of the response body, or 0 if the head does not state it.
    pub fn head(&mut self, after: Duration, bytes: u64) {
        update_mean(&mut self.head_secs, after.as_secs_f64());
        if bytes > 0 {
            update_mean(&mut self.length_bytes, bytes as f64);
        }
    }

    /// Records that a request with a long response has ended.
    pub const fn end(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Returns `true` if one more long response may start while the link delays data by `delay`.
    #[must_use]
    pub fn has_room(&self, delay: Duration) -> bool {
        let (Some(send_time), Some(head_secs)) = (self.send_time(), self.head_secs) else {
            return true;
        };
        let send_time = send_time.as_secs_f64();
        let queued = f64::from(self.in_flight) * send_time + delay.as_secs_f64();
        queued + send_time <= head_secs + EXTRA_RESPONSES * send_time
    }

    /// Returns the mean send time of a long response.
    ///
    /// Returns `None` if the link's rate is unknown or no long response has been recorded.
    #[must_use]
    pub fn send_time(&self) -> Option<Duration> {
        let (link, length_bytes) = (self.link?, self.length_bytes?);
        Some(link.time(length_bytes))
    }
}

fn update_mean(mean: &mut Option<f64>, value: f64) {
    let mean = mean.get_or_insert(value);
    *mean += MEAN_WEIGHT * (value - *mean);
}

//! Long answers on their way out of one guard.

use std::time::Duration;

use crate::LinkRate;

/// Long answers that may be under way beyond those that the link carries while one is made.
///
/// Each one more keeps the link a little busier and makes the others wait for its length, 48 ms for
/// 90 kB over 15 Mbit/s, and what is shorter for a part of that. With five more documents were not
/// served more often, and 705 in place of 229 of 6,985 charges were late; with one 159 were.
const SPARE: f64 = 1.0;

/// The weight of one answer in the means.
const WEIGHT: f64 = 1.0 / 16.0;

/// Bounds the long answers that a guard has under way by what its instance's link carries.
///
/// It answers a load that fills a short link long before the slots: twenty answers of 90 kB a
/// second fill 15 Mbit/s, and whatever else leaves the instance waits behind them, new connections
/// included. As many as the link carries while one answer is made keep it busy. Over a fast
/// link these are more than there are slots, and nothing is bound; nor is it where the link's rate
/// is not known.
///
/// # Examples
///
/// Answers that take 200 ms to make and 50 ms on the link: four are made while one is sent.
///
/// ```
/// use std::time::Duration;
/// use swiftcart_core::{LinkRate, EgressLimiter};
///
/// let mut out = EgressLimiter::new(Some(LinkRate { kbit_s: 8_000 }));
/// assert!(out.has_room(Duration::ZERO), "nothing is known yet");
/// out.begin();
/// out.head(Duration::from_millis(200), 50_000);
/// for _ in 0..4 {
///     assert!(out.has_room(Duration::ZERO));
///     out.begin();
/// }
/// assert!(!out.has_room(Duration::ZERO));
/// out.end();
/// assert!(out.has_room(Duration::ZERO));
/// assert!(!out.has_room(Duration::from_millis(60)), "what was sent is still on the link");
/// ```
#[derive(Debug, Default, Clone, Copy, PartialEq)]
pub struct EgressLimiter {
    link: Option<LinkRate>,
    /// Long answers that are being made or passed on.
    under_way: u32,
    /// The mean time until the head of a long answer is there, in seconds.
    made: Option<f64>,
    /// The mean length, in bytes.
    length: Option<f64>,
}

impl EgressLimiter {
    /// Creates the bound for a link, which does not bind when its rate is not known.
    #[must_use]
    pub const fn new(link: Option<LinkRate>) -> Self {
        Self {
            link,
            under_way: 0,
            made: None,
            length: None,
        }
    }

    /// Notes that a request with a long answer is handed over.
    pub const fn begin(&mut self) {
        self.under_way = self.under_way.saturating_add(1);
    }

    /// Notes that the head of a long answer is there `after` the hand-over, and how many bytes
    /// follow; none when the head does not tell.
    pub fn head(&mut self, after: Duration, bytes: u64) {
        learn(&mut self.made, after.as_secs_f64());
        if bytes > 0 {
            learn(&mut self.length, bytes as f64);
        }
    }

    /// Notes that a request with a long answer has ended.
    pub const fn end(&mut self) {
        self.under_way = self.under_way.saturating_sub(1);
    }

    /// Tells whether one more may be begun while the link has a queue of `delay`.
    #[must_use]
    pub fn has_room(&self, delay: Duration) -> bool {
        let (Some(each), Some(made)) = (self.each(), self.made) else {
            return true;
        };
        let each = each.as_secs_f64();
        let queued = f64::from(self.under_way) * each + delay.as_secs_f64();
        queued + each <= made + SPARE * each
    }

    /// Returns the time that the link takes for one, once a long answer was seen.
    #[must_use]
    pub fn each(&self) -> Option<Duration> {
        let (link, length) = (self.link?, self.length?);
        Some(link.time(length))
    }
}

fn learn(mean: &mut Option<f64>, value: f64) {
    let mean = mean.get_or_insert(value);
    *mean += WEIGHT * (value - *mean);
}

//! Current notice of a backend server, as its guard derives it from answers.

use super::Notice;
use crate::Instant;

/// Tracker of the current notice of one backend server process.
///
/// Answers may arrive out of order. A lower rate limit takes effect at once. A higher or removed
/// rate limit takes effect only if the request of the answer was handed over after the current rate
/// limit was last confirmed. A shutdown notice is never revoked.
///
/// # Examples
///
/// ```
/// use swiftcart_core::{Instant, Notice, NoticeTracker, ServerRate};
///
/// let at = Instant::from_millis;
/// let limited = Notice::default().with_rate(ServerRate::new(20.0));
/// let mut tracker = NoticeTracker::default();
/// assert!(tracker.observe(at(50), at(0), limited));
/// assert!(!tracker.observe(at(51), at(10), Notice::default()), "sent before the rate limit");
/// assert!(tracker.observe(at(90), at(60), Notice::default()));
/// assert_eq!(tracker.now(), Notice::default());
/// ```
#[derive(Debug, Default, Clone, Copy, PartialEq)]
pub struct NoticeTracker {
    current: Notice,
    /// Time at which the rate limit was last confirmed, or `None` before the first answer.
    confirmed: Option<Instant>,
}

impl NoticeTracker {
    /// Applies the notice of an answer to a request that was handed over at `sent`. Returns `true`
    /// if the current notice changed.
    pub fn observe(&mut self, now: Instant, sent: Instant, notice: Notice) -> bool {
        let old = self.current;
        self.current.leaving |= notice.leaving;
        let is_newer = self.confirmed.is_none_or(|confirmed| sent > confirmed);
        if notice.rate == old.rate || is_newer || has_lower_rate(old, notice) {
            self.current.rate = notice.rate;
            self.confirmed = Some(now);
        }
        self.current != old
    }

    /// Applies a notice of the process that another node relays. Returns `true` if the current
    /// notice changed.
    ///
    /// The lowest relayed rate limit applies until the process itself has answered.
    pub fn relay(&mut self, notice: Notice) -> bool {
        let old = self.current;
        self.current.leaving |= notice.leaving;
        if self.confirmed.is_none() {
            self.current.rate = match (old.rate, notice.rate) {
                (Some(old), Some(new)) => Some(old.lower(new)),
                (old, new) => old.or(new),
            };
        }
        self.current != old
    }

    /// Returns the current notice, or `None` if the process has answered no request and no node has
    /// relayed a notice.
    ///
    /// A guard that has just found its backend server again knows less than the nodes that were
    /// served before.
    #[must_use]
    pub fn known(&self) -> Option<Notice> {
        let is_known = self.confirmed.is_some() || self.current != Notice::default();
        is_known.then_some(self.current)
    }

    /// Returns the current notice.
    #[must_use]
    pub const fn now(&self) -> Notice {
        self.current
    }
}

fn has_lower_rate(old: Notice, notice: Notice) -> bool {
    match (old.rate, notice.rate) {
        (None, Some(_)) => true,
        (Some(old), Some(new)) => new < old,
        (_, None) => false,
    }
}

//! What the guard beside a backend server believes of it from its answers.

use super::Notice;
use crate::Instant;

/// Follows what one process of a backend server says of itself.
///
/// Answers overtake each other. A rate that rises or ends counts only in an answer to a request that
/// was handed over after the rate was last confirmed; a lower one counts at once. A process
/// that leaves does not come back.
///
/// # Examples
///
/// ```
/// use swiftcart_core::{Instant, Notice, NoticeTracker, ServerRate};
///
/// let at = Instant::from_millis;
/// let named = Notice::default().with_rate(ServerRate::new(20.0));
/// let mut belief = NoticeTracker::default();
/// assert!(belief.observe(at(50), at(0), named));
/// assert!(!belief.observe(at(51), at(10), Notice::default()), "it was sent before the rate was named");
/// assert!(belief.observe(at(90), at(60), Notice::default()));
/// assert_eq!(belief.now(), Notice::default());
/// ```
#[derive(Debug, Default, Clone, Copy, PartialEq)]
pub struct NoticeTracker {
    now: Notice,
    /// When the rate was last confirmed; `None` before the first answer.
    confirmed: Option<Instant>,
}

impl NoticeTracker {
    /// Takes the notice of an answer to a request that was handed over at `sent`; returns whether the
    /// belief changed.
    pub fn observe(&mut self, now: Instant, sent: Instant, said: Notice) -> bool {
        let old = self.now;
        self.now.leaving |= said.leaving;
        let later = self.confirmed.is_none_or(|confirmed| sent > confirmed);
        if said.rate == old.rate || later || is_lower(old, said) {
            self.now.rate = said.rate;
            self.confirmed = Some(now);
        }
        self.now != old
    }

    /// Takes what the process has said according to another node; returns whether the belief changed.
    ///
    /// The lowest rate counts until an answer of the process itself was heard.
    pub fn relay(&mut self, said: Notice) -> bool {
        let old = self.now;
        self.now.leaving |= said.leaving;
        if self.confirmed.is_none() {
            self.now.rate = match (old.rate, said.rate) {
                (Some(old), Some(said)) => Some(old.lower(said)),
                (old, said) => old.or(said),
            };
        }
        self.now != old
    }

    /// Returns what is believed now.
    #[must_use]
    pub const fn now(&self) -> Notice {
        self.now
    }
}

fn is_lower(old: Notice, said: Notice) -> bool {
    match (old.rate, said.rate) {
        (None, Some(_)) => true,
        (Some(old), Some(said)) => said < old,
        (_, None) => false,
    }
}

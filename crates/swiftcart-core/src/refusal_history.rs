//! Detection of retried requests from the history of refusals.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use crate::{HeadHash, Instant};

/// Time for which a refused request is remembered. Callers retry within their deadlines.
const RETENTION: Duration = Duration::from_secs(10);

/// Maximum number of refusals that are remembered.
const MAX_REFUSALS: usize = 4096;

/// History of refused requests, used to find the first attempt of a retried request.
///
/// A retry has the same head as the first attempt, except that the remaining time may differ. Each
/// refusal matches at most one later request. If many callers send the same head, no more of them
/// count as retrying than were refused.
///
/// # Examples
///
/// ```
/// use swiftcart_core::{HeadHash, Instant, RefusalHistory};
///
/// let at = Instant::from_millis;
/// let mut history = RefusalHistory::new();
/// assert_eq!(history.first_attempt(at(0), HeadHash(7)), None);
/// history.refused(at(5), HeadHash(7), at(0));
/// assert_eq!(history.first_attempt(at(300), HeadHash(7)), Some(at(0)));
/// assert_eq!(history.first_attempt(at(310), HeadHash(7)), None, "another caller");
/// ```
#[derive(Debug, Default, Clone)]
pub struct RefusalHistory {
    /// Times of the first attempts of refused requests, in the order of the refusals.
    first_attempts: HashMap<HeadHash, VecDeque<Instant>>,
    /// Remembered refusals in the order of their time.
    order: VecDeque<(Instant, HeadHash)>,
}

impl RefusalHistory {
    /// Creates an empty history.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the refusal of a request whose first attempt was at `first`.
    pub fn refused(&mut self, now: Instant, head: HeadHash, first: Instant) {
        self.evict_expired(now);
        if self.order.len() >= MAX_REFUSALS {
            self.drop_oldest();
        }
        self.order.push_back((now, head));
        self.first_attempts
            .entry(head)
            .or_default()
            .push_back(first);
    }

    /// Returns the time of the first attempt if the request matches an earlier refusal, which is
    /// then removed.
    pub fn first_attempt(&mut self, now: Instant, head: HeadHash) -> Option<Instant> {
        self.evict_expired(now);
        let attempts = self.first_attempts.get_mut(&head)?;
        let first = attempts.pop_front();
        if attempts.is_empty() {
            self.first_attempts.remove(&head);
        }
        first
    }

    fn evict_expired(&mut self, now: Instant) {
        let is_expired = |(at, _): &(Instant, HeadHash)| now.since(*at) >= RETENTION;
        while self.order.front().is_some_and(is_expired) {
            self.drop_oldest();
        }
    }

    /// Removes the oldest refusal. If this refusal has already been matched, it is only removed
    /// from `order`: its entry in `first_attempts` was removed by the match.
    fn drop_oldest(&mut self) {
        let Some((_, head)) = self.order.pop_front() else {
            return;
        };
        let later = self
            .order
            .iter()
            .filter(|(_, other)| *other == head)
            .count();
        if let Some(attempts) = self.first_attempts.get_mut(&head) {
            while attempts.len() > later {
                attempts.pop_front();
            }
            if attempts.is_empty() {
                self.first_attempts.remove(&head);
            }
        }
    }
}

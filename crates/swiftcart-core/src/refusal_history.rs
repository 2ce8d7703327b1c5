//! Detection of retried requests from the history of refusals.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use crate::{HeadHash, Instant};

/// Time for which a refused request is remembered. Callers retry within their deadlines.
const RETENTION: Duration = Duration::from_secs(10);

/// Maximum number of refusals that are remembered.
const MAX_REFUSALS: usize = 4096;

/// Earlier refusal of a request that has come back.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct PriorRefusal {
    /// Time of the first attempt.
    pub first: Instant,
    /// Time from which the caller was asked to retry, or `None` if the refusal had no retry delay.
    pub retry_at: Option<Instant>,
}

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
    /// Refusals by head, in their order.
    refusals: HashMap<HeadHash, VecDeque<PriorRefusal>>,
    /// Remembered refusals in the order of their time.
    order: VecDeque<(Instant, HeadHash)>,
}

impl PriorRefusal {
    /// Returns `true` if the refusal had a retry delay and the caller has waited for it.
    #[must_use]
    pub fn has_waited(&self, now: Instant) -> bool {
        self.retry_at.is_some_and(|at| now >= at)
    }
}

impl RefusalHistory {
    /// Creates an empty history.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the refusal of a request whose first attempt was at `first`.
    pub fn refused(&mut self, now: Instant, head: HeadHash, first: Instant) {
        let retry_at = None;
        self.record(now, head, PriorRefusal { first, retry_at });
    }

    /// Records a refusal like [`RefusalHistory::refused`], with the time of the retry.
    pub fn record(&mut self, now: Instant, head: HeadHash, refusal: PriorRefusal) {
        self.evict_expired(now);
        if self.order.len() >= MAX_REFUSALS {
            self.drop_oldest();
        }
        self.order.push_back((now, head));
        self.refusals.entry(head).or_default().push_back(refusal);
    }

    /// Returns the time of the first attempt if the request matches an earlier refusal, which is
    /// then removed.
    pub fn first_attempt(&mut self, now: Instant, head: HeadHash) -> Option<Instant> {
        self.take(now, head).map(|refusal| refusal.first)
    }

    /// Removes and returns the earlier refusal that the request matches.
    pub fn take(&mut self, now: Instant, head: HeadHash) -> Option<PriorRefusal> {
        self.evict_expired(now);
        let refusals = self.refusals.get_mut(&head)?;
        let refusal = refusals.pop_front();
        if refusals.is_empty() {
            self.refusals.remove(&head);
        }
        refusal
    }

    fn evict_expired(&mut self, now: Instant) {
        let is_expired = |(at, _): &(Instant, HeadHash)| now.since(*at) >= RETENTION;
        while self.order.front().is_some_and(is_expired) {
            self.drop_oldest();
        }
    }

    /// Removes the oldest refusal. If this refusal has already been matched, it is only removed
    /// from `order`: its entry in `refusals` was removed by the match.
    fn drop_oldest(&mut self) {
        let Some((_, head)) = self.order.pop_front() else {
            return;
        };
        let later = self
            .order
            .iter()
            .filter(|(_, other)| *other == head)
            .count();
        if let Some(refusals) = self.refusals.get_mut(&head) {
            while refusals.len() > later {
                refusals.pop_front();
            }
            if refusals.is_empty() {
                self.refusals.remove(&head);
            }
        }
    }
}

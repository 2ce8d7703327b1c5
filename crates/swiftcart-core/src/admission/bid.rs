//! What a request asks of a guard.

use std::time::Duration;

use crate::{Deadline, Instant};

/// The part of the time in which an answer is worth most that a request may wait for a slot.
///
/// An answer that comes later than wanted is worth a part only, and a request that waited
/// for long and is refused all the same has cost its caller the chance to go elsewhere.
const PATIENCE: f64 = 0.25;

/// The shortest wait worth a refusal: the time in which the slots of a backend server are
/// given anew about once. A short call that is refused fails the request that made it, and
/// the work that was done for that.
const LEAST_PATIENCE: Duration = Duration::from_millis(80);

/// Says when an answer is due at the latest, and when it should be there.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Bid {
    /// When the answer is due.
    pub due: Deadline,
    /// The time within which it is worth most, where the configuration says so.
    pub target: Option<Duration>,
}

impl Bid {
    /// Creates the bid of a request whose answer is due by `due`.
    #[must_use]
    pub const fn new(due: Deadline) -> Self {
        Self { due, target: None }
    }

    /// Sets the time within which the answer is worth most.
    ///
    /// The request with the earliest wanted answer goes first, so short requests go before
    /// long ones: the calls that a request makes while it runs are short, and they let work
    /// that has begun be finished.
    #[must_use]
    pub const fn with_target(mut self, target: Duration) -> Self {
        self.target = Some(target);
        self
    }

    /// Returns when the wait for a slot ends; `usual` is the longest wait without a target.
    #[must_use]
    pub fn until(&self, now: Instant, usual: Duration) -> Instant {
        self.due.within(now, self.patience(usual)).at()
    }

    /// Returns the longest wait; `usual` is that of a request without a target.
    pub(super) fn patience(&self, usual: Duration) -> Duration {
        self.target.map_or(usual, |target| {
            target.mul_f64(PATIENCE).max(LEAST_PATIENCE).min(usual)
        })
    }

    /// Returns when the answer is wanted; `usual` stands in for a target.
    pub(super) fn wanted(&self, now: Instant, usual: Duration) -> Instant {
        now + self.target.unwrap_or(usual)
    }
}

impl From<Deadline> for Bid {
    fn from(due: Deadline) -> Self {
        Self::new(due)
    }
}

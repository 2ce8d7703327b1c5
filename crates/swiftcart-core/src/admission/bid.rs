//! What a request asks of a guard.

use std::time::Duration;

use crate::{Deadline, Instant, Priority};

/// The part of the time in which an answer is worth most that a request may wait for a slot.
///
/// An answer that comes later than wanted is worth a part only, and a request that waited
/// for long and is refused all the same has cost its caller the chance to go elsewhere.
const PATIENCE: f64 = 0.25;

/// The shortest wait worth a refusal: the time in which the slots of a backend server are
/// given anew about once. A short call that is refused fails the request that made it, and
/// the work that was done for that.
const LEAST_PATIENCE: Duration = Duration::from_millis(80);

/// Says when an answer is due at the latest, when it should be there, and its rank.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Bid {
    /// When the answer is due.
    pub due: Deadline,
    /// The time within which it is worth most, where the configuration says so.
    pub target: Option<Duration>,
    /// Its rank among the requests of the same service.
    pub priority: Priority,
}

/// Orders waiting requests: by rank, then by the time at which their answers are wanted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct Urgency {
    priority: Priority,
    wanted: Instant,
}

impl Bid {
    /// Creates the bid of a request whose answer is due by `due`.
    #[must_use]
    pub const fn new(due: Deadline) -> Self {
        Self {
            due,
            target: None,
            priority: Priority(0),
        }
    }

    /// Sets the rank.
    #[must_use]
    pub const fn with_priority(mut self, priority: Priority) -> Self {
        self.priority = priority;
        self
    }

    /// Sets the time within which the answer is worth most.
    ///
    /// Of one rank, the request with the earliest wanted answer goes first, so short requests go before
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

    /// Returns the place in the order; `usual` stands in for a target.
    pub(super) fn urgency(&self, now: Instant, usual: Duration) -> Urgency {
        Urgency {
            priority: self.priority,
            wanted: now + self.target.unwrap_or(usual),
        }
    }
}

impl From<Deadline> for Bid {
    fn from(due: Deadline) -> Self {
        Self::new(due)
    }
}

//! What a request asks of a guard.

use std::time::Duration;

use crate::{Deadline, Instant, Priority};

/// The part of the time in which an answer is worth most that a request may wait for a slot.
///
/// It answers a load above what a service can take. The queue is then always as long as it may
/// be: whoever is served has waited for all of it, and as many are served with a short queue as
/// with a long one. With a wait of 80 ms and a target of 200 ms the median answer of a full service
/// took 150 ms and a quarter of the answers came late; with 25 ms it took 106 ms and an eighth did.
/// A request that waited and is refused all the same has lost the chance to go elsewhere, too.
const PATIENCE: f64 = 0.125;

/// The part of its own target that a request may wait when others with longer targets may.
///
/// It answers calls that running requests make. They have short targets, and one that is refused
/// fails the request that made it, with all the work that was done for that. They go before
/// requests with longer targets, so they may wait for as long as those do: an eighth of a
/// long target, a quarter to a half of their own on all known meshes.
const OWN_PATIENCE: f64 = 0.5;

/// The part of the target that a request may wait while other guards may have a place: what a round
/// trip to another failure domain and back takes, about 3 ms, is well below it for all routes.
const ASKING_PATIENCE: f64 = 0.025;

/// The part of its target for which a request's caller may have tried before, and the answer can
/// still come within the target: calls take a third of it on average.
///
/// It answers callers that come back under overload. Their requests are late in any case, and
/// with the earliest wanted answer alone as the order they took the places of first tries.
const TOO_OLD: f64 = 0.6;

/// Tells how long a request may wait for a slot.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Hash)]
pub enum QueueWait {
    /// Hardly at all: another guard may have a place.
    Short,
    /// As long as waiting is worth it.
    #[default]
    Full,
}

/// Tells how much an answer takes of the way out of its instance.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ResponseLength {
    /// Some kilobytes.
    #[default]
    Short,
    /// Enough that others wait behind it on a slow link.
    Long,
}

/// Says when an answer is due at the latest, when it should be there, and its rank.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct AdmissionRequest {
    /// When the answer is due.
    pub due: Deadline,
    /// The time within which it is worth most, where the configuration says so.
    pub target: Option<Duration>,
    /// Its rank among the requests of the same service.
    pub priority: Priority,
    /// How long it may wait.
    pub queue_wait: QueueWait,
    /// For how long its caller has been trying to get an answer.
    pub age: Duration,
    /// How long its answer is expected to be.
    pub response_length: ResponseLength,
}

/// Tells whether an answer can still come within the time in which it is worth most.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Chance {
    InTime,
    Late,
}

/// Orders waiting requests: by rank, then those that can be in time before those that are late
/// in any case, then by the end of their waits.
///
/// In a crowded service the order decides who is served at all, since the queue is always as long as
/// requests wait at most. With half of the slots that are asked for, the earliest wanted answer first served all
/// calls that running requests make and 0.21 of the orders beside them, which have the same rank
/// and a longer target; by the end of the wait it is 0.36 and 0.63.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct Urgency {
    priority: Priority,
    chance: Chance,
    until: Instant,
}

impl AdmissionRequest {
    /// Creates the bid of a request whose answer is due by `due`.
    #[must_use]
    pub const fn new(due: Deadline) -> Self {
        Self {
            due,
            target: None,
            priority: Priority(0),
            queue_wait: QueueWait::Full,
            age: Duration::ZERO,
            response_length: ResponseLength::Short,
        }
    }

    /// Sets how long the answer is expected to be.
    #[must_use]
    pub const fn with_response_length(mut self, response_length: ResponseLength) -> Self {
        self.response_length = response_length;
        self
    }

    /// Sets for how long the caller has been trying.
    #[must_use]
    pub const fn with_age(mut self, age: Duration) -> Self {
        self.age = age;
        self
    }

    /// Sets how long it may wait.
    #[must_use]
    pub const fn with_queue_wait(mut self, queue_wait: QueueWait) -> Self {
        self.queue_wait = queue_wait;
        self
    }

    /// Sets the rank.
    #[must_use]
    pub const fn with_priority(mut self, priority: Priority) -> Self {
        self.priority = priority;
        self
    }

    /// Sets the time within which the answer is worth most.
    ///
    /// It says for how long the request may wait, and so its place among those of its rank.
    #[must_use]
    pub const fn with_target(mut self, target: Duration) -> Self {
        self.target = Some(target);
        self
    }

    /// Returns when the wait for a slot ends, when no request beside it has a longer target;
    /// `usual` is the longest wait without a target.
    #[must_use]
    pub fn until(&self, now: Instant, usual: Duration) -> Instant {
        let longest = self.target.unwrap_or(usual);
        self.due.within(now, self.longest_wait(usual, longest)).at()
    }

    /// Returns the longest wait; `usual` is that of a request without a target, `long` the
    /// target that most requests at the guard do not exceed.
    pub(super) fn longest_wait(&self, usual: Duration, long: Duration) -> Duration {
        let target = self.target.unwrap_or(usual);
        match (self.queue_wait, self.target) {
            (QueueWait::Short, _) => target.mul_f64(ASKING_PATIENCE).min(usual),
            (QueueWait::Full, Some(target)) => {
                let among_longer = long.mul_f64(PATIENCE);
                let own = target.mul_f64(OWN_PATIENCE);
                let wait = among_longer.min(own).max(target.mul_f64(PATIENCE));
                wait.min(usual)
            }
            (QueueWait::Full, None) => usual,
        }
    }

    /// Returns the place in the order; `usual` stands in for a target, `long` is the target that
    /// most requests at the guard do not exceed.
    pub(super) fn urgency(&self, now: Instant, usual: Duration, long: Duration) -> Urgency {
        let full = Self {
            queue_wait: QueueWait::Full,
            ..*self
        };
        Urgency {
            priority: self.priority,
            chance: self.chance(),
            until: now + full.longest_wait(usual, long),
        }
    }

    fn chance(&self) -> Chance {
        match self.target {
            Some(target) if self.age > target.mul_f64(TOO_OLD) => Chance::Late,
            _ => Chance::InTime,
        }
    }
}

impl From<Deadline> for AdmissionRequest {
    fn from(due: Deadline) -> Self {
        Self::new(due)
    }
}

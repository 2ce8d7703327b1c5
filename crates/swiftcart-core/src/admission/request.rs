//! Attributes of a request that decide about its admission.

use std::time::Duration;

use crate::{Deadline, Instant, Priority, RequestOrigin, ShareStanding};

/// Share of the latency target that a request may wait for a slot.
///
/// Under overload the queue is always full, so every served request has waited for the whole queue.
/// A short queue serves as many requests as a long one, and fewer of the responses are late. A
/// request that is refused after its wait has also lost the chance to go to another guard.
const QUEUE_WAIT_SHARE: f64 = 0.125;

/// Maximum share of its own target that a request may wait beside requests with longer targets.
///
/// Running requests make nested calls with short targets. A refused nested call fails its parent
/// request and wastes the work done for the parent. Nested calls precede requests with longer
/// targets, so they may wait as long as these requests, up to this share of their own target.
const OWN_TARGET_SHARE: f64 = 0.5;

/// Share of the latency target that a request may wait while other guards may have capacity.
///
/// The wait should exceed the round trip to another failure domain, which takes about 3 ms.
const SHORT_WAIT_SHARE: f64 = 0.025;

/// Maximum age of a request that can still meet its latency target, as a share of the target.
///
/// Calls take a third of their target on average. Under overload, callers retry with requests that
/// are already too late for the target. If the queue were ordered by target time alone, these
/// retries would displace first attempts.
const MAX_AGE_SHARE: f64 = 0.6;

/// Maximum share of its parent request's time left that a nested call may wait.
///
/// The other half remains for the nested call itself and for the rest of the parent's run. A
/// refused nested call wastes that run, which already occupies a slot elsewhere.
const NESTED_WAIT_SHARE: f64 = 0.5;

/// Time that a request may spend in the queue.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Hash)]
pub enum QueueWait {
    /// A short wait, since another guard may have capacity.
    Short,
    /// The full wait that the latency target permits.
    #[default]
    Full,
}

/// Expected length of a response, which determines its effect on the instance's egress link.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ResponseLength {
    /// A few kilobytes.
    #[default]
    Short,
    /// Long enough to delay other responses on a slow link.
    Long,
}

/// Attributes of a request that admission control takes into account.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct AdmissionRequest {
    /// Deadline of the response.
    pub due: Deadline,
    /// Latency target of the response, if the configuration sets a target.
    pub target: Option<Duration>,
    /// Priority among the requests of the same service.
    pub priority: Priority,
    /// Time that the request may spend in the queue.
    pub queue_wait: QueueWait,
    /// Time since the caller's first attempt.
    pub age: Duration,
    /// Expected length of the response.
    pub response_length: ResponseLength,
    /// Origin of the request.
    pub origin: RequestOrigin,
    /// Rest of the latency target of the request that a nested call serves, if known.
    pub parent_target: Option<Duration>,
    /// Standing of the client account relative to its share of the service.
    pub standing: ShareStanding,
}

/// Ability of a request to meet its latency target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Timeliness {
    InTime,
    Late,
}

/// Sort key of queued requests: by priority, then requests that can meet their target before late
/// ones, then nested calls before callers' requests, then those within the share of their account,
/// then by the end of the full queue wait.
///
/// A refused nested call wastes the work done for the request that it serves, while a refused
/// caller's request has cost nothing yet. A late request is of little use to its caller, so it never
/// displaces a request of the same priority that can still meet its target, whatever their origins.
///
/// Under overload the queue is always full, so the order decides which requests are served at all.
/// An order by target time would serve hardly any request with a long target. The order by the end
/// of the wait leaves a part of the slots to each of them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct Urgency {
    priority: Priority,
    timeliness: Timeliness,
    pub(super) origin: RequestOrigin,
    standing: ShareStanding,
    until: Instant,
}

impl AdmissionRequest {
    /// Creates the attributes of a request with the deadline `due`, and defaults otherwise.
    #[must_use]
    pub const fn new(due: Deadline) -> Self {
        Self {
            due,
            target: None,
            priority: Priority(0),
            queue_wait: QueueWait::Full,
            age: Duration::ZERO,
            response_length: ResponseLength::Short,
            origin: RequestOrigin::Caller,
            parent_target: None,
            standing: ShareStanding::Within,
        }
    }

    /// Sets the origin of the request.
    ///
    /// A nested call may wait for a share of the time left to the request that it serves.
    #[must_use]
    pub const fn with_origin(mut self, origin: RequestOrigin) -> Self {
        self.origin = origin;
        self
    }

    /// Sets the rest of the latency target of the request that a nested call serves, which bounds
    /// the wait of the nested call.
    #[must_use]
    pub const fn with_parent_target(mut self, rest: Option<Duration>) -> Self {
        self.parent_target = rest;
        self
    }

    /// Sets the standing of the client account.
    #[must_use]
    pub const fn with_standing(mut self, standing: ShareStanding) -> Self {
        self.standing = standing;
        self
    }

    /// Sets the expected length of the response.
    #[must_use]
    pub const fn with_response_length(mut self, response_length: ResponseLength) -> Self {
        self.response_length = response_length;
        self
    }

    /// Sets the time since the caller's first attempt.
    #[must_use]
    pub const fn with_age(mut self, age: Duration) -> Self {
        self.age = age;
        self
    }

    /// Sets the time that the request may spend in the queue.
    #[must_use]
    pub const fn with_queue_wait(mut self, queue_wait: QueueWait) -> Self {
        self.queue_wait = queue_wait;
        self
    }

    /// Sets the priority.
    #[must_use]
    pub const fn with_priority(mut self, priority: Priority) -> Self {
        self.priority = priority;
        self
    }

    /// Sets the latency target of the response.
    ///
    /// The target determines the maximum wait, and thereby the order among requests of the same
    /// priority.
    #[must_use]
    pub const fn with_target(mut self, target: Duration) -> Self {
        self.target = Some(target);
        self
    }

    /// Returns the end of the wait for a slot, assuming that no other request has a longer target.
    ///
    /// `default_wait` is the maximum wait of a request without a target.
    #[must_use]
    pub fn until(&self, now: Instant, default_wait: Duration) -> Instant {
        let longest = self.target.unwrap_or(default_wait);
        self.due
            .within(now, self.longest_wait(now, default_wait, longest))
            .at()
    }

    /// Returns the maximum wait in the queue.
    ///
    /// `default_wait` is the maximum wait of a request without a target. `p90_target` is the 90th
    /// percentile of the targets at the guard.
    pub(super) fn longest_wait(
        &self,
        now: Instant,
        default_wait: Duration,
        p90_target: Duration,
    ) -> Duration {
        let own_wait = self.longest_own_wait(default_wait, p90_target);
        match (self.origin, self.queue_wait) {
            (RequestOrigin::Backend, QueueWait::Full) => {
                own_wait.max(self.parent_wait(now)).min(default_wait)
            }
            (RequestOrigin::Backend | RequestOrigin::Caller, _) => own_wait,
        }
    }

    /// Returns the wait after which the request that a nested call serves can still be answered in
    /// time.
    fn parent_wait(&self, now: Instant) -> Duration {
        let left = self.due.left(now);
        let left = self.parent_target.map_or(left, |target| target.min(left));
        left.mul_f64(NESTED_WAIT_SHARE)
    }

    /// Returns the maximum wait that the request's own target permits.
    fn longest_own_wait(&self, default_wait: Duration, p90_target: Duration) -> Duration {
        let target = self.target.unwrap_or(default_wait);
        match (self.queue_wait, self.target) {
            (QueueWait::Short, _) => target.mul_f64(SHORT_WAIT_SHARE).min(default_wait),
            (QueueWait::Full, Some(target)) => {
                let p90_wait = p90_target.mul_f64(QUEUE_WAIT_SHARE);
                let own_wait = target.mul_f64(OWN_TARGET_SHARE);
                let wait = p90_wait.min(own_wait).max(target.mul_f64(QUEUE_WAIT_SHARE));
                wait.min(default_wait)
            }
            (QueueWait::Full, None) => default_wait,
        }
    }

    /// Returns the sort key in the queue.
    ///
    /// `default_wait` replaces a missing target. `p90_target` is the 90th percentile of the targets
    /// at the guard.
    pub(super) fn urgency(
        &self,
        now: Instant,
        default_wait: Duration,
        p90_target: Duration,
    ) -> Urgency {
        let full = Self {
            queue_wait: QueueWait::Full,
            ..*self
        };
        Urgency {
            priority: self.priority,
            timeliness: self.timeliness(),
            origin: self.origin,
            standing: self.standing,
            until: now + full.longest_wait(now, default_wait, p90_target),
        }
    }

    /// Returns whether the request can meet its target. For a nested call, the target of the request
    /// that it serves counts.
    fn timeliness(&self) -> Timeliness {
        match (self.origin, self.target) {
            (RequestOrigin::Backend, _) if self.parent_target == Some(Duration::ZERO) => {
                Timeliness::Late
            }
            (RequestOrigin::Caller, Some(target)) if self.age > target.mul_f64(MAX_AGE_SHARE) => {
                Timeliness::Late
            }
            _ => Timeliness::InTime,
        }
    }
}

impl From<Deadline> for AdmissionRequest {
    fn from(due: Deadline) -> Self {
        Self::new(due)
    }
}

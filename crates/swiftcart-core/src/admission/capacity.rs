//! Capacity of a guard at the moment, and the waits that follow from it.

use std::time::Duration;

use super::request::Urgency;
use super::{Admission, ResponseLength, to_u32};
use crate::{Instant, RequestOrigin};

/// Slowdown from which the guard refuses requests that may go to another guard. A quarter of a
/// call's time is more than another hop costs.
const AVOIDED_SLOWDOWN: f64 = 1.25;

/// Time for which other guards count as full after a request that found no free slot at them.
const CROWDED_PERIOD: Duration = Duration::from_millis(250);

impl Admission {
    /// Returns the concurrency that the backend server can sustain.
    ///
    /// With a named rate, the concurrency is the rate times the mean service time (Little's law),
    /// bounded by the limit. Otherwise it is the limit.
    pub(super) fn effective_limit(&self) -> u32 {
        let limit = self.limit();
        match (self.throttle.rate(), self.service_times.mean()) {
            (Some(rate), Some(mean)) => ((rate * mean).ceil() as u32).clamp(1, limit.max(1)),
            _ => limit,
        }
    }

    /// Returns `true` if a slot is free and the rate limit allows a request to start now.
    pub(super) fn can_start(&self, now: Instant) -> bool {
        self.running() < self.places(now) && self.throttle.has_token(now)
    }

    /// Returns `true` if the backend server is slow at this moment and other guards seem to have
    /// free slots.
    pub(super) fn is_avoided(&self, now: Instant) -> bool {
        let is_crowded = |at: Instant| now.since(at) < CROWDED_PERIOD;
        self.belief.slowdown(now) >= AVOIDED_SLOWDOWN && !self.crowded_at.is_some_and(is_crowded)
    }

    /// Returns the number of requests of this guard that may run at this moment: the concurrency
    /// limit less the slots used by others, but at least 1 unless the limit is 0.
    pub(super) fn places(&self, now: Instant) -> u32 {
        let limit = self.limit();
        limit
            .saturating_sub(self.belief.others(now))
            .max(limit.min(1))
    }

    /// Returns the minimum service time at this moment.
    pub(super) fn min_service_time(&self, now: Instant) -> Duration {
        self.service_times
            .min_service_time(self.belief.slowdown(now))
    }

    /// Returns `true` if the instance's link has capacity for a response of this length.
    pub(super) fn egress_has_room(&self, response_length: ResponseLength) -> bool {
        match response_length {
            ResponseLength::Short => true,
            ResponseLength::Long => self.egress_limiter.has_room(self.link_delay),
        }
    }

    /// Returns the expected time until the link has capacity for one more long response, behind the
    /// queued long ones.
    pub(super) fn link_wait(&self) -> Duration {
        let send_time = self.egress_limiter.send_time().unwrap_or(Duration::ZERO);
        self.link_delay + send_time * (to_u32(self.queue.long_responses()) + 1)
    }

    /// Returns `true` if the queue has a place for a request of this urgency. The place of a less
    /// urgent request counts as free.
    ///
    /// Nested calls may fill the queue beyond its usual capacity, since the time left to the
    /// requests that they serve bounds their wait.
    pub(super) fn has_room(&self, urgency: Urgency) -> bool {
        let capacity = match urgency.origin {
            RequestOrigin::Backend => self.settings.queue as usize,
            RequestOrigin::Caller => self.queue_capacity(),
        };
        let has_place = self.queue.len() < self.settings.queue as usize;
        self.queue.ahead_of(urgency) < capacity && (has_place || self.queue.can_displace(urgency))
    }

    /// Returns the maximum number of queued requests.
    pub(super) fn queue_capacity(&self) -> usize {
        let max_queued = f64::from(self.limit()) * self.settings.depth;
        (max_queued.ceil() as usize).min(self.settings.queue as usize)
    }

    /// Returns the calls per second that the backend server finishes at this moment.
    pub(super) fn done_per_sec(&self, now: Instant) -> Option<f64> {
        let done = self.service_times.throughput(self.places(now));
        done.map(|done| done / self.belief.slowdown(now))
    }

    /// Returns the calls per second that the backend server finishes, bounded by the named rate.
    pub(super) fn throughput(&self, now: Instant) -> Option<f64> {
        let done = self.done_per_sec(now);
        match (done, self.throttle.rate()) {
            (Some(done), Some(rate)) => Some(done.min(rate)),
            (done, rate) => done.or(rate),
        }
    }

    /// Returns the expected wait of a request that is queued behind `ahead` others.
    ///
    /// The request waits for the rate limit and, if all slots are in use, for a free slot. A slot
    /// that others use is free at [`LoadBelief::others_until`](crate::LoadBelief::others_until) at
    /// the latest.
    pub(super) fn expected_wait(&self, now: Instant, ahead: usize) -> Duration {
        let starts = f64::from(to_u32(ahead)) + 1.0;
        let done = self.done_per_sec(now);
        let secs = done.map_or(0.0, |done| starts / done);
        let slot = Duration::try_from_secs_f64(secs).unwrap_or(Duration::MAX);
        let others = self.belief.others_until().since(now);
        let throttled = self.throttle.wait(now, ahead);
        match self.running() {
            running if running < self.places(now) => throttled,
            running if running.saturating_add(to_u32(ahead)) < self.limit() => {
                slot.min(others).max(throttled)
            }
            _ => slot.max(throttled),
        }
    }
}

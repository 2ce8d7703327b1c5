//! Bounded queue of the requests that wait for one backend server.

use std::collections::VecDeque;
use std::time::Duration;

use super::Ticket;
use super::request::{ResponseLength, Urgency};
use crate::{Instant, Reason, RequestOrigin};

/// Order in which queued requests are started.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Hash)]
pub enum QueueOrder {
    /// The most urgent request goes first, and the oldest among equally urgent ones.
    #[default]
    Fifo,
    /// The least urgent request goes first while the queue is more than half full. Otherwise the
    /// order is that of [`QueueOrder::Fifo`].
    AdaptiveLifo,
}

/// A queued request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Waiting {
    pub(super) ticket: Ticket,
    /// Key by which the queue is sorted.
    pub(super) urgency: Urgency,
    /// End of the wait. The request is not started at or after this time.
    pub(super) until: Instant,
    /// Reason of the refusal after the end of the wait.
    pub(super) reason: Reason,
    /// Latency target.
    pub(super) target: Option<Duration>,
    /// Expected length of the response.
    pub(super) response_length: ResponseLength,
}

/// Queue of requests, sorted by urgency and, among equally urgent requests, by age.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub(super) struct Queue {
    waiting: VecDeque<Waiting>,
}

impl Queue {
    pub(super) fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the number of queued requests that precede a new request of this urgency.
    pub(super) fn ahead_of(&self, urgency: Urgency) -> usize {
        self.waiting.partition_point(|w| w.urgency <= urgency)
    }

    pub(super) fn push(&mut self, waiting: Waiting) {
        let place = self.ahead_of(waiting.urgency);
        self.waiting.insert(place, waiting);
    }

    /// Returns `true` if the queue holds a request of a caller that is less urgent than `urgency`.
    pub(super) fn can_displace(&self, urgency: Urgency) -> bool {
        self.waiting
            .iter()
            .any(|w| w.urgency.origin == RequestOrigin::Caller && w.urgency > urgency)
    }

    /// Removes and returns the least urgent request of a caller if it is less urgent than
    /// `urgency`.
    pub(super) fn displace(&mut self, urgency: Urgency) -> Option<Waiting> {
        let is_callers = |w: &Waiting| w.urgency.origin == RequestOrigin::Caller;
        let last = self.waiting.iter().rposition(is_callers)?;
        match self.waiting[last].urgency > urgency {
            true => self.waiting.remove(last),
            false => None,
        }
    }

    /// Returns the number of queued requests with a long response.
    pub(super) fn long_responses(&self) -> usize {
        let long_responses = |w: &&Waiting| w.response_length == ResponseLength::Long;
        self.waiting.iter().filter(long_responses).count()
    }

    /// Removes and returns the next request that can still be started at `now`.
    ///
    /// Requests with a long response are passed over unless the link has capacity (`link_room`).
    pub(super) fn pop(
        &mut self,
        now: Instant,
        order: QueueOrder,
        capacity: usize,
        link_room: bool,
    ) -> Option<Waiting> {
        let mut live = self.waiting.iter();
        let fits = |w: &Waiting| {
            w.until > now && (link_room || w.response_length == ResponseLength::Short)
        };
        let i = match order {
            QueueOrder::AdaptiveLifo if self.waiting.len() * 2 > capacity => live.rposition(fits),
            QueueOrder::AdaptiveLifo | QueueOrder::Fifo => live.position(fits),
        };
        self.waiting.remove(i?)
    }

    /// Removes a request, and returns `true` if it was queued.
    pub(super) fn remove(&mut self, ticket: Ticket) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|w| w.ticket != ticket);
        self.waiting.len() < before
    }

    /// Returns the end of a request's wait, or `None` if the request is not queued.
    pub(super) fn until(&self, ticket: Ticket) -> Option<Instant> {
        let found = self.waiting.iter().find(|w| w.ticket == ticket);
        found.map(|w| w.until)
    }

    /// Removes and returns the requests whose wait has ended.
    pub(super) fn expire(&mut self, now: Instant) -> VecDeque<Waiting> {
        let (late, live) = self.waiting.iter().partition(|w| w.until <= now);
        self.waiting = live;
        late
    }

    /// Removes all requests and returns their tickets.
    pub(super) fn drain(&mut self) -> Vec<Ticket> {
        self.waiting.drain(..).map(|w| w.ticket).collect()
    }

    /// Returns the earliest end of a request's wait.
    pub(super) fn next_expiry(&self) -> Option<Instant> {
        self.waiting.iter().map(|w| w.until).min()
    }
}

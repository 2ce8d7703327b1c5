//! The short queue in front of one backend server.

use std::collections::VecDeque;
use std::time::Duration;

use super::Ticket;
use super::request::{ResponseLength, Urgency};
use crate::{Instant, Reason};

/// Chooses which waiting request goes next.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Hash)]
pub enum QueueOrder {
    /// The most urgent one, the oldest among equals.
    #[default]
    Fifo,
    /// The same, or the least urgent one while the queue is more than half full.
    AdaptiveLifo,
}

/// A request that waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Waiting {
    pub(super) ticket: Ticket,
    /// Its place in the order.
    pub(super) urgency: Urgency,
    /// The last instant at which starting it makes sense.
    pub(super) until: Instant,
    /// Why it is refused after that.
    pub(super) reason: Reason,
    /// The time within which its answer is worth most.
    pub(super) target: Option<Duration>,
    /// How much its answer takes of the way out.
    pub(super) response_length: ResponseLength,
}

/// Holds the waiting requests, the most urgent first and the oldest first among equals.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub(super) struct Queue {
    waiting: VecDeque<Waiting>,
}

impl Queue {
    pub(super) fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns how many requests would go before one of this urgency.
    pub(super) fn ahead_of(&self, urgency: Urgency) -> usize {
        self.waiting.partition_point(|w| w.urgency <= urgency)
    }

    pub(super) fn push(&mut self, waiting: Waiting) {
        let place = self.ahead_of(waiting.urgency);
        self.waiting.insert(place, waiting);
    }

    /// Takes the least urgent request out if it is less urgent than `urgency`.
    pub(super) fn displace(&mut self, urgency: Urgency) -> Option<Waiting> {
        let less_urgent = self
            .waiting
            .back()
            .is_some_and(|last| last.urgency > urgency);
        if less_urgent {
            self.waiting.pop_back()
        } else {
            None
        }
    }

    /// Counts those that wait with a long answer.
    pub(super) fn long(&self) -> usize {
        let long = |w: &&Waiting| w.response_length == ResponseLength::Long;
        self.waiting.iter().filter(long).count()
    }

    /// Takes the next request that can still be started at `now`; those with a long answer only
    /// when there is `room` for it on the link.
    pub(super) fn pop(
        &mut self,
        now: Instant,
        order: QueueOrder,
        capacity: usize,
        room: bool,
    ) -> Option<Waiting> {
        let mut live = self.waiting.iter();
        let fits =
            |w: &Waiting| w.until > now && (room || w.response_length == ResponseLength::Short);
        let i = match order {
            QueueOrder::AdaptiveLifo if self.waiting.len() * 2 > capacity => live.rposition(fits),
            QueueOrder::AdaptiveLifo | QueueOrder::Fifo => live.position(fits),
        };
        self.waiting.remove(i?)
    }

    /// Takes a request out; returns whether it was there.
    pub(super) fn remove(&mut self, ticket: Ticket) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|w| w.ticket != ticket);
        self.waiting.len() < before
    }

    /// Returns until when a request waits, or `None` when it does not.
    pub(super) fn until(&self, ticket: Ticket) -> Option<Instant> {
        let found = self.waiting.iter().find(|w| w.ticket == ticket);
        found.map(|w| w.until)
    }

    /// Takes out the requests that it makes no sense to start any more.
    pub(super) fn expire(&mut self, now: Instant) -> VecDeque<Waiting> {
        let (late, live) = self.waiting.iter().partition(|w| w.until <= now);
        self.waiting = live;
        late
    }

    /// Takes out every request.
    pub(super) fn drain(&mut self) -> Vec<Ticket> {
        self.waiting.drain(..).map(|w| w.ticket).collect()
    }

    /// Returns when the first request expires.
    pub(super) fn next_expiry(&self) -> Option<Instant> {
        self.waiting.iter().map(|w| w.until).min()
    }
}

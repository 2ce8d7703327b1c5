//! The short queue in front of one backend server.

use std::collections::VecDeque;

use super::Ticket;
use crate::{Instant, Reason};

/// Chooses which waiting request goes next.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Order {
    /// The oldest one.
    #[default]
    Fifo,
    /// The oldest one, or the youngest one while the queue is more than half full.
    AdaptiveLifo,
}

/// A request that waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Waiting {
    pub(super) ticket: Ticket,
    /// The last instant at which starting it makes sense.
    pub(super) until: Instant,
    /// Why it is refused after that.
    pub(super) reason: Reason,
}

/// Holds the waiting requests, oldest first.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub(super) struct Queue {
    waiting: VecDeque<Waiting>,
}

impl Queue {
    pub(super) fn len(&self) -> usize {
        self.waiting.len()
    }

    pub(super) fn push(&mut self, waiting: Waiting) {
        self.waiting.push_back(waiting);
    }

    /// Takes the next request that can still be started at `now`.
    pub(super) fn pop(&mut self, now: Instant, order: Order, capacity: usize) -> Option<Ticket> {
        let mut live = self.waiting.iter();
        let fits = |w: &Waiting| w.until > now;
        let i = match order {
            Order::AdaptiveLifo if self.waiting.len() * 2 > capacity => live.rposition(fits),
            Order::AdaptiveLifo | Order::Fifo => live.position(fits),
        };
        self.waiting.remove(i?).map(|w| w.ticket)
    }

    /// Takes a request out; returns whether it was there.
    pub(super) fn remove(&mut self, ticket: Ticket) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|w| w.ticket != ticket);
        self.waiting.len() < before
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

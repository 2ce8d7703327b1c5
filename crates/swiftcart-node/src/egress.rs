//! The way out of the instance, as all of the node's connections share it.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use swiftcart_core::{Link, LinkRate};

use crate::clock::Clock;

/// The queue on the link up to which long answers are passed on: 37 kB at 15 Mbit/s. With the part
/// that is passed on next, 64 kB at most, a short answer waits for 55 ms behind it, a fifth of the
/// target of the shortest calls on such links.
const SHORT_QUEUE: Duration = Duration::from_millis(20);

/// Follows what the node has handed to its instance's link.
#[derive(Debug)]
pub struct Egress {
    clock: Clock,
    /// None where the link's rate is not known.
    link: Option<Mutex<Link>>,
}

impl Egress {
    /// Creates the egress over a link.
    #[must_use]
    pub fn new(clock: Clock, rate: Option<LinkRate>) -> Self {
        Self {
            clock,
            link: rate.map(|rate| Mutex::new(Link::new(rate))),
        }
    }

    /// Takes in `bytes` that are handed to the link.
    pub fn sent(&self, bytes: usize) {
        if let Some(link) = &self.link {
            let mut link = link.lock().unwrap_or_else(PoisonError::into_inner);
            link.sent(self.clock.now(), bytes as u64);
        }
    }

    /// Returns how long what is handed over now waits for the link.
    #[must_use]
    pub fn delay(&self) -> Duration {
        self.link.as_ref().map_or(Duration::ZERO, |link| {
            let link = link.lock().unwrap_or_else(PoisonError::into_inner);
            link.delay(self.clock.now())
        })
    }

    /// Returns how long a part of a long answer has to be held back, so that short ones do not
    /// wait behind it.
    #[must_use]
    pub fn hold_back(&self) -> Option<Duration> {
        let over = self.delay().saturating_sub(SHORT_QUEUE);
        (!over.is_zero()).then_some(over)
    }
}

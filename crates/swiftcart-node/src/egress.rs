//! Egress link of the instance, which all connections of the node share.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use swiftcart_core::{Link, LinkRate};

use crate::clock::Clock;

/// Queueing delay on the link up to which parts of long responses are sent: 37 kB at 15 Mbit/s.
///
/// Together with the next part of at most 64 kB, a short response is delayed by 55 ms on such a
/// link. This delay is a fifth of the latency target of the shortest calls there.
const MAX_QUEUE_DELAY: Duration = Duration::from_millis(20);

/// Estimate of the data that the node has queued on the link of its instance.
#[derive(Debug)]
pub struct Egress {
    clock: Clock,
    /// State of the link, or `None` if the rate of the link is not known.
    link: Option<Mutex<Link>>,
}

impl Egress {
    /// Creates the egress for a link of the given rate.
    #[must_use]
    pub fn new(clock: Clock, rate: Option<LinkRate>) -> Self {
        Self {
            clock,
            link: rate.map(|rate| Mutex::new(Link::new(rate))),
        }
    }

    /// Records `bytes` that are sent over the link.
    pub fn sent(&self, bytes: usize) {
        if let Some(link) = &self.link {
            let mut link = link.lock().unwrap_or_else(PoisonError::into_inner);
            link.sent(self.clock.now(), bytes as u64);
        }
    }

    /// Returns the queueing delay of data that is sent now.
    #[must_use]
    pub fn delay(&self) -> Duration {
        self.link.as_ref().map_or(Duration::ZERO, |link| {
            let link = link.lock().unwrap_or_else(PoisonError::into_inner);
            link.delay(self.clock.now())
        })
    }

    /// Returns the time for which the next part of a long response has to be delayed.
    ///
    /// Without this delay, short responses wait behind long ones. Returns `None` if the part can be
    /// sent at once.
    #[must_use]
    pub fn hold_back(&self) -> Option<Duration> {
        let over = self.delay().saturating_sub(MAX_QUEUE_DELAY);
        (!over.is_zero()).then_some(over)
    }
}

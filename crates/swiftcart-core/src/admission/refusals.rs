//! Refusals of a guard, with their retry delays.

use std::time::Duration;

use rand::Rng;

use super::{Admission, Admit, QueueWait};
use crate::{Instant, Reason, Refusal};

/// Minimum retry delay of a refusal whose caller should use another backend server.
pub(super) const FAILOVER_RETRY_DELAY: Duration = Duration::from_millis(500);

impl Admission {
    /// Returns the reason to refuse a request that the queue could take but would hold for too long.
    pub(super) fn busy_reason(&self, now: Instant) -> Reason {
        match self.running() < self.places(now) {
            true => Reason::Throttled,
            false => Reason::Overloaded,
        }
    }

    /// Refuses a request that another backend server may take.
    pub(super) fn refuse_elsewhere<R: Rng + ?Sized>(&self, reason: Reason, rng: &mut R) -> Admit {
        let after = FAILOVER_RETRY_DELAY.mul_f64(1.0 + rng.random::<f64>());
        Admit::Refuse(Refusal::new(reason).with_retry(after))
    }

    /// Creates the refusal of a request that neither a slot nor the queue can take.
    ///
    /// A request with a short queue wait goes on to another guard. It gets no retry delay, so that
    /// it does not lengthen the retry delays of other requests. A throttled request always gets
    /// one: its ingress sends this guard no requests until the named rate admits the next one.
    pub(super) fn refuse_busy<R: Rng + ?Sized>(
        &mut self,
        reason: Reason,
        queue_wait: QueueWait,
        now: Instant,
        rng: &mut R,
    ) -> Refusal {
        match (queue_wait, reason) {
            (QueueWait::Full, _) | (_, Reason::Throttled) => {
                self.refuse_with_retry(reason, now, rng)
            }
            (QueueWait::Short, _) => Refusal::new(reason),
        }
    }

    /// Creates a refusal whose retry delay spreads the refused callers over time.
    pub(super) fn refuse_with_retry<R: Rng + ?Sized>(
        &mut self,
        reason: Reason,
        now: Instant,
        rng: &mut R,
    ) -> Refusal {
        let wait = self.expected_wait(now, self.queue.len());
        let rate = self.throughput(now).unwrap_or(1.0);
        let after = self.promises.next(now, wait, rate, rng);
        Refusal::new(reason).with_retry(after)
    }

    /// Creates the refusal of a request with a long response, for which the link is too busy.
    pub(super) fn link_busy_refusal(&self) -> Refusal {
        Refusal::new(Reason::LinkBusy).with_retry(self.link_wait())
    }
}

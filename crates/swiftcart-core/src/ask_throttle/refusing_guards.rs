//! Bounded record of the guards that have refused lately.

use std::time::Duration;

use crate::{Instant, NodeId};

/// Number of different guards that have to refuse before their refusals count. One or two guards
/// that refuse may be broken.
const MIN_GUARDS: usize = 3;

/// Time for which a refusal counts, in multiples of the time constant of the counts.
const RETENTION_FACTOR: u32 = 2;

/// Latest refusals of different guards.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
pub(super) struct RefusingGuards {
    refusals: [Option<(Instant, NodeId)>; MIN_GUARDS],
}

impl RefusingGuards {
    /// Records a refusal in place of the guard's previous one, or else of the oldest one.
    pub(super) fn record(&mut self, now: Instant, guard: NodeId) {
        let known = self
            .refusals
            .iter()
            .position(|r| r.is_some_and(|(_, id)| id == guard));
        let oldest = (0..MIN_GUARDS).min_by_key(|place| self.refusals[*place]);
        if let Some(place) = known.or(oldest) {
            self.refusals[place] = Some((now, guard));
        }
    }

    /// Forgets old refusals.
    pub(super) fn expire(&mut self, now: Instant, decay_time: Duration) {
        let is_recent =
            |(at, _): &(Instant, NodeId)| now.since(*at) < RETENTION_FACTOR * decay_time;
        for refusal in &mut self.refusals {
            *refusal = refusal.filter(is_recent);
        }
    }

    /// Returns `true` if enough guards have refused.
    pub(super) fn are_enough(&self) -> bool {
        self.refusals.iter().all(Option::is_some)
    }

    /// Returns the time of the latest refusal.
    pub(super) fn latest(&self) -> Option<Instant> {
        self.refusals.iter().flatten().map(|(at, _)| *at).max()
    }
}

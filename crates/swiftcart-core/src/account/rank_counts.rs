//! Recent requests of a limited account by priority, and the admission of the most urgent ones.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::decay::decay_factor;
use crate::{Instant, Priority};

/// Time constant over which requests are counted.
const COUNTING_TIME: Duration = Duration::from_secs(5);

/// Minimum number of counted requests from which the priorities are told apart.
const MIN_REQUESTS: f64 = 10.0;

/// Maximum number of priorities that are counted apart.
const MAX_RANKS: usize = 4;

/// Decayed count below which a priority is forgotten, so that it leaves its place to another one.
const MIN_COUNT: f64 = 0.05;

/// Decayed counts of an account's requests at one node, by priority.
///
/// If an account sends more than its quota, the quota goes to the account's most urgent requests.
/// The share of its requests that is admitted in total stays the same.
#[derive(Debug, Clone)]
pub(super) struct RankCounts {
    counts: BTreeMap<Priority, f64>,
    updated: Instant,
}

impl RankCounts {
    pub(super) const fn new(now: Instant) -> Self {
        Self {
            counts: BTreeMap::new(),
            updated: now,
        }
    }

    /// Counts a request.
    ///
    /// If the maximum number of priorities is reached, the request counts under the next more
    /// urgent priority, or under the most urgent one.
    pub(super) fn record(&mut self, now: Instant, priority: Priority) {
        self.decay(now);
        self.counts.retain(|_, count| *count > MIN_COUNT);
        let rank = match self.counts.len() < MAX_RANKS {
            true => priority,
            false => self.rank_of(priority),
        };
        *self.counts.entry(rank).or_default() += 1.0;
    }

    /// Returns the probability with which a request is admitted, so that `ratio` of all requests
    /// are admitted.
    ///
    /// Requests of the most urgent priorities are admitted as far as the ratio reaches, those of
    /// the next priority in part, and the others are refused.
    pub(super) fn admitted_share(&self, priority: Priority, ratio: f64) -> f64 {
        let total: f64 = self.counts.values().sum();
        let rank = self.rank_of(priority);
        match self.counts.get(&rank) {
            Some(own) if total >= MIN_REQUESTS && *own > 0.0 => {
                let ahead: f64 = self.counts.range(..rank).map(|(_, count)| count).sum();
                ((ratio * total - ahead) / own).clamp(0.0, 1.0)
            }
            _ => ratio,
        }
    }

    /// Returns the requests per second.
    pub(super) fn rate(&self) -> f64 {
        self.counts.values().sum::<f64>() / COUNTING_TIME.as_secs_f64()
    }

    /// Returns the priority under which requests of `priority` are counted.
    fn rank_of(&self, priority: Priority) -> Priority {
        let counted = self.counts.range(..=priority).next_back();
        let counted = counted.or_else(|| self.counts.first_key_value());
        counted.map_or(priority, |(rank, _)| *rank)
    }

    fn decay(&mut self, now: Instant) {
        let factor = decay_factor(now.since(self.updated), COUNTING_TIME);
        self.updated = self.updated.max(now);
        self.counts.values_mut().for_each(|count| *count *= factor);
    }
}

//! Demand for retries at one service, by the class of the requests.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::AskClass;

/// Maximum number of classes that are counted separately. Requests of any further class have no
/// demand of their own and are served after all counted classes.
const MAX_CLASSES: usize = 16;

/// Number of retries that requests of each class asked for in the current and the previous second.
#[derive(Debug, Default, Clone, PartialEq)]
pub(super) struct RetryDemand {
    /// Number of the current second.
    second: u64,
    current: BTreeMap<AskClass, u32>,
    previous: BTreeMap<AskClass, u32>,
}

impl RetryDemand {
    /// Counts one request that asks for a retry.
    pub(super) fn record(&mut self, now: Duration, class: AskClass) {
        self.advance(now);
        if self.current.len() < MAX_CLASSES || self.current.contains_key(&class) {
            *self.current.entry(class).or_default() += 1;
        }
    }

    /// Returns the retries per second that classes more urgent than `class` ask for.
    ///
    /// The greater of the two seconds counts, so that the demand is known as soon as it begins.
    pub(super) fn ahead_of(&self, class: AskClass) -> f64 {
        let sum = |counts: &BTreeMap<AskClass, u32>| counts.range(..class).map(|(_, n)| n).sum();
        let (current, previous): (u32, u32) = (sum(&self.current), sum(&self.previous));
        f64::from(current.max(previous))
    }

    /// Advances to the second of `now`.
    fn advance(&mut self, now: Duration) {
        let second = now.as_secs();
        match second.saturating_sub(self.second) {
            0 => return,
            1 => self.previous = std::mem::take(&mut self.current),
            _ => {
                self.previous.clear();
                self.current.clear();
            }
        }
        self.second = second;
    }
}

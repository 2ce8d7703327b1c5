//! When a node tells all others how fast its backend server is.

use std::time::Duration;

use super::Pace;
use crate::Instant;

/// The factor by which a pace has to change before it is told again. It lies four standard
/// deviations from the mean of 32 calls whose times spread by 0.8.
const CHANGED: f64 = 1.6;

/// The least time between two words. A word costs each node some hundred bytes and a new
/// view; all of 970 nodes at once would be 500 a second.
const PAUSE: Duration = Duration::from_secs(2);

/// Decides when a node tells all others the pace of its backend server.
///
/// Answers carry the pace to whoever asked. In a large mesh a node has few answers of each
/// backend server, and learns of one that became slow only after many calls have gone there.
/// So a pace that has changed by much is spread with the news of the members.
///
/// # Examples
///
/// ```
/// use swiftcart_core::{Instant, Pace, PaceAnnouncer};
///
/// let mut telling = PaceAnnouncer::default();
/// let at = Instant::from_millis;
/// assert_eq!(telling.due(at(0), Some(Pace(900))), None, "known from few calls only");
/// assert_eq!(telling.due(at(2_000), Some(Pace(300))), Some(Pace(300)));
/// assert_eq!(telling.due(at(5_000), Some(Pace(400))), None, "much the same");
/// assert_eq!(telling.due(at(6_000), Some(Pace(900))), Some(Pace(900)));
/// assert_eq!(telling.due(at(6_050), Some(Pace(300))), None, "too soon");
/// ```
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct PaceAnnouncer {
    /// When the pace was known first.
    known: Option<Instant>,
    told: Option<(Instant, Pace)>,
}

impl PaceAnnouncer {
    /// Returns the pace when it is to be told now.
    pub fn due(&mut self, now: Instant, pace: Option<Pace>) -> Option<Pace> {
        let pace = pace?;
        let known = *self.known.get_or_insert(now);
        let due = match self.told {
            None => now.since(known) >= PAUSE,
            Some((at, _)) if now.since(at) < PAUSE => false,
            Some((_, told)) => {
                let ratio = pace.quotient() / told.quotient();
                ratio >= CHANGED || ratio <= CHANGED.recip()
            }
        };
        due.then(|| {
            self.told = Some((now, pace));
            pace
        })
    }
}

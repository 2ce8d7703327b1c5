//! Announcements of a backend server's pace to all nodes.

use std::time::Duration;

use super::Pace;
use crate::Instant;

/// Factor by which a pace has to change before it is announced again. The threshold lies four
/// standard deviations from the mean of 32 calls whose latencies have a spread of 0.8.
const CHANGE_FACTOR: f64 = 1.6;

/// Minimum interval between two announcements of a node.
///
/// An announcement costs every node about one hundred bytes and a new view. If each of 970 nodes
/// announced at this interval, that would be about 500 announcements per second.
const MIN_INTERVAL: Duration = Duration::from_secs(2);

/// Rate limiter for announcements of the pace of a node's backend server.
///
/// Responses report the pace to the calling nodes. In a large mesh a node gets few responses from
/// each backend server, and would notice a slow one only after sending many calls to it. A pace
/// that has changed considerably is therefore gossiped with the membership.
///
/// # Examples
///
/// ```
/// use swiftcart_core::{Instant, Pace, PaceAnnouncer};
///
/// let mut announcer = PaceAnnouncer::default();
/// let at = Instant::from_millis;
/// assert_eq!(announcer.due(at(0), Some(Pace(900))), None, "known from few calls only");
/// assert_eq!(announcer.due(at(2_000), Some(Pace(300))), Some(Pace(300)));
/// assert_eq!(announcer.due(at(5_000), Some(Pace(400))), None, "little change");
/// assert_eq!(announcer.due(at(6_000), Some(Pace(900))), Some(Pace(900)));
/// assert_eq!(announcer.due(at(6_050), Some(Pace(300))), None, "too soon");
/// ```
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct PaceAnnouncer {
    /// Time at which a pace was first available.
    first_known: Option<Instant>,
    announced: Option<(Instant, Pace)>,
}

impl PaceAnnouncer {
    /// Returns the pace if it has to be announced now.
    pub fn due(&mut self, now: Instant, pace: Option<Pace>) -> Option<Pace> {
        let pace = pace?;
        let first_known = *self.first_known.get_or_insert(now);
        let due = match self.announced {
            None => now.since(first_known) >= MIN_INTERVAL,
            Some((at, _)) if now.since(at) < MIN_INTERVAL => false,
            Some((_, announced)) => {
                let ratio = pace.ratio() / announced.ratio();
                ratio >= CHANGE_FACTOR || ratio <= CHANGE_FACTOR.recip()
            }
        };
        due.then(|| {
            self.announced = Some((now, pace));
            pace
        })
    }
}

//! The targets of the requests that one guard gets.

use std::time::Duration;

/// The part of the requests whose targets are at most as long as the one that counts as long. A
/// route with few requests and a target out of all proportion does not count.
const MOST: f64 = 0.9;

/// The part of the estimate by which one request moves it: some 60 requests after a change of the
/// configuration it is near the new figure.
const STEP: f64 = 1.0 / 16.0;

/// Follows the target that most requests do not exceed.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
pub(super) struct Targets {
    /// In seconds.
    long: Option<f64>,
}

impl Targets {
    /// Takes in the target of a request, where it has one.
    ///
    /// Targets above the estimate raise it by nine times as much as those below lower it, so
    /// that it comes to rest where one of ten is above.
    pub(super) fn note(&mut self, target: Option<Duration>) {
        let Some(target) = target.map(|target| target.as_secs_f64()) else {
            return;
        };
        let long = self.long.get_or_insert(target);
        *long = match *long < target {
            true => (*long * (1.0 + STEP * MOST)).min(target),
            false => (*long * (1.0 - STEP * (1.0 - MOST))).max(target),
        };
    }

    /// Returns the target that most requests do not exceed, once one had a target.
    pub(super) fn long(&self) -> Option<Duration> {
        let secs = self.long?;
        Duration::try_from_secs_f64(secs).ok()
    }
}

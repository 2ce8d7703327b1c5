//! A reported value that is behind the real one.

use std::time::Duration;

use tokio::time::Instant;

/// Holds a value that is looked at again only when it is old enough.
#[derive(Debug, Default)]
pub(super) struct Lagging<T>(Option<(Instant, T)>);

impl<T: Copy> Lagging<T> {
    /// Returns the last value seen, or `now` when that is older than `lag` milliseconds.
    pub(super) fn look(&mut self, now: T, lag: u64) -> T {
        match self.0 {
            Some((at, seen)) if at.elapsed() < Duration::from_millis(lag) => seen,
            _ => {
                self.0 = Some((Instant::now(), now));
                now
            }
        }
    }
}

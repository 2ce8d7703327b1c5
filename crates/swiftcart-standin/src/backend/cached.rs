//! A reported value that is behind the real one.

use std::time::Duration;

use tokio::time::Instant;

/// Holds a value that is looked at again only when it is old enough.
#[derive(Debug, Default)]
pub(super) struct CachedValue<T>(Option<(Instant, T)>);

impl<T: Copy> CachedValue<T> {
    /// Returns the last value seen, or `now` when that is older than `max_age_ms` milliseconds.
    pub(super) fn get_or_update(&mut self, current: T, max_age_ms: u64) -> T {
        match self.0 {
            Some((at, cached)) if at.elapsed() < Duration::from_millis(max_age_ms) => cached,
            _ => {
                self.0 = Some((Instant::now(), current));
                current
            }
        }
    }
}

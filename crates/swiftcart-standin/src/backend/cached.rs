//! Cached value that simulates delayed reports.

use std::time::Duration;

use tokio::time::Instant;

/// Value that is updated only after a maximum age.
#[derive(Debug, Default)]
pub(super) struct CachedValue<T>(Option<(Instant, T)>);

impl<T: Copy> CachedValue<T> {
    /// Returns the cached value while it is younger than `max_age_ms` milliseconds; otherwise
    /// caches and returns `current`.
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

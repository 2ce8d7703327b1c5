//! The lives of one backend server: each has a start and numbers its announcements.

use std::time::{SystemTime, UNIX_EPOCH};

use super::faults::Restart;

/// How far the clock is set back between two lives, in milliseconds.
const CLOCK_SETBACK_MS: u64 = 60_000;

/// One life of a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Incarnation {
    /// When it began, in Unix milliseconds by its own clock.
    pub(super) start_ms: u64,
    /// The number of its last announcement.
    pub(super) seq: u64,
}

impl Incarnation {
    /// Begins the first life.
    pub(super) fn new() -> Self {
        Self {
            start_ms: unix_ms(),
            seq: 0,
        }
    }

    /// Begins another life after this one.
    pub(super) fn restarted(self, restart: Restart) -> Self {
        let start_ms = match restart {
            Restart::Later => unix_ms().max(self.start_ms + 1),
            Restart::SetBack => self.start_ms.saturating_sub(CLOCK_SETBACK_MS),
        };
        Self { start_ms, seq: 0 }
    }

    /// Returns the number of the next announcement.
    pub(super) const fn next_seq(&mut self) -> u64 {
        self.seq += 1;
        self.seq
    }
}

fn unix_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| {
        u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
    })
}

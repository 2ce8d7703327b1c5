//! Incarnations of a backend server, each with a start time and sequence numbers of its own.

use std::time::{SystemTime, UNIX_EPOCH};

use super::faults::Restart;

/// Amount by which [`Restart::SetBack`] sets the clock back, in milliseconds.
const CLOCK_SETBACK_MS: u64 = 60_000;

/// Incarnation of a backend server, which lasts from its start to a crash.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Incarnation {
    /// Start time in Unix milliseconds, by the simulated clock of the backend server.
    pub(super) start_ms: u64,
    /// Sequence number of the last announcement.
    pub(super) seq: u64,
}

impl Incarnation {
    /// Creates the first incarnation.
    pub(super) fn new() -> Self {
        Self {
            start_ms: unix_ms(),
            seq: 0,
        }
    }

    /// Returns the incarnation that follows this one after a restart.
    pub(super) fn restarted(self, restart: Restart) -> Self {
        let start_ms = match restart {
            Restart::Later => unix_ms().max(self.start_ms + 1),
            Restart::SetBack => self.start_ms.saturating_sub(CLOCK_SETBACK_MS),
        };
        Self { start_ms, seq: 0 }
    }

    /// Increments the sequence number and returns it.
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

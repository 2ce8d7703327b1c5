//! Rate-limited log lines about single calls, with separate limits for successes and failures.

use std::sync::{Mutex, PoisonError};

use slog::{Logger, info};
use swiftcart_core::Instant;

use super::Event;

/// Maximum lines per second for successful calls.
///
/// A node of the intended size answers about 90 calls per second, and guards as many.
const DONE_LINES_PER_SEC: u32 = 150;

/// Maximum lines per second for refusals, failures and retries.
///
/// The limit is separate, so that successful calls cannot use it up: operators need these lines
/// most.
const FAILED_LINES_PER_SEC: u32 = 300;

/// Maximum lines per second for refused announcements and other irregular messages.
///
/// Each line has the reason, and the first lines already identify a sender of many such messages.
const IRREGULAR_LINES_PER_SEC: u32 = 5;

/// Log that limits the rate of lines about calls and counts the suppressed lines.
#[derive(Debug)]
pub struct CallLog {
    logger: Logger,
    done: Mutex<LineCount>,
    failed: Mutex<LineCount>,
    irregular: Mutex<LineCount>,
}

/// Number of lines of one kind in the current second.
#[derive(Debug, Default, Clone, Copy)]
struct LineCount {
    second: u64,
    written: u32,
    suppressed: u32,
}

impl CallLog {
    /// Creates a log that writes to `logger`.
    #[must_use]
    pub fn new(logger: Logger) -> Self {
        Self {
            logger,
            done: Mutex::default(),
            failed: Mutex::default(),
            irregular: Mutex::default(),
        }
    }

    /// Returns the logger for a line about a successful call, unless the limit is reached.
    #[must_use]
    pub fn done(&self, now: Instant) -> Option<&Logger> {
        self.admit(&self.done, DONE_LINES_PER_SEC, "done", now)
    }

    /// Returns the logger for a line about a failure or a retry, unless the limit is reached.
    #[must_use]
    pub fn failed(&self, now: Instant) -> Option<&Logger> {
        self.admit(&self.failed, FAILED_LINES_PER_SEC, "failed", now)
    }

    /// Returns the logger for a line about an irregular message, unless the limit is reached.
    #[must_use]
    pub fn irregular(&self, now: Instant) -> Option<&Logger> {
        self.admit(&self.irregular, IRREGULAR_LINES_PER_SEC, "irregular", now)
    }

    fn admit(
        &self,
        lines: &Mutex<LineCount>,
        limit: u32,
        kind: &'static str,
        now: Instant,
    ) -> Option<&Logger> {
        let mut lines = lines.lock().unwrap_or_else(PoisonError::into_inner);
        let second = now.elapsed().as_secs();
        if second != lines.second {
            let previous = std::mem::take(&mut *lines);
            lines.second = second;
            if previous.suppressed > 0 {
                info!(self.logger, ""; "event" => Event::LeftOut, "kind" => kind,
                    "count" => previous.suppressed);
            }
        }
        if lines.written < limit {
            lines.written += 1;
            return Some(&self.logger);
        }
        lines.suppressed += 1;
        None
    }
}

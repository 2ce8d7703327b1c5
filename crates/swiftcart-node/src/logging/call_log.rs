//! Lines about single calls: a bounded number a second, those of failures for themselves.

use std::sync::{Mutex, PoisonError};

use slog::{Logger, info};
use swiftcart_core::Instant;

use super::Event;

/// Lines a second for calls that ended well. A node of the size to design for answers about
/// 90 calls a second and is the guard of as many.
const DONE_LINES: u32 = 150;

/// Lines a second for refusals, failures and further tries; they come first, so that they
/// have a share that no success can take.
const FAILED_LINES: u32 = 300;

/// Lines a second for announcements that are refused: each says what is wrong, and whoever sends
/// many of them is known by the first ones.
const IRREGULAR_LINES: u32 = 5;

/// Writes lines about calls and counts those that it leaves out.
#[derive(Debug)]
pub struct CallLog {
    logger: Logger,
    done: Mutex<Share>,
    failed: Mutex<Share>,
    irregular: Mutex<Share>,
}

/// The lines of one kind in the current second.
#[derive(Debug, Default, Clone, Copy)]
struct Share {
    second: u64,
    written: u32,
    left_out: u32,
}

impl CallLog {
    /// Writes to `logger`.
    #[must_use]
    pub fn new(logger: Logger) -> Self {
        Self {
            logger,
            done: Mutex::default(),
            failed: Mutex::default(),
            irregular: Mutex::default(),
        }
    }

    /// Returns the log for a line about a call that ended well, if there is room for it.
    #[must_use]
    pub fn done(&self, now: Instant) -> Option<&Logger> {
        self.admit(&self.done, DONE_LINES, "done", now)
    }

    /// Returns the log for a line about a failure or a further try, if there is room for it.
    #[must_use]
    pub fn failed(&self, now: Instant) -> Option<&Logger> {
        self.admit(&self.failed, FAILED_LINES, "failed", now)
    }

    /// Returns the log for a line about a refused announcement, if there is room for it.
    #[must_use]
    pub fn irregular(&self, now: Instant) -> Option<&Logger> {
        self.admit(&self.irregular, IRREGULAR_LINES, "irregular", now)
    }

    fn admit(
        &self,
        share: &Mutex<Share>,
        most: u32,
        kind: &'static str,
        now: Instant,
    ) -> Option<&Logger> {
        let mut share = share.lock().unwrap_or_else(PoisonError::into_inner);
        let second = now.elapsed().as_secs();
        if second != share.second {
            let before = std::mem::take(&mut *share);
            share.second = second;
            if before.left_out > 0 {
                info!(self.logger, ""; "event" => Event::LeftOut, "kind" => kind,
                    "count" => before.left_out);
            }
        }
        if share.written < most {
            share.written += 1;
            return Some(&self.logger);
        }
        share.left_out += 1;
        None
    }
}

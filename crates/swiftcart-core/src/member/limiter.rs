//! Bounds how many state pulls a node serves, so that a returning herd cannot drown it.

use std::time::Duration;

use crate::Instant;

const LONGEST_WAIT: Duration = Duration::from_secs(10);

/// Tells whether a pull is served now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum SyncAdmission {
    /// Serve it, and call [`SyncLimiter::done`] afterwards.
    Serve,
    /// Answer that the node is busy.
    Busy {
        /// When the asking node should come back.
        retry_after: Duration,
    },
}

/// Admits state pulls: at most so many at once and so many a second.
///
/// # Examples
///
/// ```
/// use swiftcart_core::{SyncAdmission, Instant, SyncLimiter};
///
/// let mut gate = SyncLimiter::new(1, 100);
/// let now = Instant::default();
/// assert_eq!(gate.admit(now), SyncAdmission::Serve);
/// assert!(matches!(gate.admit(now), SyncAdmission::Busy { .. }));
/// gate.done();
/// assert_eq!(gate.admit(now), SyncAdmission::Serve);
/// ```
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SyncLimiter {
    width: u32,
    rate: u32,
    open: u32,
    /// The pulls admitted and refused in the current second.
    served: u32,
    refused: u32,
    second: Instant,
}

impl SyncLimiter {
    /// Creates a gate for `width` pulls at once and `rate` pulls a second, each at least one.
    #[must_use]
    pub fn new(width: u32, rate: u32) -> Self {
        Self {
            width: width.max(1),
            rate: rate.max(1),
            open: 0,
            served: 0,
            refused: 0,
            second: Instant::default(),
        }
    }

    /// Asks to serve one pull.
    ///
    /// The wait grows with the number already refused, so that a herd comes back spread out.
    pub fn admit(&mut self, now: Instant) -> SyncAdmission {
        if now.since(self.second) >= Duration::from_secs(1) {
            self.second = now;
            self.served = 0;
            self.refused = 0;
        }
        match self.open < self.width && self.served < self.rate {
            true => {
                self.open += 1;
                self.served += 1;
                SyncAdmission::Serve
            }
            false => {
                self.refused = self.refused.saturating_add(1);
                SyncAdmission::Busy {
                    retry_after: self.wait(),
                }
            }
        }
    }

    /// Ends one admitted pull.
    pub const fn done(&mut self) {
        self.open = self.open.saturating_sub(1);
    }

    fn wait(&self) -> Duration {
        let turn = Duration::from_secs(1) / self.rate;
        turn.saturating_mul(self.rate.saturating_add(self.refused))
            .min(LONGEST_WAIT)
    }
}

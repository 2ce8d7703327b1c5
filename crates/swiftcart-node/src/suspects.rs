//! The quarantine, between the calls that look into it and the control loop that spreads it.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use swiftcart_core::{CrashId, Fingerprint, HeadPrint, Instant, Quarantine, RequestPrint};

/// Holds the quarantine. While nothing is in it, which is nearly always, a look costs one load.
#[derive(Debug, Default)]
pub struct SharedQuarantine {
    any: AtomicBool,
    quarantine: Mutex<Quarantine>,
}

impl SharedQuarantine {
    /// Tells whether a request with this head may be a suspect.
    #[must_use]
    pub fn may_be_quarantined(&self, head: HeadPrint) -> bool {
        self.is_used() && self.with(|quarantine| quarantine.suspects(head))
    }

    /// Returns for how long a request is held back from now on; `None` when it is not.
    #[must_use]
    pub fn held(&self, now: Instant, print: Fingerprint) -> Option<Duration> {
        match self.is_used() {
            true => self.with(|quarantine| quarantine.held(now, print)),
            false => None,
        }
    }

    /// Returns at how many ends of backend servers a request is known to have been running.
    #[must_use]
    pub fn ends(&self, request: RequestPrint) -> usize {
        match self.is_used() {
            true => self.with(|quarantine| quarantine.ends(request)),
            false => 0,
        }
    }

    /// Tells whether a request that has ended a backend server just now would do so again.
    #[must_use]
    pub fn ends_another(&self, request: RequestPrint) -> bool {
        self.is_used() && self.with(|quarantine| quarantine.ends_another(request))
    }

    /// Notes the end of the own backend server, and what it was running.
    pub fn crashed(&self, now: Instant, id: CrashId, prints: &[Fingerprint]) {
        self.with(|quarantine| quarantine.crashed(now, id, prints));
    }

    /// Notes that the own backend server has run a request to its end.
    pub fn finished(&self, now: Instant, print: Fingerprint) {
        self.with(|quarantine| quarantine.finished(now, print));
    }

    /// Gives access to all of it.
    pub fn with<T>(&self, f: impl FnOnce(&mut Quarantine) -> T) -> T {
        let mut quarantine = self
            .quarantine
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let result = f(&mut quarantine);
        self.any.store(!quarantine.is_empty(), Ordering::Relaxed);
        result
    }

    /// Tells whether anything is in it.
    #[must_use]
    pub fn is_used(&self) -> bool {
        self.any.load(Ordering::Relaxed)
    }
}

//! Quarantine of requests that crash backend servers, shared by calls and the control loop.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use swiftcart_core::{CrashId, Fingerprint, HeadHash, Instant, Quarantine, RequestDigest};

/// Quarantine that calls check and the control loop synchronizes with other nodes.
///
/// It is nearly always empty; a check then costs one atomic load.
#[derive(Debug, Default)]
pub struct SharedQuarantine {
    any: AtomicBool,
    quarantine: Mutex<Quarantine>,
}

impl SharedQuarantine {
    /// Returns `true` if a request with this head may be quarantined.
    #[must_use]
    pub fn may_be_quarantined(&self, head: HeadHash) -> bool {
        self.is_used() && self.with(|quarantine| quarantine.has_suspect(head))
    }

    /// Returns the remaining quarantine time of a request, or `None` if it is not quarantined.
    #[must_use]
    pub fn held(&self, now: Instant, print: Fingerprint) -> Option<Duration> {
        match self.is_used() {
            true => self.with(|quarantine| quarantine.held(now, print)),
            false => None,
        }
    }

    /// Returns the number of known backend server crashes during which a request was running.
    #[must_use]
    pub fn crash_count(&self, request: RequestDigest) -> usize {
        match self.is_used() {
            true => self.with(|quarantine| quarantine.crash_count(request)),
            false => 0,
        }
    }

    /// Returns `true` if a request that was running at a recent crash is expected to crash another
    /// backend server.
    #[must_use]
    pub fn would_crash_again(&self, request: RequestDigest) -> bool {
        self.is_used() && self.with(|quarantine| quarantine.would_crash_again(request))
    }

    /// Records a crash of the local backend server and the requests that it was running.
    pub fn crashed(&self, now: Instant, id: CrashId, prints: &[Fingerprint]) {
        self.with(|quarantine| quarantine.crashed(now, id, prints));
    }

    /// Records that the local backend server has completed a request.
    pub fn finished(&self, now: Instant, print: Fingerprint) {
        self.with(|quarantine| quarantine.finished(now, print));
    }

    /// Calls `f` with the locked quarantine.
    pub fn with<T>(&self, f: impl FnOnce(&mut Quarantine) -> T) -> T {
        let mut quarantine = self
            .quarantine
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let result = f(&mut quarantine);
        self.any.store(!quarantine.is_empty(), Ordering::Relaxed);
        result
    }

    /// Returns `true` if the quarantine is not empty.
    #[must_use]
    pub fn is_used(&self) -> bool {
        self.any.load(Ordering::Relaxed)
    }
}

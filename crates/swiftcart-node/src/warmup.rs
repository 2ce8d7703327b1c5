//! Warm-up state of the local backend server, shared by the parts of the node.

use std::sync::{Mutex, PoisonError};

use swiftcart_core::{ColdBounds, Instant, Refusal, Warmup};

/// Admission limits of the backend server while it is cold.
#[derive(Debug)]
pub struct SharedWarmup(Mutex<Warmup>);

impl SharedWarmup {
    /// Creates the state of a process that starts at `now`.
    #[must_use]
    pub const fn new(now: Instant, bounds: ColdBounds) -> Self {
        Self(Mutex::new(Warmup::new(now, bounds)))
    }

    /// Returns `true` if the backend server is cold.
    #[must_use]
    pub fn is_cold(&self, now: Instant) -> bool {
        self.with(|warmup| warmup.is_cold(now))
    }

    /// Checks that a request may be sent to the backend server now.
    ///
    /// # Errors
    ///
    /// Returns the refusal of [`Warmup::may_enter`].
    pub fn may_enter(&self, now: Instant) -> Result<(), Refusal> {
        self.with(|warmup| warmup.may_enter(now))
    }

    /// Counts a request that is sent to the backend server now.
    ///
    /// # Errors
    ///
    /// Returns the refusal of [`Warmup::take`].
    pub fn take(&self, now: Instant) -> Result<(), Refusal> {
        self.with(|warmup| warmup.take(now))
    }

    /// Calls `f` with the locked warm-up state.
    pub fn with<T>(&self, f: impl FnOnce(&mut Warmup) -> T) -> T {
        f(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

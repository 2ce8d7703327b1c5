//! Whether the backend server is cold, between the calls that ask and those who learn of it.

use std::sync::{Mutex, PoisonError};

use swiftcart_core::{ColdBounds, Instant, Refusal, Warmup};

/// Holds what the backend server is handed while it is cold.
#[derive(Debug)]
pub struct SharedWarmup(Mutex<Warmup>);

impl SharedWarmup {
    /// Creates the state of a process that starts now.
    #[must_use]
    pub const fn new(now: Instant, bounds: ColdBounds) -> Self {
        Self(Mutex::new(Warmup::new(now, bounds)))
    }

    /// Tells whether the backend server is cold.
    #[must_use]
    pub fn is_cold(&self, now: Instant) -> bool {
        self.with(|warmup| warmup.is_cold(now))
    }

    /// Tells whether a request may be handed over now.
    ///
    /// # Errors
    ///
    /// The refusal of [`Warmup::may_enter`].
    pub fn may_enter(&self, now: Instant) -> Result<(), Refusal> {
        self.with(|warmup| warmup.may_enter(now))
    }

    /// Counts a request that is handed over now.
    ///
    /// # Errors
    ///
    /// The refusal of [`Warmup::take`].
    pub fn take(&self, now: Instant) -> Result<(), Refusal> {
        self.with(|warmup| warmup.take(now))
    }

    /// Gives access to all of it.
    pub fn with<T>(&self, f: impl FnOnce(&mut Warmup) -> T) -> T {
        f(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

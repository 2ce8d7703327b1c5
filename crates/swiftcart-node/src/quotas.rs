//! The counts of client accounts, between the calls that count and the control loop that tells them.

use std::sync::{Mutex, PoisonError};

use rand::Rng;
use swiftcart_core::{Instant, QuotaMeter, Refusal, RequestTiming, ResolvedAccount};

use crate::calls::with_rng;

/// Holds what this node has counted for each account.
#[derive(Debug)]
pub struct Quotas {
    meter: Mutex<QuotaMeter>,
}

impl Quotas {
    /// Creates counts of a process that has counted nothing.
    #[must_use]
    pub fn new() -> Self {
        let epoch = rand::rng().random();
        Self {
            meter: Mutex::new(QuotaMeter::new(epoch)),
        }
    }

    /// Counts a request of an account, and tells whether its quota lets it through.
    ///
    /// # Errors
    ///
    /// The refusal of [`QuotaMeter::admit`].
    pub fn admit(
        &self,
        now: Instant,
        account: &ResolvedAccount,
        timing: RequestTiming,
    ) -> Result<(), Refusal> {
        match account.quota {
            Some(quota) => {
                with_rng(|rng| self.with(|meter| meter.admit(now, account.tag, quota, timing, rng)))
            }
            None => Ok(()),
        }
    }

    /// Gives back the part of a request that did not run.
    pub fn cancel_admission(&self, account: &ResolvedAccount) {
        if account.quota.is_some() {
            self.with(|meter| meter.cancel_admission(account.tag));
        }
    }

    /// Gives access to the meter.
    pub fn with<T>(&self, f: impl FnOnce(&mut QuotaMeter) -> T) -> T {
        f(&mut self.meter.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

impl Default for Quotas {
    fn default() -> Self {
        Self::new()
    }
}

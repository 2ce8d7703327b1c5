//! Request counts of client accounts, shared by calls and the control loop.

use std::sync::{Mutex, PoisonError};

use rand::Rng;
use swiftcart_core::{Instant, QuotaMeter, QuotaRequest, Refusal, ResolvedAccount};

use crate::calls::with_rng;

/// Quota meter of this node, which calls update and the control loop reports to other nodes.
#[derive(Debug)]
pub struct Quotas {
    meter: Mutex<QuotaMeter>,
}

impl Quotas {
    /// Creates a meter without any counts, under a random epoch.
    #[must_use]
    pub fn new() -> Self {
        let epoch = rand::rng().random();
        Self {
            meter: Mutex::new(QuotaMeter::new(epoch)),
        }
    }

    /// Counts a request of an account and checks it against the quota of the account.
    ///
    /// # Errors
    ///
    /// Returns the refusal of [`QuotaMeter::admit`].
    pub fn admit(
        &self,
        now: Instant,
        account: &ResolvedAccount,
        request: QuotaRequest,
    ) -> Result<(), Refusal> {
        match account.quota {
            Some(quota) => with_rng(|rng| {
                self.with(|meter| meter.admit(now, account.tag, quota, request, rng))
            }),
            None => Ok(()),
        }
    }

    /// Returns the quota that an admitted request used, since the request did not run.
    pub fn cancel_admission(&self, now: Instant, account: &ResolvedAccount) {
        if account.quota.is_some() {
            self.with(|meter| meter.cancel_admission(now, account.tag));
        }
    }

    /// Calls `f` with the locked meter.
    pub fn with<T>(&self, f: impl FnOnce(&mut QuotaMeter) -> T) -> T {
        f(&mut self.meter.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

impl Default for Quotas {
    fn default() -> Self {
        Self::new()
    }
}

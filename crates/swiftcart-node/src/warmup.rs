//! Whether the backend server is cold, and what it may be handed then.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use swiftcart_core::{ColdBounds, ColdStart, HandOvers, Instant, Reason, Refusal};

/// Holds back what a cold backend server would not bear.
#[derive(Debug)]
pub struct Warmup {
    bounds: ColdBounds,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    /// What a cold one bears; `None` sets no limit.
    cold: Option<ColdStart>,
    handed: HandOvers,
    /// Until when the backend server says that it is cold.
    until: Instant,
    /// Until when it may be cold without having said so.
    unsure: Instant,
}

impl Warmup {
    /// Creates the state of a process that starts now.
    #[must_use]
    pub const fn new(now: Instant, bounds: ColdBounds) -> Self {
        Self {
            bounds,
            state: Mutex::new(State {
                cold: None,
                handed: HandOvers::new(now),
                until: now,
                unsure: now,
            }),
        }
    }

    /// Takes over what a cold backend server of the service bears.
    pub fn set_cold(&self, cold: Option<ColdStart>) {
        self.lock().cold = cold;
    }

    /// Takes over until when the backend server says that it is cold.
    pub fn announced(&self, until: Instant) {
        let mut state = self.lock();
        state.until = until;
        state.unsure = Instant::default();
    }

    /// Takes the backend server for cold until it says something, for a while at most: it had
    /// nothing to do.
    pub fn doubt(&self, now: Instant) {
        let mut state = self.lock();
        let lasts = state.cold.map_or(0, |cold| cold.lasts_ms);
        state.unsure = now + Duration::from_millis(lasts.into());
    }

    /// Tells whether the backend server is cold.
    #[must_use]
    pub fn is_cold(&self, now: Instant) -> bool {
        self.lock().cold(now).is_some()
    }

    /// Tells whether a request may be handed over now.
    ///
    /// # Errors
    ///
    /// [`Reason::Warming`] with the time after which one may.
    pub fn may_enter(&self, now: Instant) -> Result<(), Refusal> {
        self.lock().may_enter(now, self.bounds)
    }

    /// Counts a request that is handed over now.
    ///
    /// # Errors
    ///
    /// The same as [`may_enter`](Self::may_enter).
    pub fn take(&self, now: Instant) -> Result<(), Refusal> {
        let mut state = self.lock();
        state.may_enter(now, self.bounds)?;
        if state.cold.is_some() {
            state.handed.note(now);
        }
        Ok(())
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Returns what the backend server bears, while it is cold.
    fn cold(&self, now: Instant) -> Option<ColdStart> {
        self.cold.filter(|_| now < self.until.max(self.unsure))
    }

    fn may_enter(&mut self, now: Instant, bounds: ColdBounds) -> Result<(), Refusal> {
        let Some(cold) = self.cold(now) else {
            return Ok(());
        };
        match self.handed.wait(now, bounds.most(cold)) {
            Some(wait) => Err(Refusal::new(Reason::Warming).with_retry(wait)),
            None => Ok(()),
        }
    }
}

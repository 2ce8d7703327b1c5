//! Whether the backend server is cold, and what it may be handed then.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use swiftcart_core::{ColdBounds, ColdStart, HandOvers, Instant, Reason, Refusal};

/// When to come back to a node that does not know what its cold backend server bears: a version
/// is there some hundred milliseconds after a start.
const UNKNOWN: Duration = Duration::from_millis(200);

/// Holds back what a cold backend server would not bear.
#[derive(Debug)]
pub struct Warmup {
    bounds: ColdBounds,
    state: Mutex<State>,
}

/// What is known of what a cold backend server bears.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub enum ColdRule {
    /// Nothing: no version is known yet.
    #[default]
    Unknown,
    /// As much as any other.
    Unlimited,
    /// So much.
    Limited(ColdStart),
}

#[derive(Debug)]
struct State {
    rule: ColdRule,
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
                rule: ColdRule::Unknown,
                handed: HandOvers::new(now),
                until: now,
                unsure: now,
            }),
        }
    }

    /// Takes over what a cold backend server of the service bears.
    pub fn set_rule(&self, rule: ColdRule) {
        self.lock().rule = rule;
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
        let lasts = match state.rule {
            ColdRule::Limited(cold) => cold.lasts_ms,
            ColdRule::Unknown | ColdRule::Unlimited => 0,
        };
        state.unsure = now + Duration::from_millis(lasts.into());
    }

    /// Tells whether the backend server is cold.
    #[must_use]
    pub fn is_cold(&self, now: Instant) -> bool {
        let state = self.lock();
        state.is_cold(now) && matches!(state.rule, ColdRule::Limited(_))
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
        if state.rule != ColdRule::Unlimited {
            state.handed.note(now);
        }
        Ok(())
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn is_cold(&self, now: Instant) -> bool {
        now < self.until.max(self.unsure)
    }

    fn may_enter(&mut self, now: Instant, bounds: ColdBounds) -> Result<(), Refusal> {
        let wait = match self.rule {
            _ if !self.is_cold(now) => None,
            ColdRule::Unlimited => None,
            ColdRule::Unknown => Some(UNKNOWN),
            ColdRule::Limited(cold) => self.handed.wait(now, bounds.most(cold)),
        };
        match wait {
            Some(wait) => Err(Refusal::new(Reason::Warming).with_retry(wait)),
            None => Ok(()),
        }
    }
}

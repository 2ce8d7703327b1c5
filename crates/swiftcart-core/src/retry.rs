//! Retries: who may try again, how often, and from which budget.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use crate::rate::Bucket;
use crate::{Deadline, HOP_ALLOWANCE, Instant, NodeId, Outcome, Reason};

/// The tries that one call gets over all its levels.
pub const MAX_ATTEMPTS: u8 = 3;

/// Counts the tries that were made of a call before this one, over all levels.
///
/// It travels with the call. A level that gets a call with an attempt above
/// [`Attempt::FIRST`] does not retry it.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Attempt(pub u8);

impl Attempt {
    /// The first try of a call.
    pub const FIRST: Self = Self(0);
}

impl fmt::Display for Attempt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for Attempt {
    type Err = ParseIntError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        s.trim().parse().map(Self)
    }
}

/// Describes a try that failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Failure {
    /// Why it failed.
    pub reason: Reason,
    /// Whether the answer says that a level below has retried already.
    pub retried: bool,
}

/// Counts the tries that this level makes of one call.
///
/// Only one level of a call retries: the one that sees the first failure. Below
/// it the attempt number is above 0, and above it the answer is marked as
/// retried. So a call through any number of levels reaches the lowest one at
/// most [`MAX_ATTEMPTS`] times, where retries at each level would multiply.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use swiftcart_core::{
///     Attempt, Deadline, Failure, Instant, Reason, RetryBudget, RetrySettings, RetryState,
/// };
///
/// let now = Instant::from_millis(0);
/// let due = Deadline::new(now, Duration::from_secs(1));
/// let mut budget = RetryBudget::new(now, RetrySettings::default());
/// let mut tries = RetryState::new(Attempt::FIRST);
/// let failure = Failure { reason: Reason::Draining, retried: false };
/// assert_eq!(tries.retry(now, failure, false, due, &mut budget), Ok(Attempt(1)));
/// assert!(tries.retried());
///
/// let mut below = RetryState::new(Attempt(1));
/// let refused = below.retry(now, failure, false, due, &mut budget);
/// assert_eq!(refused, Err(Reason::TriesSpent));
/// ```
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Hash)]
pub struct RetryState {
    received: Attempt,
    extra: u8,
}

impl RetryState {
    /// Creates the count for a call that came with `received`.
    #[must_use]
    pub const fn new(received: Attempt) -> Self {
        Self { received, extra: 0 }
    }

    /// Returns the attempt to send with the current try.
    #[must_use]
    pub const fn attempt(self) -> Attempt {
        Attempt(self.received.0.saturating_add(self.extra))
    }

    /// Tells whether the answer has to be marked as retried.
    #[must_use]
    pub const fn retried(self) -> bool {
        self.extra > 0
    }

    /// Decides whether the call may be tried again, and counts the try if so.
    ///
    /// `idempotent` says whether the request may run twice without harm. A try
    /// that may have run is repeated only then.
    ///
    /// # Errors
    ///
    /// The reason why it may not: [`Reason::TriesSpent`], [`Reason::NotIdempotent`],
    /// [`Reason::DeadlinePassed`], [`Reason::RetryBudget`], or the failure's own
    /// reason when no other try could go better.
    pub fn retry(
        &mut self,
        now: Instant,
        failure: Failure,
        idempotent: bool,
        due: Deadline,
        budget: &mut RetryBudget,
    ) -> Result<Attempt, Reason> {
        match failure.reason {
            reason if !goes_better(reason) => Err(reason),
            _ if failure.retried || self.received > Attempt::FIRST => Err(Reason::TriesSpent),
            _ if self.extra + 1 >= MAX_ATTEMPTS => Err(Reason::TriesSpent),
            reason if reason.outcome() == Outcome::Unknown && !idempotent => {
                Err(Reason::NotIdempotent)
            }
            _ if due.misses(now, HOP_ALLOWANCE) => Err(Reason::DeadlinePassed),
            _ if !budget.take(now) => Err(Reason::RetryBudget),
            _ => {
                self.extra += 1;
                Ok(self.attempt())
            }
        }
    }
}

/// The tries beyond the first that guards may refuse before a request is given up.
///
/// A guard's refusal costs a round trip and nothing at a backend server, so that it draws
/// on no budget; but under overload every guard refuses.
pub const MAX_GUARD_REFUSALS: u8 = 6;

/// The times that one request is sent to backend servers at most.
///
/// A route's attempts bound the backend servers that a request is sent to; one that has
/// refused to run it may be asked again.
pub const MAX_BACKEND_SENDS: u8 = 5;

/// Holds what a route's policy says of tries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct RetryPolicy {
    /// Whether the request may be executed more than once.
    pub idempotent: bool,
    /// Backend servers that it may be sent to.
    pub attempts: u8,
}

/// Tells where the next try of a request may go.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RetryTarget {
    /// To a backend server that was not tried.
    Other,
    /// To one that it was sent to before; it may not be sent to any more of them.
    Same,
}

/// Counts the tries of one request under a route's policy.
///
/// Only what a backend server was sent counts against the attempts and the budget. A guard
/// that refuses has sent nothing on.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use swiftcart_core::{Deadline, Instant, RetryTarget, NodeId, PolicyRetryState, Reason, RetryPolicy};
///
/// let now = Instant::from_millis(0);
/// let due = Deadline::new(now, Duration::from_secs(1));
/// let terms = RetryPolicy { idempotent: false, attempts: 1 };
/// let guard = NodeId(([10, 0, 0, 1], 7000).into());
/// let mut tries = PolicyRetryState::default();
/// let full = tries.retry(now, guard, Reason::QueueFull, terms, due, || false);
/// assert_eq!(full, Ok(RetryTarget::Other));
/// assert_eq!(tries.retry(now, guard, Reason::Shed, terms, due, || true), Ok(RetryTarget::Same));
/// let lost = tries.retry(now, guard, Reason::AnswerBroken, terms, due, || true);
/// assert_eq!(lost, Err(Reason::NotIdempotent));
/// ```
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct PolicyRetryState {
    /// The guards whose backend server got the request, or may have.
    reached: Vec<NodeId>,
    /// The times that a backend server got it, or may have.
    sent: u8,
    /// Tries that a guard refused.
    refused: u8,
    /// Whether the budget was asked for the next arrival at a backend server.
    paid: bool,
}

impl PolicyRetryState {
    /// Returns the guards whose backend server got the request, or may have.
    #[must_use]
    pub fn reached(&self) -> &[NodeId] {
        &self.reached
    }

    /// Tells whether the next try is a repeat for the backend servers.
    #[must_use]
    pub const fn is_retry(&self) -> bool {
        self.sent > 0
    }

    /// Decides whether the request may be tried again after it failed for `reason` at `guard`.
    ///
    /// `budget` takes one retry out of the budget; it is called last, only when a backend
    /// server got the request before, and once for each time that another one may get it.
    ///
    /// # Errors
    ///
    /// The reason why it may not: [`Reason::TriesSpent`], [`Reason::NotIdempotent`],
    /// [`Reason::DeadlinePassed`], [`Reason::RetryBudget`], or the failure's own
    /// reason when no other try could go better.
    pub fn retry(
        &mut self,
        now: Instant,
        guard: NodeId,
        reason: Reason,
        terms: RetryPolicy,
        due: Deadline,
        budget: impl FnOnce() -> bool,
    ) -> Result<RetryTarget, Reason> {
        self.count(guard, reason);
        let spent = self.reached.len() >= usize::from(terms.attempts);
        match reason {
            _ if !goes_better(reason) => Err(reason),
            _ if reason.outcome() == Outcome::Unknown && !terms.idempotent => {
                Err(Reason::NotIdempotent)
            }
            _ if self.sent >= MAX_BACKEND_SENDS || self.refused > MAX_GUARD_REFUSALS => {
                Err(Reason::TriesSpent)
            }
            _ if spent && reason != Reason::Shed => Err(Reason::TriesSpent),
            _ if due.misses(now, HOP_ALLOWANCE) => Err(Reason::DeadlinePassed),
            _ if self.sent > 0 && !self.paid && !budget() => Err(Reason::RetryBudget),
            _ => {
                self.paid = self.sent > 0;
                Ok(if spent {
                    RetryTarget::Same
                } else {
                    RetryTarget::Other
                })
            }
        }
    }

    fn count(&mut self, guard: NodeId, reason: Reason) {
        if !has_arrived(reason) {
            self.refused = self.refused.saturating_add(1);
            return;
        }
        self.sent = self.sent.saturating_add(1);
        self.paid = false;
        if !self.reached.contains(&guard) {
            self.reached.push(guard);
        }
    }
}

/// Tells whether a try that failed so reached a backend server, or may have.
const fn has_arrived(reason: Reason) -> bool {
    matches!(reason, Reason::Shed) || matches!(reason.outcome(), Outcome::Unknown)
}

/// Sets how many retries a node makes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetrySettings {
    /// Retries for each first try.
    pub share: f64,
    /// Retries a second that are there whatever the load.
    pub floor: f64,
    /// Retries that can be saved up.
    pub burst: f64,
}

impl Default for RetrySettings {
    fn default() -> Self {
        Self {
            share: 0.1,
            floor: 1.0,
            burst: 10.0,
        }
    }
}

/// Bounds a node's retries to a share of its first tries.
///
/// In any time the retries stay at or below
/// `burst + floor * seconds + share * first tries`.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudget {
    share: f64,
    bucket: Bucket,
}

impl RetryBudget {
    /// Creates a full budget.
    #[must_use]
    pub const fn new(now: Instant, settings: RetrySettings) -> Self {
        Self {
            share: settings.share,
            bucket: Bucket::new(now, settings.floor, settings.burst, settings.burst),
        }
    }

    /// Counts a first try.
    pub const fn first(&mut self) {
        self.bucket.add(self.share);
    }

    /// Takes one retry out of the budget, if there is one.
    pub fn take(&mut self, now: Instant) -> bool {
        self.bucket.take(now)
    }
}

/// Tells whether another try, at another guard perhaps, can end better.
const fn goes_better(reason: Reason) -> bool {
    match reason {
        Reason::NotReady
        | Reason::QueueFull
        | Reason::LinkBusy
        | Reason::Overloaded
        | Reason::Throttled
        | Reason::RateLimited
        | Reason::Draining
        | Reason::Warming
        | Reason::OnTrial
        | Reason::Stopping
        | Reason::ClaimLapsed
        | Reason::CatchingUp
        | Reason::LedgerFull
        | Reason::ClaimRule
        | Reason::AnswerDropped
        | Reason::Misdirected
        | Reason::TooManyConnections
        | Reason::Shed
        | Reason::ConnectFailed
        | Reason::PeerUnreachable
        | Reason::AnswerBroken
        | Reason::Crashed
        | Reason::ServerError
        | Reason::Timeout => true,
        Reason::NoRoute
        | Reason::NoHome
        | Reason::Quarantined
        | Reason::NoBackend
        | Reason::DeadlinePassed
        | Reason::PlatformDown
        | Reason::KeyReused
        | Reason::KeyInProgress
        | Reason::KeyUnknown
        | Reason::AnswerTooLarge
        | Reason::BadRequest
        | Reason::HeaderTooLarge
        | Reason::BodyTooLarge
        | Reason::CallerGone
        | Reason::RetryBudget
        | Reason::NotIdempotent
        | Reason::TriesSpent
        | Reason::Unauthenticated
        | Reason::OverQuota => false,
    }
}

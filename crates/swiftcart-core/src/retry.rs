//! Retries: eligibility, limits and budgets.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use crate::rate::TokenBucket;
use crate::{Deadline, HOP_ALLOWANCE, Instant, NodeId, Outcome, Reason};

/// Maximum number of attempts of one call over all levels of the call chain.
pub const MAX_ATTEMPTS: u8 = 3;

/// Number of preceding attempts of the same call, over all levels of the call chain.
///
/// The number is forwarded with the call. A level that receives a call with an attempt above
/// [`Attempt::FIRST`] does not retry it.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Attempt(pub u8);

impl Attempt {
    /// First attempt of a call.
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

/// Failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Failure {
    /// Reason for the failure.
    pub reason: Reason,
    /// `true` if the response says that a lower level has already retried.
    pub retried: bool,
}

/// Retry state of one call at this level of the call chain.
///
/// Only the level that sees the first failure of a call retries it. Levels below it receive an
/// attempt number above 0, and levels above it receive a response marked as retried. The lowest
/// level is therefore reached at most [`MAX_ATTEMPTS`] times, whatever the number of levels. If
/// every level retried, the attempts would multiply.
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
/// let mut state = RetryState::new(Attempt::FIRST);
/// let failure = Failure { reason: Reason::Draining, retried: false };
/// assert_eq!(state.retry(now, failure, false, due, &mut budget), Ok(Attempt(1)));
/// assert!(state.retried());
///
/// let mut below = RetryState::new(Attempt(1));
/// let refused = below.retry(now, failure, false, due, &mut budget);
/// assert_eq!(refused, Err(Reason::TriesSpent));
/// ```
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Hash)]
pub struct RetryState {
    received: Attempt,
    retries: u8,
}

impl RetryState {
    /// Creates the state of a call that arrived with attempt number `received`.
    #[must_use]
    pub const fn new(received: Attempt) -> Self {
        Self {
            received,
            retries: 0,
        }
    }

    /// Returns the attempt number to send with the current attempt.
    #[must_use]
    pub const fn attempt(self) -> Attempt {
        Attempt(self.received.0.saturating_add(self.retries))
    }

    /// Returns `true` if the response has to be marked as retried.
    #[must_use]
    pub const fn retried(self) -> bool {
        self.retries > 0
    }

    /// Decides whether the call may be retried, and counts the retry if so.
    ///
    /// `idempotent` is `true` if the request may be executed twice without harm. An attempt that
    /// may have been executed is retried only in this case.
    ///
    /// # Errors
    ///
    /// Returns the reason why the call may not be retried: [`Reason::TriesSpent`],
    /// [`Reason::NotIdempotent`], [`Reason::DeadlinePassed`], [`Reason::RetryBudget`], or the
    /// reason of the failure itself if a retry cannot succeed.
    pub fn retry(
        &mut self,
        now: Instant,
        failure: Failure,
        idempotent: bool,
        due: Deadline,
        budget: &mut RetryBudget,
    ) -> Result<Attempt, Reason> {
        match failure.reason {
            reason if !is_retryable(reason) => Err(reason),
            _ if failure.retried || self.received > Attempt::FIRST => Err(Reason::TriesSpent),
            _ if self.retries + 1 >= MAX_ATTEMPTS => Err(Reason::TriesSpent),
            reason if reason.outcome() == Outcome::Unknown && !idempotent => {
                Err(Reason::NotIdempotent)
            }
            _ if due.misses(now, HOP_ALLOWANCE) => Err(Reason::DeadlinePassed),
            _ if !budget.take(now) => Err(Reason::RetryBudget),
            _ => {
                self.retries += 1;
                Ok(self.attempt())
            }
        }
    }
}

/// Maximum number of retries of one request after refusals by guards.
///
/// A refusal by a guard costs a round trip but no work at a backend server, so it does not consume
/// the retry budget. The number is limited because under overload every guard refuses.
pub const MAX_GUARD_REFUSALS: u8 = 6;

/// Maximum number of times that one request is sent to backend servers.
///
/// The attempts of a route limit the number of different backend servers. A backend server that
/// refused to execute the request may be tried again.
pub const MAX_BACKEND_SENDS: u8 = 5;

/// Retry policy of a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct RetryPolicy {
    /// `true` if the request may be executed more than once.
    pub idempotent: bool,
    /// Maximum number of backend servers that the request may be sent to.
    pub attempts: u8,
}

/// Target of the next attempt of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RetryTarget {
    /// A backend server that has not received the request.
    Other,
    /// A backend server that has already received the request, because no further ones are allowed.
    Same,
}

/// Retry state of one request under the policy of its route.
///
/// Only attempts that reached a backend server count against the attempts and the budget. A guard
/// that refuses a request has not forwarded it.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use swiftcart_core::{
///     Deadline, Instant, NodeId, PolicyRetryState, Reason, RetryPolicy, RetryTarget,
/// };
///
/// let now = Instant::from_millis(0);
/// let due = Deadline::new(now, Duration::from_secs(1));
/// let policy = RetryPolicy { idempotent: false, attempts: 1 };
/// let guard = NodeId(([10, 0, 0, 1], 7000).into());
/// let mut state = PolicyRetryState::default();
/// let full = state.retry(now, guard, Reason::QueueFull, policy, due, || false);
/// assert_eq!(full, Ok(RetryTarget::Other));
/// assert_eq!(state.retry(now, guard, Reason::Shed, policy, due, || true), Ok(RetryTarget::Same));
/// let lost = state.retry(now, guard, Reason::AnswerBroken, policy, due, || true);
/// assert_eq!(lost, Err(Reason::NotIdempotent));
/// ```
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct PolicyRetryState {
    /// Guards whose backend server received, or may have received, the request.
    reached: Vec<NodeId>,
    /// Number of times that a backend server received, or may have received, the request.
    sent: u8,
    /// Number of attempts that reached no backend server, for example because a guard refused them.
    refused: u8,
    /// `true` if the budget has already been charged for the next attempt that reaches a backend
    /// server.
    budget_charged: bool,
}

impl PolicyRetryState {
    /// Returns the guards whose backend server received, or may have received, the request.
    #[must_use]
    pub fn reached(&self) -> &[NodeId] {
        &self.reached
    }

    /// Returns `true` if a backend server received, or may have received, an earlier attempt.
    #[must_use]
    pub const fn is_retry(&self) -> bool {
        self.sent > 0
    }

    /// Decides whether the request may be retried after it failed for `reason` at `guard`.
    ///
    /// `budget` takes one retry out of the budget and returns `true` if there was one. It is called
    /// after all other checks, only if a backend server may have received an earlier attempt, and
    /// only once for each further attempt that may reach a backend server.
    ///
    /// # Errors
    ///
    /// Returns the reason why the request may not be retried: [`Reason::TriesSpent`],
    /// [`Reason::NotIdempotent`], [`Reason::DeadlinePassed`], [`Reason::RetryBudget`], or the
    /// reason of the failure itself if a retry cannot succeed.
    pub fn retry(
        &mut self,
        now: Instant,
        guard: NodeId,
        reason: Reason,
        policy: RetryPolicy,
        due: Deadline,
        budget: impl FnOnce() -> bool,
    ) -> Result<RetryTarget, Reason> {
        self.count(guard, reason);
        let spent = self.reached.len() >= usize::from(policy.attempts);
        match reason {
            _ if !is_retryable(reason) => Err(reason),
            _ if reason.outcome() == Outcome::Unknown && !policy.idempotent => {
                Err(Reason::NotIdempotent)
            }
            _ if self.sent >= MAX_BACKEND_SENDS || self.refused > MAX_GUARD_REFUSALS => {
                Err(Reason::TriesSpent)
            }
            _ if spent && reason != Reason::Shed => Err(Reason::TriesSpent),
            _ if due.misses(now, HOP_ALLOWANCE) => Err(Reason::DeadlinePassed),
            _ if self.sent > 0 && !self.budget_charged && !budget() => Err(Reason::RetryBudget),
            _ => {
                self.budget_charged = self.sent > 0;
                Ok(if spent {
                    RetryTarget::Same
                } else {
                    RetryTarget::Other
                })
            }
        }
    }

    fn count(&mut self, guard: NodeId, reason: Reason) {
        if !may_have_reached(reason) {
            self.refused = self.refused.saturating_add(1);
            return;
        }
        self.sent = self.sent.saturating_add(1);
        self.budget_charged = false;
        if !self.reached.contains(&guard) {
            self.reached.push(guard);
        }
    }
}

/// Returns `true` if an attempt that failed for `reason` reached, or may have reached, a backend
/// server.
const fn may_have_reached(reason: Reason) -> bool {
    matches!(reason, Reason::Shed) || matches!(reason.outcome(), Outcome::Unknown)
}

/// Settings for the retry budget of a node.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetrySettings {
    /// Retries allowed per first attempt.
    pub share: f64,
    /// Retries allowed per second regardless of the load.
    pub floor: f64,
    /// Maximum number of retries that can accumulate.
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

/// Retry budget that limits a node's retries to a share of its first attempts.
///
/// Over any period the number of retries is at most
/// `burst + floor * seconds + share * first attempts`.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudget {
    share: f64,
    bucket: TokenBucket,
}

impl RetryBudget {
    /// Creates a full budget.
    #[must_use]
    pub const fn new(now: Instant, settings: RetrySettings) -> Self {
        Self {
            share: settings.share,
            bucket: TokenBucket::new(now, settings.floor, settings.burst, settings.burst),
        }
    }

    /// Records a first attempt.
    pub const fn first(&mut self) {
        self.bucket.add(self.share);
    }

    /// Takes one retry out of the budget and returns `true` if there was one.
    pub fn take(&mut self, now: Instant) -> bool {
        self.bucket.take(now)
    }
}

/// Returns `true` if another attempt, possibly at another guard, may succeed.
const fn is_retryable(reason: Reason) -> bool {
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
        | Reason::OverQuota
        | Reason::NoRoom => false,
    }
}

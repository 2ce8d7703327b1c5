//! What a caller is told about its request: the outcome, and the reason of a refusal or failure.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Tells a caller what became of its request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The backend server gave a whole answer.
    Done,
    /// The request never reached a backend server.
    NotRun,
    /// The request was handed over and no whole answer came back.
    Unknown,
}

impl Outcome {
    /// Returns the name used in headers, logs and metrics.
    ///
    /// # Examples
    ///
    /// ```
    /// assert_eq!(swiftcart_core::Outcome::NotRun.as_str(), "not-run");
    /// ```
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Declares [`Reason`] from one table, so that no list of its variants can miss one.
macro_rules! reasons {
    ($($(#[doc = $doc:literal])+ $variant:ident, $name:literal, $status:literal, $outcome:ident;)+) => {
        /// Tells why a node refused a request or could not finish it.
        ///
        /// The set is closed: each reason has one counter, one HTTP status and one
        /// [`Outcome`]. Where a reason can be met both before and after the
        /// hand-over to a backend server, its outcome is the careful one, `unknown`.
        #[derive(
            Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(rename_all = "kebab-case")]
        pub enum Reason {
            $($(#[doc = $doc])+ $variant,)+
        }

        impl Reason {
            /// Every reason, for registering counters.
            pub const ALL: &'static [Self] = &[$(Self::$variant),+];

            /// Returns the name used in headers, logs and metrics.
            ///
            /// # Examples
            ///
            /// ```
            /// assert_eq!(swiftcart_core::Reason::QueueFull.as_str(), "queue-full");
            /// ```
            #[must_use]
            pub const fn as_str(self) -> &'static str {
                match self {
                    $(Self::$variant => $name,)+
                }
            }

            /// Returns what has happened, in one sentence.
            ///
            /// # Examples
            ///
            /// ```
            /// let meaning = swiftcart_core::Reason::CallerGone.meaning();
            /// assert_eq!(meaning, "The caller went away.");
            /// ```
            #[must_use]
            pub fn meaning(self) -> &'static str {
                let text = match self {
                    $(Self::$variant => concat!($($doc),+),)+
                };
                text.trim()
            }

            /// Returns the HTTP status of an answer that a node makes for this reason.
            #[must_use]
            pub const fn status(self) -> u16 {
                match self {
                    $(Self::$variant => $status,)+
                }
            }

            /// Returns what the caller may conclude about its request.
            #[must_use]
            pub const fn outcome(self) -> Outcome {
                match self {
                    $(Self::$variant => Outcome::$outcome,)+
                }
            }
        }
    };
}

reasons! {
    /// No route of the table takes the path.
    NoRoute, "no-route", 404, NotRun;
    /// The table routes the path, and no backend server of its services is known.
    NoBackend, "no-backend", 503, NotRun;
    /// No backend server that takes new work is in a region in which the request may be run.
    NoHome, "no-home", 503, NotRun;
    /// Backend servers are known, and none of them takes new work.
    NotReady, "not-ready", 503, NotRun;
    /// The guard's queue holds as many requests as it may.
    QueueFull, "queue-full", 503, NotRun;
    /// Long answers fill the link of the guard's instance.
    LinkBusy, "link-busy", 503, NotRun;
    /// The guard expects the wait in its queue to be too long.
    Overloaded, "overloaded", 503, NotRun;
    /// The backend server gets as many requests a second as it has named.
    Throttled, "throttled", 503, NotRun;
    /// The deadline passed, or cannot be met any more, before the hand-over.
    DeadlinePassed, "deadline-passed", 504, NotRun;
    /// The service's rate limit has no token left at this guard.
    RateLimited, "rate-limited", 429, NotRun;
    /// The backend server finishes what it has and takes no new work.
    Draining, "draining", 503, NotRun;
    /// The backend server is starting.
    Warming, "warming", 503, NotRun;
    /// The backend server's release is on trial, and has run what it may for now.
    OnTrial, "on-trial", 503, NotRun;
    /// The node is stopping.
    Stopping, "stopping", 503, NotRun;
    /// The platform's log, which holds the claims, cannot be reached.
    PlatformDown, "platform-down", 503, NotRun;
    /// The idempotency key came before with another body.
    KeyReused, "key-reused", 422, NotRun;
    /// A request with the same idempotency key is still running.
    KeyInProgress, "key-in-progress", 409, Unknown;
    /// A request with the same idempotency key was handed over and its answer is lost.
    KeyUnknown, "key-unknown", 502, Unknown;
    /// The node has not read the claims of the key's partition to their end yet.
    CatchingUp, "catching-up", 503, NotRun;
    /// No more idempotency keys can be remembered until some expire.
    LedgerFull, "ledger-full", 503, NotRun;
    /// A newer release wrote claims that this one cannot judge.
    ClaimRule, "claim-rule", 503, NotRun;
    /// The claim's time was over before the hand-over.
    ClaimLapsed, "claim-lapsed", 503, NotRun;
    /// The answer is larger than a node keeps for an idempotency key.
    AnswerTooLarge, "answer-too-large", 502, Unknown;
    /// The answer did not fit this node's memory for answers.
    AnswerDropped, "answer-dropped", 502, Unknown;
    /// The request is malformed.
    BadRequest, "bad-request", 400, NotRun;
    /// The request's header is larger than a node takes.
    HeaderTooLarge, "header-too-large", 431, NotRun;
    /// The request's body is larger than a node takes.
    BodyTooLarge, "body-too-large", 413, NotRun;
    /// The node beside the backend server does not serve the service that was asked for.
    Misdirected, "misdirected", 421, NotRun;
    /// The node holds as many connections as it may.
    TooManyConnections, "too-many-connections", 503, NotRun;
    /// The backend server says that it did not run the request.
    Shed, "shed", 503, NotRun;
    /// The backend server did not take the connection.
    ConnectFailed, "connect-failed", 502, NotRun;
    /// The other node did not take the connection.
    PeerUnreachable, "peer-unreachable", 502, NotRun;
    /// The answer broke off, or was no HTTP, after the hand-over.
    AnswerBroken, "answer-broken", 502, Unknown;
    /// Backend servers have ended under this request; it is not handed to another one for now.
    Quarantined, "quarantined", 503, NotRun;
    /// The backend server ended while it was running the request.
    Crashed, "crashed", 502, Unknown;
    /// The backend server answered that it has failed.
    ServerError, "server-error", 502, Unknown;
    /// No whole answer came within the deadline, after the hand-over.
    Timeout, "timeout", 504, Unknown;
    /// The caller went away.
    CallerGone, "caller-gone", 499, Unknown;
    /// A retry was refused: the retry budget is empty.
    RetryBudget, "retry-budget", 503, Unknown;
    /// A retry was refused: the request may have run and is not idempotent.
    NotIdempotent, "not-idempotent", 502, Unknown;
    /// A retry was refused: this level or another one has made the tries allowed.
    TriesSpent, "tries-spent", 502, Unknown;
    /// The request has no key of a client account, and its route is not public.
    Unauthenticated, "unauthenticated", 401, NotRun;
    /// The client account has sent more than its quota.
    OverQuota, "over-quota", 429, NotRun;
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Says that a request is not taken, and when coming back can help.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Refusal {
    /// Why the request is not taken.
    pub reason: Reason,
    /// The time after which the caller should come back, when that can help.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Creates a refusal that coming back does not mend.
    #[must_use]
    pub const fn new(reason: Reason) -> Self {
        Self {
            reason,
            retry_after: None,
        }
    }

    /// Says after which time the caller should come back.
    #[must_use]
    pub const fn with_retry(mut self, after: Duration) -> Self {
        self.retry_after = Some(after);
        self
    }
}

impl From<Reason> for Refusal {
    fn from(reason: Reason) -> Self {
        Self::new(reason)
    }
}

//! Outcome of a request as reported to its caller, and the reason for a refusal or failure.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Outcome of a request, as reported to the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The backend server gave a complete answer.
    Done,
    /// The request did not reach a backend server, or the backend server stated that it did not run
    /// the request.
    NotRun,
    /// The request was handed over, and no complete answer came back.
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

/// Declares [`Reason`] from one table, so that each list of its variants is complete.
macro_rules! reasons {
    ($($(#[doc = $doc:literal])+ $variant:ident, $name:literal, $status:literal, $outcome:ident;)+) => {
        /// Reason for which a node refused a request or could not complete it.
        ///
        /// The set is closed: each reason has one counter, one HTTP status and one [`Outcome`].
        /// A reason that can occur both before and after the hand-over to a backend server has
        /// the conservative outcome, `unknown`.
        #[derive(
            Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(rename_all = "kebab-case")]
        pub enum Reason {
            $($(#[doc = $doc])+ $variant,)+
        }

        impl Reason {
            /// All reasons, for the registration of counters.
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

            /// Returns a description of the reason, in one sentence.
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

            /// Returns the HTTP status with which a node answers for this reason.
            #[must_use]
            pub const fn status(self) -> u16 {
                match self {
                    $(Self::$variant => $status,)+
                }
            }

            /// Returns the outcome that the caller may conclude for its request.
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
    /// No route of the table matches the path.
    NoRoute, "no-route", 404, NotRun;
    /// A route matches the path, but no backend server of its services is known.
    NoBackend, "no-backend", 503, NotRun;
    /// No backend server that accepts new requests is in a region where the request may run.
    NoHome, "no-home", 503, NotRun;
    /// Backend servers are known, but none of them accepts new requests.
    NotReady, "not-ready", 503, NotRun;
    /// The guard's queue is full.
    QueueFull, "queue-full", 503, NotRun;
    /// Long answers use the full link bandwidth of the guard's instance.
    LinkBusy, "link-busy", 503, NotRun;
    /// The guard expects the wait in its queue to be too long.
    Overloaded, "overloaded", 503, NotRun;
    /// The rate limit that the backend server has stated is reached.
    Throttled, "throttled", 503, NotRun;
    /// The deadline passed before the hand-over, or could no longer be met.
    DeadlinePassed, "deadline-passed", 504, NotRun;
    /// The service's rate limit has no token left at this guard.
    RateLimited, "rate-limited", 429, NotRun;
    /// The backend server completes its running requests and accepts no new ones.
    Draining, "draining", 503, NotRun;
    /// The backend server is starting.
    Warming, "warming", 503, NotRun;
    /// The backend server runs a canary release that has reached its request limit for now.
    OnTrial, "on-trial", 503, NotRun;
    /// The node is stopping.
    Stopping, "stopping", 503, NotRun;
    /// The platform's log, which stores the claims, is unreachable.
    PlatformDown, "platform-down", 503, NotRun;
    /// The idempotency key was already used with another request body.
    KeyReused, "key-reused", 422, NotRun;
    /// A request with the same idempotency key is still running.
    KeyInProgress, "key-in-progress", 409, Unknown;
    /// A request with the same idempotency key was handed over, and its answer is lost.
    KeyUnknown, "key-unknown", 502, Unknown;
    /// The node has not yet read all claims of the key's partition.
    CatchingUp, "catching-up", 503, NotRun;
    /// The store for idempotency keys is full until some of them expire.
    LedgerFull, "ledger-full", 503, NotRun;
    /// A newer release of the node wrote claims that this release cannot evaluate.
    ClaimRule, "claim-rule", 503, NotRun;
    /// The claim expired before the hand-over.
    ClaimLapsed, "claim-lapsed", 503, NotRun;
    /// The answer exceeds the size limit for stored answers of an idempotency key.
    AnswerTooLarge, "answer-too-large", 502, Unknown;
    /// The answer did not fit into the node's memory for stored answers.
    AnswerDropped, "answer-dropped", 502, Unknown;
    /// The request is malformed.
    BadRequest, "bad-request", 400, NotRun;
    /// The request header exceeds the size limit.
    HeaderTooLarge, "header-too-large", 431, NotRun;
    /// The request body exceeds the size limit.
    BodyTooLarge, "body-too-large", 413, NotRun;
    /// The node beside the backend server does not serve the requested service.
    Misdirected, "misdirected", 421, NotRun;
    /// The node has reached its connection limit.
    TooManyConnections, "too-many-connections", 503, NotRun;
    /// The backend server states that it did not run the request.
    Shed, "shed", 503, NotRun;
    /// The backend server did not accept the connection.
    ConnectFailed, "connect-failed", 502, NotRun;
    /// The other node did not accept the connection.
    PeerUnreachable, "peer-unreachable", 502, NotRun;
    /// The answer broke off, or was no HTTP, after the hand-over.
    AnswerBroken, "answer-broken", 502, Unknown;
    /// The request has crashed backend servers and is quarantined for now.
    Quarantined, "quarantined", 503, NotRun;
    /// The backend server crashed while it was running the request.
    Crashed, "crashed", 502, Unknown;
    /// The backend server answered with a server error.
    ServerError, "server-error", 502, Unknown;
    /// No complete answer came before the deadline, after the hand-over.
    Timeout, "timeout", 504, Unknown;
    /// The caller went away.
    CallerGone, "caller-gone", 499, Unknown;
    /// A retry was refused: the retry budget is empty.
    RetryBudget, "retry-budget", 503, Unknown;
    /// A retry was refused: the request may have run, and it is not idempotent.
    NotIdempotent, "not-idempotent", 502, Unknown;
    /// A retry was refused: the allowed attempts are used up, at this hop or at another one.
    TriesSpent, "tries-spent", 502, Unknown;
    /// The request has no key of a client account, and the route is not public.
    Unauthenticated, "unauthenticated", 401, NotRun;
    /// The client account has exceeded its quota.
    OverQuota, "over-quota", 429, NotRun;
    /// The service has no room for requests of this priority at the moment.
    NoRoom, "no-room", 503, NotRun;
}

impl Reason {
    /// Returns `true` if a guard refuses for this reason because its slots and its queue are taken.
    ///
    /// A busy link is another matter: it depends on the length of the response.
    ///
    /// # Examples
    ///
    /// ```
    /// use swiftcart_core::Reason;
    ///
    /// assert!(Reason::QueueFull.lacks_room());
    /// assert!(!Reason::LinkBusy.lacks_room());
    /// ```
    #[must_use]
    pub const fn lacks_room(self) -> bool {
        matches!(self, Self::QueueFull | Self::Overloaded | Self::Throttled)
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Refusal of a request, with the time after which a retry can succeed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Refusal {
    /// Reason for the refusal.
    pub reason: Reason,
    /// Time after which the caller should retry, if a retry can succeed.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Creates a refusal without a retry time.
    #[must_use]
    pub const fn new(reason: Reason) -> Self {
        Self {
            reason,
            retry_after: None,
        }
    }

    /// Sets the time after which the caller should retry.
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

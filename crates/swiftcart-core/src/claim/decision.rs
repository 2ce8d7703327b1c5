//! What a claimant tells the call path.

use std::sync::Arc;
use std::time::Duration;

use crate::{
    Answer, AttemptId, ClaimKey, Entry, Instant, Offset, PlatformTime, Reason, Refusal, RequestHash,
};

/// Asks to run a piece of work once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Claim {
    /// The work.
    pub key: ClaimKey,
    /// The request.
    pub hash: RequestHash,
    /// This attempt: 128 fresh random bits for every offer.
    pub attempt: AttemptId,
    /// When the caller stops waiting.
    pub deadline: Instant,
}

/// Names a claim that a [`Claimant`](crate::Claimant) has accepted for decision.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClaimTicket(pub u64);

/// Tells what becomes of a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// Another attempt ran the same request: give its answer.
    Replay(Arc<Answer>),
    /// Another request has the key (422).
    Conflict,
    /// Another attempt holds the key (409); this one did not run.
    InProgress {
        /// When asking again can help.
        retry_after: Duration,
    },
    /// Another attempt ran or may have run, and its answer cannot be given.
    Unknown(Reason),
    /// The claim is on its way to the log; a [`ClaimAction`] follows.
    Wait(ClaimTicket),
    /// This attempt did not run and never will.
    Refuse(Refusal),
}

/// Tells the edge what to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimAction {
    /// Append this record, and report with [`Claimant::finish_append`](crate::Claimant::finish_append).
    Append(String),
    /// Ask [`Claimant::try_start`](crate::Claimant::try_start), then hand the request over.
    Run(ClaimTicket),
    /// The ticket has ended without a hand-over; the decision is never `Wait`.
    Settle(ClaimTicket, Decision),
}

/// Tells how an append ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum AppendResult {
    /// The record stands at this offset.
    Done(Offset),
    /// The record surely is not and never will be in the log.
    Failed {
        /// The platform's `Retry-After`.
        retry_after: Option<Duration>,
    },
    /// No answer came: the record is in the log, will be, or neither.
    Unknown,
}

/// Allows one hand-over.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct StartPermit {
    /// The last moment at which the backend server may begin.
    ///
    /// It goes to the backend server as an absolute deadline, because this process may
    /// be paused between the check and the hand-over.
    pub until: Instant,
}

/// Tells how a hand-over ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ExecutionResult {
    /// The backend server gave a whole answer.
    Whole(Answer),
    /// The request was handed over and no whole answer came back.
    Broken,
    /// Nothing reached the backend server, for certain (its connection was refused, say).
    NotRun,
}

/// Holds what one read of the partition's stream returned.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ClaimPage<'a> {
    /// The oldest offset that is still kept.
    pub first: Offset,
    /// The offset that the next append gets.
    pub next: Offset,
    /// The platform's clock, read when the page was made.
    pub now: PlatformTime,
    /// The records, in order of their offsets.
    pub entries: &'a [Entry],
}

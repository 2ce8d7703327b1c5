//! Inputs and outputs of a claimant.

use std::sync::Arc;
use std::time::Duration;

use crate::{
    Answer, AttemptId, ClaimKey, Entry, Instant, Offset, PlatformTime, Reason, Refusal, RequestHash,
};

/// Request to run a piece of work at most once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Claim {
    /// Identifier of the work.
    pub key: ClaimKey,
    /// Hash of the request.
    pub hash: RequestHash,
    /// Identifier of this attempt: 128 random bits, drawn anew for every offer.
    pub attempt: AttemptId,
    /// Time at which the caller stops waiting.
    pub deadline: Instant,
}

/// Identifier of a claim that a [`Claimant`](crate::Claimant) has queued.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClaimTicket(pub u64);

/// Result of an offered claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// Another attempt ran the same request; its stored answer is returned.
    Replay(Arc<Answer>),
    /// A different request uses the key (422).
    Conflict,
    /// Another attempt holds the key (409); this attempt did not run.
    InProgress {
        /// Shortest delay after which a retry can succeed.
        retry_after: Duration,
    },
    /// Another attempt ran or may have run, and its answer is not available.
    Unknown(Reason),
    /// The claim is queued for the log; a [`ClaimAction`] follows.
    Wait(ClaimTicket),
    /// This attempt did not run and will not run.
    Refuse(Refusal),
}

/// Action that the embedding program must take.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimAction {
    /// Append this record and report the result with
    /// [`Claimant::finish_append`](crate::Claimant::finish_append).
    Append(String),
    /// Call [`Claimant::try_start`](crate::Claimant::try_start), then dispatch the request.
    Run(ClaimTicket),
    /// The ticket ended before the request was dispatched; the decision is never `Wait`.
    Settle(ClaimTicket, Decision),
}

/// Result of an append to the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum AppendResult {
    /// The record is in the log, at this offset.
    Done(Offset),
    /// The record is not in the log and will not reach it.
    Failed {
        /// `Retry-After` of the platform's answer.
        retry_after: Option<Duration>,
    },
    /// No answer arrived: the record may be in the log or may still reach it.
    Unknown,
}

/// Permit to dispatch a request once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct StartPermit {
    /// Latest time at which the backend server may begin.
    ///
    /// This time is sent to the backend server as an absolute deadline, because this process can
    /// be paused between the check and the dispatch.
    pub until: Instant,
}

/// Result of a dispatched request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ExecutionResult {
    /// The backend server returned a complete answer.
    Whole(Answer),
    /// The request was dispatched and no complete answer arrived.
    Broken,
    /// The request did not reach the backend server, for example because its connection was
    /// refused.
    NotRun,
}

/// Page of records from a partition's stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ClaimPage<'a> {
    /// Oldest offset that the stream still holds.
    pub first: Offset,
    /// Offset of the next append.
    pub next: Offset,
    /// Platform time at which the page was read.
    pub now: PlatformTime,
    /// Records in the order of their offsets.
    pub entries: &'a [Entry],
}

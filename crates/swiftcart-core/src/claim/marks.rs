//! What a ledger remembers of one key.

use std::sync::Arc;

use crate::{Answer, AttemptId, PlatformTime, Reply, RequestHash};

/// Tells what a claim is worth, as of its own offset.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ClaimVerdict {
    /// No record blocked the key: the attempt may run.
    Won,
    /// Another record blocked the key: the attempt never runs.
    Lost,
    /// A record that blocks the key may have been missed: the attempt never runs.
    Undecided,
}

/// Holds a reply as the ledger keeps it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Kept {
    Whole(Arc<Answer>),
    TooLarge,
    Broken,
    /// The ledger's memory for answers was full.
    Dropped,
}

/// Holds what one record said about a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Mark {
    pub(super) at: PlatformTime,
    pub(super) attempt: AttemptId,
    pub(super) kind: Kind,
}

/// Tells what a mark says.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Kind {
    Claim(RequestHash, ClaimVerdict),
    Answer(RequestHash, Kept),
    Abandoned,
}

/// Holds all marks of one key, in the order of their records.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(super) struct Marks(pub(super) Vec<Mark>);

impl Kept {
    /// Keeps `reply`, but for whole answers above `room` bytes.
    pub(super) fn new(reply: Reply, room: usize) -> Self {
        match reply {
            Reply::Whole(answer) if answer.size() > room => Self::Dropped,
            Reply::Whole(answer) => Self::Whole(Arc::new(answer)),
            Reply::TooLarge => Self::TooLarge,
            Reply::Broken => Self::Broken,
        }
    }

    pub(super) fn size(&self) -> usize {
        match self {
            Self::Whole(answer) => answer.size(),
            Self::TooLarge | Self::Broken | Self::Dropped => 0,
        }
    }
}

impl Mark {
    pub(super) fn size(&self) -> usize {
        match &self.kind {
            Kind::Answer(_, kept) => kept.size(),
            Kind::Claim(..) | Kind::Abandoned => 0,
        }
    }
}

/// Up to this many marks, a key takes no more memory than it needs.
const EXACT_MARKS: usize = 4;

impl Marks {
    pub(super) fn push(&mut self, mark: Mark) {
        if self.0.len() < EXACT_MARKS {
            self.0.reserve_exact(1);
        }
        self.0.push(mark);
    }

    /// Returns whether a claim at this point loses.
    pub(super) fn blocks(&self) -> bool {
        self.0.iter().any(|m| !matches!(m.kind, Kind::Abandoned))
    }

    pub(super) fn knows(&self, attempt: AttemptId) -> bool {
        self.0.iter().any(|m| m.attempt == attempt)
    }

    pub(super) fn abandoned(&self, attempt: AttemptId) -> bool {
        let abandoned = |m: &Mark| matches!(m.kind, Kind::Abandoned);
        self.0.iter().any(|m| m.attempt == attempt && abandoned(m))
    }

    pub(super) fn answered(&self) -> bool {
        self.0.iter().any(|m| matches!(m.kind, Kind::Answer(..)))
    }

    pub(super) fn standing(&self, attempt: AttemptId) -> Option<ClaimVerdict> {
        self.0.iter().find_map(|m| match m.kind {
            Kind::Claim(_, standing) if m.attempt == attempt => Some(standing),
            _ => None,
        })
    }

    /// Returns the claim that won, if it is still remembered.
    pub(super) fn winner(&self) -> Option<(&Mark, RequestHash)> {
        self.0.iter().find_map(|m| match m.kind {
            Kind::Claim(hash, ClaimVerdict::Won) => Some((m, hash)),
            _ => None,
        })
    }

    pub(super) fn answer(&self) -> Option<(RequestHash, &Kept)> {
        self.0.iter().find_map(|m| match &m.kind {
            Kind::Answer(hash, kept) => Some((*hash, kept)),
            _ => None,
        })
    }

    /// Removes the claim of `attempt`, and returns whether there was one.
    pub(super) fn withdraw(&mut self, attempt: AttemptId) -> bool {
        let len = self.0.len();
        self.0
            .retain(|m| m.attempt != attempt || !matches!(m.kind, Kind::Claim(..)));
        self.0.len() < len
    }
}

//! History of a key in a ledger.

use std::sync::Arc;

use crate::{Answer, AttemptId, PlatformTime, Reply, RequestHash};

/// Verdict on a claim, as of the claim's offset.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ClaimVerdict {
    /// No record blocked the key; the attempt may run.
    Won,
    /// Another record blocked the key; the attempt must not run.
    Lost,
    /// A record that blocks the key may be missing; the attempt must not run.
    Undecided,
}

/// Reply as stored in the ledger.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum StoredReply {
    Whole(Arc<Answer>),
    TooLarge,
    Broken,
    /// The answer did not fit into the memory that the ledger has for answers.
    Dropped,
}

/// Claim, answer or abandoned attempt of one key, as read from a record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct KeyEvent {
    pub(super) at: PlatformTime,
    pub(super) attempt: AttemptId,
    pub(super) kind: KeyEventKind,
}

/// Kind of a [`KeyEvent`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum KeyEventKind {
    Claim(RequestHash, ClaimVerdict),
    Answer(RequestHash, StoredReply),
    Abandoned,
}

/// Events of one key, in the order of their records.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(super) struct KeyHistory(pub(super) Vec<KeyEvent>);

impl StoredReply {
    /// Stores `reply`; drops a complete answer that is larger than `available_bytes`.
    pub(super) fn new(reply: Reply, available_bytes: usize) -> Self {
        match reply {
            Reply::Whole(answer) if answer.size() > available_bytes => Self::Dropped,
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

impl KeyEvent {
    pub(super) fn size(&self) -> usize {
        match &self.kind {
            KeyEventKind::Answer(_, reply) => reply.size(),
            KeyEventKind::Claim(..) | KeyEventKind::Abandoned => 0,
        }
    }
}

/// Number of events up to which the capacity of a history grows by one event at a time, to save
/// memory.
const EXACT_CAPACITY_EVENTS: usize = 4;

impl KeyHistory {
    pub(super) fn push(&mut self, event: KeyEvent) {
        if self.0.len() < EXACT_CAPACITY_EVENTS {
            self.0.reserve_exact(1);
        }
        self.0.push(event);
    }

    /// Returns `true` if a claim made now loses.
    pub(super) fn blocks_key(&self) -> bool {
        self.0
            .iter()
            .any(|e| !matches!(e.kind, KeyEventKind::Abandoned))
    }

    pub(super) fn contains_attempt(&self, attempt: AttemptId) -> bool {
        self.0.iter().any(|e| e.attempt == attempt)
    }

    pub(super) fn is_abandoned(&self, attempt: AttemptId) -> bool {
        let is_abandonment = |e: &KeyEvent| matches!(e.kind, KeyEventKind::Abandoned);
        self.0
            .iter()
            .any(|e| e.attempt == attempt && is_abandonment(e))
    }

    pub(super) fn has_answer(&self) -> bool {
        self.0
            .iter()
            .any(|e| matches!(e.kind, KeyEventKind::Answer(..)))
    }

    pub(super) fn verdict(&self, attempt: AttemptId) -> Option<ClaimVerdict> {
        self.0.iter().find_map(|e| match e.kind {
            KeyEventKind::Claim(_, verdict) if e.attempt == attempt => Some(verdict),
            _ => None,
        })
    }

    /// Returns the claim that won and its request hash, if the claim has not expired.
    pub(super) fn winning_claim(&self) -> Option<(&KeyEvent, RequestHash)> {
        self.0.iter().find_map(|e| match e.kind {
            KeyEventKind::Claim(hash, ClaimVerdict::Won) => Some((e, hash)),
            _ => None,
        })
    }

    pub(super) fn answer(&self) -> Option<(RequestHash, &StoredReply)> {
        self.0.iter().find_map(|e| match &e.kind {
            KeyEventKind::Answer(hash, reply) => Some((*hash, reply)),
            _ => None,
        })
    }

    /// Removes the claim of `attempt` and returns `true` if there was one.
    pub(super) fn remove_claim(&mut self, attempt: AttemptId) -> bool {
        let before = self.0.len();
        self.0
            .retain(|e| e.attempt != attempt || !matches!(e.kind, KeyEventKind::Claim(..)));
        self.0.len() < before
    }
}

//! State machine that folds the configuration stream into a table.
//!
//! The fold is deterministic, so that every reader accepts the same publishes.

use std::sync::{Arc, OnceLock};

use quick_error::quick_error;

use super::check::check_publish;
use super::recent::Decision;
use super::state::State;
use super::{
    Agreement, Body, Checkpoint, CheckpointError, Digest, Edit, Entry, Envelope, Offset,
    PriorDecision, Publish, PublishId, RecordError, Rejection, RowConflict, RowKey, Table, Verdict,
    Version, check,
};

pub use super::recent::{MAX_AUTHOR_BYTES, MAX_RECENT_DECISIONS};
pub use super::removed::MAX_REMOVED_BYTES;

/// State machine that applies the records of the configuration stream in order.
///
/// Readers that applied the same records have the same state, regardless of whether they started
/// at offset 0 or at a checkpoint. The reason is that every bounded collection evicts its entries
/// in log order.
///
/// # Examples
///
/// ```
/// use swiftcart_core::{
///     Body, Entry, Envelope, Fold, Limits, Offset, Publish, PublishId, Table, Verdict, Version,
///     diff,
/// };
///
/// let table = Table::new().with_service("booking", Limits::default());
/// let publish = Publish {
///     id: PublishId(1),
///     author: "rosa".into(),
///     base: Version::NONE,
///     edits: diff(&Table::new(), &table),
/// };
/// let body = Envelope::new(Body::Publish(publish)).encode();
/// let entry = Entry { offset: Offset(0), at_ms: 0, body };
///
/// let mut fold = Fold::new();
/// assert_eq!(fold.apply(&entry)?, Verdict::Accepted(Version(1)));
/// assert_eq!(**fold.table(), table);
/// # Ok::<(), swiftcart_core::FoldError>(())
/// ```
#[derive(Debug, Default, Clone)]
pub struct Fold {
    state: State,
    digest: OnceLock<Digest>,
}

quick_error! {
    /// The reason why a record cannot be applied. The error leaves the fold unchanged.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum FoldError {
        /// The offset of the record is not the next offset.
        Gap(expected: Offset, found: Offset) {
            display("record {found} is out of sequence; read from offset {expected}")
        }
    }
}

impl Fold {
    /// Creates a fold without records.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Restores a fold from `checkpoint`.
    ///
    /// # Errors
    ///
    /// Returns [`CheckpointError`] when the digest, the encoding, a bound or the table of the
    /// checkpoint is not valid, or when the checkpoint uses an unknown rule.
    pub fn from_checkpoint(checkpoint: &Checkpoint) -> Result<Self, CheckpointError> {
        State::decode(checkpoint).map(|state| Self {
            state,
            digest: OnceLock::from(checkpoint.digest),
        })
    }

    /// Applies the next record and returns the decision on it.
    ///
    /// [`Verdict::UnknownRule`] does not advance the position, because this release cannot
    /// interpret the records that follow.
    ///
    /// # Errors
    ///
    /// Returns [`FoldError::Gap`] when the offset of the record is not
    /// [`position`](Self::position).
    pub fn apply(&mut self, entry: &Entry) -> Result<Verdict, FoldError> {
        if entry.offset != self.state.position {
            return Err(FoldError::Gap(self.state.position, entry.offset));
        }
        let verdict = match Envelope::decode(&entry.body).map(|envelope| envelope.body) {
            Ok(Body::Publish(publish)) => self.decide(publish),
            Ok(Body::Checkpoint(checkpoint)) => self.compare_checkpoint(&checkpoint),
            Err(RecordError::Malformed(_)) => Verdict::Malformed,
            Err(RecordError::UnknownRule(rule)) => return Ok(Verdict::UnknownRule(rule)),
        };
        self.state.position = entry.offset.next();
        self.digest = OnceLock::new();
        Ok(verdict)
    }

    /// Returns the offset of the next record to apply.
    #[must_use]
    pub const fn position(&self) -> Offset {
        self.state.position
    }

    /// Returns the version of the table.
    #[must_use]
    pub const fn version(&self) -> Version {
        self.state.version
    }

    /// Returns the oldest base version that a publish may have.
    #[must_use]
    pub const fn horizon(&self) -> Version {
        self.state.horizon
    }

    /// Returns the current table.
    ///
    /// Later records replace the table, so that a cloned `Arc` keeps its content.
    #[must_use]
    pub const fn table(&self) -> &Arc<Table> {
        &self.state.table
    }

    /// Returns the version that last changed the row, or `None` when the row is not in the table.
    #[must_use]
    pub fn last_changed(&self, key: &RowKey) -> Option<Version> {
        self.state.changed.get(key).copied()
    }

    /// Returns the hash of the complete state, which is cached until the position changes.
    #[must_use]
    pub fn digest(&self) -> Digest {
        *self.digest.get_or_init(|| Digest::of(&self.state.encode()))
    }

    /// Returns the first decision on a publish, or `None` when the id is unknown or was evicted.
    #[must_use]
    pub fn prior_decision(&self, id: PublishId) -> Option<PriorDecision> {
        self.state.recent.decision(id)
    }

    /// Returns a copy of the state for the log or for a joining node.
    #[must_use]
    pub fn checkpoint(&self) -> Checkpoint {
        let state = self.state.encode();
        Checkpoint {
            position: self.state.position,
            digest: Digest::of(&state),
            state,
        }
    }

    fn compare_checkpoint(&self, checkpoint: &Checkpoint) -> Verdict {
        let agreement = match checkpoint.position.cmp(&self.state.position) {
            std::cmp::Ordering::Less => Agreement::Earlier,
            std::cmp::Ordering::Equal if checkpoint.digest == self.digest() => Agreement::Same,
            _ => Agreement::Different,
        };
        Verdict::Checkpoint {
            position: checkpoint.position,
            agreement,
        }
    }

    fn decide(&mut self, publish: Publish) -> Verdict {
        if let Some(earlier) = self.state.recent.decision(publish.id) {
            return Verdict::Rejected(Rejection::Repeated(earlier));
        }
        match self.validate(&publish) {
            Ok(table) => self.accept(publish, table),
            Err(rejection) => self.reject(publish.id, rejection),
        }
    }

    /// Returns the table that results from the publish, and leaves the fold unchanged.
    fn validate(&self, publish: &Publish) -> Result<Table, Rejection> {
        let State {
            version, horizon, ..
        } = self.state;
        match check_publish(publish) {
            violations if !violations.is_empty() => Err(Rejection::Invalid(violations)),
            _ if publish.base > version => Err(Rejection::FutureBase(version)),
            _ if publish.base < horizon => Err(Rejection::StaleBase(horizon)),
            _ => self.validate_edits(publish),
        }
    }

    fn validate_edits(&self, publish: &Publish) -> Result<Table, Rejection> {
        let conflicts = self.conflicts(publish);
        if !conflicts.is_empty() {
            return Err(Rejection::Conflict(conflicts));
        }
        let mut table = Table::clone(&self.state.table);
        for Edit { key, row } in &publish.edits {
            match row {
                Some(row) => table.0.insert(key.clone(), row.clone()),
                None => table.0.remove(key),
            };
        }
        match check(&table) {
            _ if table == *self.state.table => Err(Rejection::Empty),
            violations if !violations.is_empty() => Err(Rejection::Invalid(violations)),
            _ => Ok(table),
        }
    }

    fn conflicts(&self, publish: &Publish) -> Vec<RowConflict> {
        let changes = publish.edits.iter().filter_map(|edit| {
            let changed = self.last_changed(&edit.key);
            let version = changed.or_else(|| self.state.removed.version(&edit.key))?;
            Some((&edit.key, version))
        });
        let newer = changes.filter(|(_, version)| *version > publish.base);
        let conflicts = newer.map(|(key, version)| RowConflict {
            key: key.clone(),
            version,
            author: self.state.recent.author(version).to_owned(),
        });
        conflicts.collect()
    }

    fn accept(&mut self, publish: Publish, table: Table) -> Verdict {
        let version = Version::at(self.state.position);
        let old = std::mem::replace(&mut self.state.table, Arc::new(table));
        for edit in publish.edits {
            self.record_change(&old, edit.key, version);
        }
        self.state.version = version;
        self.record_decision(Decision {
            id: publish.id.0,
            earlier: PriorDecision::Accepted(version),
            author: publish.author,
        });
        Verdict::Accepted(version)
    }

    /// Records that `version` changed the row. An edit without effect is ignored.
    fn record_change(&mut self, old: &Table, key: RowKey, version: Version) {
        let state = &mut self.state;
        match (old.0.get(&key), state.table.0.get(&key)) {
            (before, after) if before == after => {}
            (_, None) => {
                state.changed.remove(&key);
                state.removed.insert(key, version);
            }
            (_, Some(_)) => {
                state.removed.remove(&key);
                state.changed.insert(key, version);
            }
        }
    }

    fn reject(&mut self, id: PublishId, rejection: Rejection) -> Verdict {
        self.record_decision(Decision {
            id: id.0,
            earlier: PriorDecision::Rejected {
                offset: self.state.position,
                kind: rejection.kind(),
            },
            author: String::new(),
        });
        Verdict::Rejected(rejection)
    }

    /// Records a decision, and raises the horizon when older decisions are evicted.
    ///
    /// The base of an evicted publish is older than the version of its own record. With the raised
    /// horizon, a repeat of this publish is rejected because of a stale base. The horizon never
    /// exceeds the current version, since otherwise no publish could be accepted.
    fn record_decision(&mut self, decision: Decision) {
        let state = &mut self.state;
        if let Some(evicted) = state.recent.push(decision) {
            let decided = Version::at(evicted.earlier.offset());
            state.horizon = state.horizon.max(decided.min(state.version));
        }
        state.horizon = state.removed.evict(state.horizon);
    }
}

impl PartialEq for Fold {
    fn eq(&self, other: &Self) -> bool {
        self.state == other.state
    }
}

impl Eq for Fold {}

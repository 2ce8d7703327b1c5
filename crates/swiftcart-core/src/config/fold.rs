//! Acceptance: a pure fold over the configuration stream, the same on every reader.

use std::sync::{Arc, OnceLock};

use quick_error::quick_error;

use super::check::check_publish;
use super::image::State;
use super::recent::Decision;
use super::{
    Agreement, Body, Checkpoint, CheckpointError, Digest, Edit, Entry, Envelope, Offset,
    PriorDecision, Publish, PublishId, RecordError, Rejection, RowConflict, RowKey, Table, Verdict,
    Version, check,
};

pub use super::recent::{MAX_AUTHOR_BYTES, MAX_RECENT_DECISIONS};
pub use super::removed::MAX_REMOVED_BYTES;

/// Folds the records of the configuration stream, in order, into a table.
///
/// Readers that folded the same records have the same state, whether they began
/// at offset 0 or at a checkpoint: every bound evicts by the order of the log.
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
    /// Tells why a record cannot be folded; the fold is unchanged.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum FoldError {
        /// The record is not the next one.
        Gap(expected: Offset, found: Offset) {
            display("record {found} is not the next one; read from {expected}")
        }
    }
}

impl Fold {
    /// Creates the fold of no records.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Creates the fold that `checkpoint` was taken of.
    ///
    /// # Errors
    ///
    /// The checkpoint's digest, encoding, bounds or table are wrong.
    pub fn from_checkpoint(checkpoint: &Checkpoint) -> Result<Self, CheckpointError> {
        State::decode(checkpoint).map(|state| Self {
            state,
            digest: OnceLock::from(checkpoint.digest),
        })
    }

    /// Decides about the next record.
    ///
    /// [`Verdict::UnknownRule`] leaves the position before the record: this release
    /// cannot know what later records mean.
    ///
    /// # Errors
    ///
    /// [`FoldError::Gap`] when the record's offset is not [`position`](Self::position).
    pub fn apply(&mut self, entry: &Entry) -> Result<Verdict, FoldError> {
        if entry.offset != self.state.position {
            return Err(FoldError::Gap(self.state.position, entry.offset));
        }
        let verdict = match Envelope::decode(&entry.body).map(|envelope| envelope.body) {
            Ok(Body::Publish(publish)) => self.decide(publish),
            Ok(Body::Checkpoint(checkpoint)) => self.compare(&checkpoint),
            Err(RecordError::Malformed(_)) => Verdict::Malformed,
            Err(RecordError::UnknownRule(rule)) => return Ok(Verdict::UnknownRule(rule)),
        };
        self.state.position = entry.offset.next();
        self.digest = OnceLock::new();
        Ok(verdict)
    }

    /// Returns the offset of the next record to fold.
    #[must_use]
    pub const fn position(&self) -> Offset {
        self.state.position
    }

    /// Returns the version of the table.
    #[must_use]
    pub const fn version(&self) -> Version {
        self.state.version
    }

    /// Returns the oldest base that a publish may have.
    #[must_use]
    pub const fn horizon(&self) -> Version {
        self.state.horizon
    }

    /// Returns the table in force; clones of the pointer stay as they are.
    #[must_use]
    pub const fn table(&self) -> &Arc<Table> {
        &self.state.table
    }

    /// Returns the version that last changed the row, or `None` when the table lacks it.
    #[must_use]
    pub fn changed(&self, key: &RowKey) -> Option<Version> {
        self.state.changed.get(key).copied()
    }

    /// Returns the hash of the whole state; it is computed once for each position.
    #[must_use]
    pub fn digest(&self) -> Digest {
        *self.digest.get_or_init(|| Digest::of(&self.state.encode()))
    }

    /// Returns the decision on a publish, or `None` when it is unknown or forgotten.
    #[must_use]
    pub fn prior_decision(&self, id: PublishId) -> Option<PriorDecision> {
        self.state.recent.of(id)
    }

    /// Returns a copy of the state for the log or for a joiner.
    #[must_use]
    pub fn checkpoint(&self) -> Checkpoint {
        let state = self.state.encode();
        Checkpoint {
            position: self.state.position,
            digest: Digest::of(&state),
            state,
        }
    }

    fn compare(&self, checkpoint: &Checkpoint) -> Verdict {
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
        if let Some(earlier) = self.state.recent.of(publish.id) {
            return Verdict::Rejected(Rejection::Repeated(earlier));
        }
        match self.judge(&publish) {
            Ok(table) => self.accept(publish, table),
            Err(rejection) => self.reject(publish.id, rejection),
        }
    }

    /// Returns the table that the publish leads to, without changing anything.
    fn judge(&self, publish: &Publish) -> Result<Table, Rejection> {
        let State {
            version, horizon, ..
        } = self.state;
        match check_publish(publish) {
            found if !found.is_empty() => Err(Rejection::Invalid(found)),
            _ if publish.base > version => Err(Rejection::FutureBase(version)),
            _ if publish.base < horizon => Err(Rejection::StaleBase(horizon)),
            _ => self.judge_rows(publish),
        }
    }

    fn judge_rows(&self, publish: &Publish) -> Result<Table, Rejection> {
        let lost = self.lost(publish);
        if !lost.is_empty() {
            return Err(Rejection::Conflict(lost));
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
            found if !found.is_empty() => Err(Rejection::Invalid(found)),
            _ => Ok(table),
        }
    }

    fn lost(&self, publish: &Publish) -> Vec<RowConflict> {
        let changes = publish.edits.iter().filter_map(|edit| {
            let changed = self.changed(&edit.key);
            let version = changed.or_else(|| self.state.removed.version(&edit.key))?;
            Some((&edit.key, version))
        });
        let newer = changes.filter(|(_, version)| *version > publish.base);
        let lost = newer.map(|(key, version)| RowConflict {
            key: key.clone(),
            version,
            author: self.state.recent.author(version).to_owned(),
        });
        lost.collect()
    }

    fn accept(&mut self, publish: Publish, table: Table) -> Verdict {
        let version = Version::at(self.state.position);
        let old = std::mem::replace(&mut self.state.table, Arc::new(table));
        for edit in publish.edits {
            self.mark(&old, edit.key, version);
        }
        self.state.version = version;
        self.remember(Decision {
            id: publish.id.0,
            earlier: PriorDecision::Accepted(version),
            author: publish.author,
        });
        Verdict::Accepted(version)
    }

    /// Notes that `version` changed the row; an edit without effect changes none.
    fn mark(&mut self, old: &Table, key: RowKey, version: Version) {
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
        self.remember(Decision {
            id: id.0,
            earlier: PriorDecision::Rejected {
                offset: self.state.position,
                kind: rejection.kind(),
            },
            author: String::new(),
        });
        Verdict::Rejected(rejection)
    }

    /// Remembers a decision; what is forgotten for it raises the horizon.
    ///
    /// A forgotten publish was made from a base below its own version, so that a
    /// repeat of it has a stale base. The horizon never passes the version, or no
    /// publish could be accepted any more.
    fn remember(&mut self, decision: Decision) {
        let state = &mut self.state;
        if let Some(forgotten) = state.recent.push(decision) {
            let seen = Version::at(forgotten.earlier.offset());
            state.horizon = state.horizon.max(seen.min(state.version));
        }
        state.horizon = state.removed.trim(state.horizon);
    }
}

impl PartialEq for Fold {
    fn eq(&self, other: &Self) -> bool {
        self.state == other.state
    }
}

impl Eq for Fold {}

//! State of the fold and its canonical encoding, which digests and checkpoints use.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::recent::RecentDecisions;
use super::removed::RemovedRows;
use super::{
    Checkpoint, CheckpointError, Digest, LATEST_RULE, Offset, Row, RowKey, Table, Version, check,
};

/// Maximum position that a checkpoint may have. The limit prevents overflow in offset arithmetic.
const MAX_POSITION: Offset = Offset(1 << 49);

/// The complete state on which the acceptance of later records depends.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub(super) struct State {
    pub position: Offset,
    pub version: Version,
    /// The oldest base version that a publish may have.
    pub horizon: Version,
    pub table: Arc<Table>,
    /// The version that last changed each row of the table.
    pub changed: BTreeMap<RowKey, Version>,
    pub removed: RemovedRows,
    pub recent: RecentDecisions,
}

#[derive(Serialize)]
struct EncodedStateRef<'a> {
    rule: u16,
    position: Offset,
    version: Version,
    horizon: Version,
    rows: Vec<(&'a RowKey, &'a Row, Version)>,
    removed: &'a RemovedRows,
    recent: &'a RecentDecisions,
}

#[derive(Deserialize)]
struct EncodedState {
    #[serde(rename = "rule")]
    _rule: u16,
    position: Offset,
    version: Version,
    horizon: Version,
    rows: Vec<(RowKey, Row, Version)>,
    removed: RemovedRows,
    recent: RecentDecisions,
}

impl State {
    /// Returns the canonical encoding.
    pub fn encode(&self) -> Vec<u8> {
        let rows = self.table.0.iter().map(|(key, row)| {
            let version = self.changed.get(key).copied().unwrap_or_default();
            (key, row, version)
        });
        let keys = self.table.0.keys().chain(self.removed.keys());
        let rules = keys.map(RowKey::rule);
        let encoded = EncodedStateRef {
            rule: rules.max().unwrap_or(1),
            position: self.position,
            version: self.version,
            horizon: self.horizon,
            rows: rows.collect(),
            removed: &self.removed,
            recent: &self.recent,
        };
        // Encoding cannot fail, since `postcard` only requires that every sequence has a known
        // length.
        postcard::to_stdvec(&encoded).unwrap_or_default()
    }

    /// Decodes a checkpoint and verifies the invariants of the fold.
    pub fn decode(checkpoint: &Checkpoint) -> Result<Self, CheckpointError> {
        let position = checkpoint.position;
        if Digest::of(&checkpoint.state) != checkpoint.digest {
            return Err(CheckpointError::Damaged(position));
        }
        // The rule is the first field, so that the state of a later format is still recognized.
        match checkpoint.rule() {
            Some(rule) if rule > LATEST_RULE => return Err(CheckpointError::UnknownRule(rule)),
            _ => {}
        }
        let malformed = CheckpointError::Malformed(position);
        let Ok(decoded) = postcard::from_bytes::<EncodedState>(&checkpoint.state) else {
            return Err(malformed);
        };
        let state = Self::from(decoded);
        match check(&state.table) {
            _ if !state.is_consistent(position) => Err(malformed),
            _ if state.encode() != checkpoint.state => Err(malformed),
            violations if violations.is_empty() => Ok(state),
            violations => Err(CheckpointError::Invalid(position, violations)),
        }
    }

    fn is_consistent(&self, position: Offset) -> bool {
        let in_range = |v: &Version| *v > Version::NONE && *v <= self.version;
        self.position == position
            && position <= MAX_POSITION
            && self.version.0 <= position.0
            && self.horizon <= self.version
            && self.changed.values().all(in_range)
            && self.removed.is_valid(self.horizon, self.version)
            && !self
                .removed
                .keys()
                .any(|key| self.table.0.contains_key(key))
            && self.recent.is_valid(position)
    }
}

impl From<EncodedState> for State {
    fn from(encoded: EncodedState) -> Self {
        let versions = encoded
            .rows
            .iter()
            .map(|(key, _, version)| (key.clone(), *version));
        Self {
            position: encoded.position,
            version: encoded.version,
            horizon: encoded.horizon,
            changed: versions.collect(),
            table: Arc::new(Table(
                encoded.rows.into_iter().map(|(k, r, _)| (k, r)).collect(),
            )),
            removed: encoded.removed,
            recent: encoded.recent,
        }
    }
}

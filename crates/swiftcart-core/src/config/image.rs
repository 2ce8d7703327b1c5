//! The canonical encoding of the fold's state: what digests hash and checkpoints carry.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::recent::Recent;
use super::removed::Removed;
use super::{
    Checkpoint, CheckpointError, Digest, LATEST_RULE, Offset, Row, RowKey, Table, Version, check,
};

/// Greatest position that is believed; it keeps the arithmetic far from overflow.
const MAX_POSITION: Offset = Offset(1 << 49);

/// Everything that the acceptance of later records depends on.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub(super) struct State {
    pub position: Offset,
    pub version: Version,
    /// The oldest base that is accepted.
    pub horizon: Version,
    pub table: Arc<Table>,
    /// The version that last changed each row of the table.
    pub changed: BTreeMap<RowKey, Version>,
    pub removed: Removed,
    pub recent: Recent,
}

#[derive(Serialize)]
struct ImageRef<'a> {
    rule: u16,
    position: Offset,
    version: Version,
    horizon: Version,
    rows: Vec<(&'a RowKey, &'a Row, Version)>,
    removed: &'a Removed,
    recent: &'a Recent,
}

#[derive(Deserialize)]
struct Image {
    #[serde(rename = "rule")]
    _rule: u16,
    position: Offset,
    version: Version,
    horizon: Version,
    rows: Vec<(RowKey, Row, Version)>,
    removed: Removed,
    recent: Recent,
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
        let image = ImageRef {
            rule: rules.max().unwrap_or(1),
            position: self.position,
            version: self.version,
            horizon: self.horizon,
            rows: rows.collect(),
            removed: &self.removed,
            recent: &self.recent,
        };
        // Every part has a known length, the only thing that postcard asks for.
        postcard::to_stdvec(&image).unwrap_or_default()
    }

    /// Decodes a checkpoint and checks all that a fold would have kept true.
    pub fn decode(checkpoint: &Checkpoint) -> Result<Self, CheckpointError> {
        let position = checkpoint.position;
        if Digest::of(&checkpoint.state) != checkpoint.digest {
            return Err(CheckpointError::Damaged(position));
        }
        // The rule comes first, so that a state of a later form can still be told.
        match checkpoint.rule() {
            Some(rule) if rule > LATEST_RULE => return Err(CheckpointError::UnknownRule(rule)),
            _ => {}
        }
        let malformed = CheckpointError::Malformed(position);
        let Ok(image) = postcard::from_bytes::<Image>(&checkpoint.state) else {
            return Err(malformed);
        };
        let state = Self::from(image);
        match check(&state.table) {
            _ if !state.is_consistent(position) => Err(malformed),
            _ if state.encode() != checkpoint.state => Err(malformed),
            violations if violations.is_empty() => Ok(state),
            violations => Err(CheckpointError::Invalid(position, violations)),
        }
    }

    fn is_consistent(&self, position: Offset) -> bool {
        let changed = |v: &Version| *v > Version::NONE && *v <= self.version;
        self.position == position
            && position <= MAX_POSITION
            && self.version.0 <= position.0
            && self.horizon <= self.version
            && self.changed.values().all(changed)
            && self.removed.is_valid(self.horizon, self.version)
            && !self
                .removed
                .keys()
                .any(|key| self.table.0.contains_key(key))
            && self.recent.is_valid(position)
    }
}

impl From<Image> for State {
    fn from(image: Image) -> Self {
        let versions = image
            .rows
            .iter()
            .map(|(key, _, version)| (key.clone(), *version));
        Self {
            position: image.position,
            version: image.version,
            horizon: image.horizon,
            changed: versions.collect(),
            table: Arc::new(Table(
                image.rows.into_iter().map(|(k, r, _)| (k, r)).collect(),
            )),
            removed: image.removed,
            recent: image.recent,
        }
    }
}

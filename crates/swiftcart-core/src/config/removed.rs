//! Rows that were removed, remembered so that an edit of one conflicts.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{RowKey, Version, row_size_bound};

/// Bytes of removed rows that are remembered; an older one raises the horizon
/// when it is forgotten.
pub const MAX_REMOVED_BYTES: usize = 16 * 1024;

/// The versions that removed rows, by row.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub(super) struct Removed(BTreeMap<RowKey, Version>);

impl Removed {
    pub fn insert(&mut self, key: RowKey, version: Version) {
        self.0.insert(key, version);
    }

    pub fn remove(&mut self, key: &RowKey) {
        self.0.remove(key);
    }

    pub fn version(&self, key: &RowKey) -> Option<Version> {
        self.0.get(key).copied()
    }

    pub fn keys(&self) -> impl Iterator<Item = &RowKey> {
        self.0.keys()
    }

    /// Forgets whole versions, oldest first, until the rest fits; returns the horizon.
    ///
    /// A base below the horizon is refused, so rows removed at or before it need
    /// no memory.
    pub fn trim(&mut self, horizon: Version) -> Version {
        let mut horizon = horizon;
        self.0.retain(|_, version| *version > horizon);
        while self.bytes() > MAX_REMOVED_BYTES {
            horizon = self.0.values().copied().min().unwrap_or(horizon);
            self.0.retain(|_, version| *version > horizon);
        }
        horizon
    }

    /// Tells whether a decoded map is what [`trim`](Self::trim) would leave.
    pub fn is_valid(&self, horizon: Version, version: Version) -> bool {
        let mut versions = self.0.values();
        self.bytes() <= MAX_REMOVED_BYTES && versions.all(|v| *v > horizon && *v <= version)
    }

    fn bytes(&self) -> usize {
        self.0.keys().map(row_size_bound).sum()
    }
}

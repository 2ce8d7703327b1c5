//! Removed rows, which are retained to detect conflicting edits.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{RowKey, Version, row_size_bound};

/// Maximum size of the retained removed rows, in bytes. The eviction of a row raises the horizon.
pub const MAX_REMOVED_BYTES: usize = 16 * 1024;

/// The version that removed each row, by key.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub(super) struct RemovedRows(BTreeMap<RowKey, Version>);

impl RemovedRows {
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

    /// Evicts rows until the size is within the limit, always all rows that the oldest version
    /// removed.
    ///
    /// Returns the new horizon. A base version below the horizon is rejected, so that rows that
    /// were removed at or before the horizon need not be retained.
    pub fn evict(&mut self, horizon: Version) -> Version {
        let mut horizon = horizon;
        self.0.retain(|_, version| *version > horizon);
        while self.bytes() > MAX_REMOVED_BYTES {
            horizon = self.0.values().copied().min().unwrap_or(horizon);
            self.0.retain(|_, version| *version > horizon);
        }
        horizon
    }

    /// Returns `true` if a decoded map satisfies the invariants of [`evict`](Self::evict).
    pub fn is_valid(&self, horizon: Version, version: Version) -> bool {
        let mut versions = self.0.values();
        self.bytes() <= MAX_REMOVED_BYTES && versions.all(|v| *v > horizon && *v <= version)
    }

    fn bytes(&self) -> usize {
        self.0.keys().map(row_size_bound).sum()
    }
}

//! Deltas between two snapshots.

use quick_error::quick_error;
use serde::{Deserialize, Serialize};

use super::{Digest, Edit, Policies, Policy, RequestLimits, Snapshot, Table, Version, diff};

quick_error! {
    /// The reason why a delta cannot be applied.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum DeltaError {
        /// The delta applies to another base version.
        Base(expected: Version, found: Version) {
            display("the delta applies to version {expected}, not to version {found}; pull the full version")
        }
        /// The hash of the result differs from the digest of the delta.
        Digest(version: Version) {
            display("the result of the delta to version {version} does not match its digest; pull the full version")
        }
    }
}

/// The changes that turn one snapshot into a later one.
///
/// Most changes affect only a few rows, and a delta of a few rows fits into one datagram.
///
/// # Examples
///
/// ```
/// use swiftcart_core::{Delta, Limits, Snapshot, Table, Version};
///
/// let table = Table::new().with_service("booking", Limits::default());
/// let old = Snapshot::new(Version(3), table.clone());
/// let new = Snapshot::new(Version(7), table.with_route("/book", "booking", 1));
/// let delta = Delta::between(&old, &new, new.digest());
/// assert_eq!(delta.edits(), 1);
/// assert_eq!(delta.apply(&old)?, new);
/// # Ok::<(), swiftcart_core::DeltaError>(())
/// ```
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    base: Version,
    version: Version,
    /// Hash of the resulting snapshot.
    digest: Digest,
    rows: Vec<Edit>,
    policies: Vec<(String, Option<Policy>)>,
    requests: Option<RequestLimits>,
}

impl Delta {
    /// Returns the delta from `old` to `new`, where `digest` is the hash of `new`.
    #[must_use]
    pub fn between(old: &Snapshot, new: &Snapshot, digest: Digest) -> Self {
        Self {
            base: old.version,
            version: new.version,
            digest,
            rows: diff(&old.table, &new.table),
            policies: diff_policies(&old.policies, &new.policies),
            requests: new.requests,
        }
    }

    /// Returns the version that the delta applies to.
    #[must_use]
    pub const fn base(&self) -> Version {
        self.base
    }

    /// Returns the version of the resulting snapshot.
    #[must_use]
    pub const fn version(&self) -> Version {
        self.version
    }

    /// Returns the hash of the resulting snapshot.
    #[must_use]
    pub const fn digest(&self) -> Digest {
        self.digest
    }

    /// Returns the number of changed rows and policies.
    #[must_use]
    pub const fn edits(&self) -> usize {
        self.rows.len() + self.policies.len()
    }

    /// Applies the delta to `old` and returns the resulting snapshot.
    ///
    /// # Errors
    ///
    /// Returns [`DeltaError::Base`] when `old` is not the base version of the delta, and
    /// [`DeltaError::Digest`] when the hash of the result does not match.
    pub fn apply(&self, old: &Snapshot) -> Result<Snapshot, DeltaError> {
        if old.version != self.base {
            return Err(DeltaError::Base(self.base, old.version));
        }
        let mut new = Snapshot {
            version: self.version,
            table: apply_edits(&old.table, &self.rows),
            policies: old.policies.clone(),
            requests: self.requests,
        };
        for (prefix, policy) in &self.policies {
            match policy {
                Some(policy) => new.policies.insert(prefix.clone(), *policy),
                None => new.policies.remove(prefix),
            };
        }
        match new.digest() == self.digest {
            true => Ok(new),
            false => Err(DeltaError::Digest(self.version)),
        }
    }
}

fn apply_edits(old: &Table, edits: &[Edit]) -> Table {
    let mut table = old.clone();
    for Edit { key, row } in edits {
        match row {
            Some(row) => table.0.insert(key.clone(), row.clone()),
            None => table.0.remove(key),
        };
    }
    table
}

fn diff_policies(old: &Policies, new: &Policies) -> Vec<(String, Option<Policy>)> {
    let removed = old.keys().filter(|prefix| !new.contains_key(*prefix));
    let removed = removed.map(|prefix| (prefix.clone(), None));
    let changed = new
        .iter()
        .filter(|(prefix, policy)| old.get(*prefix) != Some(policy));
    let changed = changed.map(|(prefix, policy)| (prefix.clone(), Some(*policy)));
    removed.chain(changed).collect()
}

//! What differs between two versions that come as a whole.

use quick_error::quick_error;
use serde::{Deserialize, Serialize};

use super::{Digest, Edit, Policies, Policy, RequestLimits, Snapshot, Table, Version, diff};

quick_error! {
    /// Tells why a delta does not lead to a version.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum DeltaError {
        /// It starts from another version.
        Base(expected: Version, found: Version) {
            display("the delta starts from version {expected}, not from {found}; pull the version")
        }
        /// What it leads to has another hash than the one given with it.
        Digest(version: Version) {
            display("the delta to version {version} leads to another content; pull the version")
        }
    }
}

/// Leads from one version to a later one.
///
/// Most changes touch a few rows of many, and a delta of those fits one datagram.
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
    /// The hash of the later version.
    digest: Digest,
    rows: Vec<Edit>,
    policies: Vec<(String, Option<Policy>)>,
    requests: Option<RequestLimits>,
}

impl Delta {
    /// Returns what leads from `old` to `new`, whose hash is `digest`.
    #[must_use]
    pub fn between(old: &Snapshot, new: &Snapshot, digest: Digest) -> Self {
        Self {
            base: old.version,
            version: new.version,
            digest,
            rows: diff(&old.table, &new.table),
            policies: policies(&old.policies, &new.policies),
            requests: new.requests,
        }
    }

    /// Returns the version that the delta starts from.
    #[must_use]
    pub const fn base(&self) -> Version {
        self.base
    }

    /// Returns the version that the delta leads to.
    #[must_use]
    pub const fn version(&self) -> Version {
        self.version
    }

    /// Returns the hash of the version that the delta leads to.
    #[must_use]
    pub const fn digest(&self) -> Digest {
        self.digest
    }

    /// Returns the number of changes.
    #[must_use]
    pub const fn edits(&self) -> usize {
        self.rows.len() + self.policies.len()
    }

    /// Returns the later version.
    ///
    /// # Errors
    ///
    /// [`DeltaError`] when `old` is not the version that the delta starts from, or the result
    /// is not the one that it was made for.
    pub fn apply(&self, old: &Snapshot) -> Result<Snapshot, DeltaError> {
        if old.version != self.base {
            return Err(DeltaError::Base(self.base, old.version));
        }
        let mut new = Snapshot {
            version: self.version,
            table: table(&old.table, &self.rows),
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

fn table(old: &Table, edits: &[Edit]) -> Table {
    let mut table = old.clone();
    for Edit { key, row } in edits {
        match row {
            Some(row) => table.0.insert(key.clone(), row.clone()),
            None => table.0.remove(key),
        };
    }
    table
}

fn policies(old: &Policies, new: &Policies) -> Vec<(String, Option<Policy>)> {
    let removed = old.keys().filter(|prefix| !new.contains_key(*prefix));
    let removed = removed.map(|prefix| (prefix.clone(), None));
    let changed = new
        .iter()
        .filter(|(prefix, policy)| old.get(*prefix) != Some(policy));
    let changed = changed.map(|(prefix, policy)| (prefix.clone(), Some(*policy)));
    removed.chain(changed).collect()
}

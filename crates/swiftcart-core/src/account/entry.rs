//! Client accounts as the configuration holds them.

use std::collections::BTreeSet;
use std::fmt;

use serde::{Deserialize, Serialize};

use super::KeyHash;
use crate::Priority;

/// Names a client account, for example `harbour`.
#[derive(Debug, Default, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct AccountName(pub String);

impl AccountName {
    /// Creates a name; whether it is well formed is checked with the whole table.
    #[must_use]
    pub fn new(name: impl Into<String>) -> Self {
        Self(name.into())
    }

    /// Returns the name as text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for AccountName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Limits what one account may send through all nodes together.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Quota {
    /// Requests a second.
    pub rate: u32,
    /// Requests that may come at once after a pause.
    pub burst: u32,
}

/// Holds what the configuration says of one account, apart from its name.
///
/// # Examples
///
/// ```
/// use swiftcart_core::{Account, KeyHash, Priority, Quota};
///
/// let account = Account::new()
///     .with_key(KeyHash::of(b"3f9c"))
///     .with_quota(Quota { rate: 20, burst: 40 })
///     .with_priority(Priority(1));
/// assert_eq!(account.keys.len(), 1);
/// ```
#[derive(Debug, Default, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// The hashes of its keys; an account without one sends nothing.
    pub keys: BTreeSet<KeyHash>,
    /// What it may send; `None` sets no limit.
    pub quota: Option<Quota>,
    /// The rank of its requests, in place of their routes'.
    pub priority: Option<Priority>,
}

impl Account {
    /// Creates an account without keys and limits.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            keys: BTreeSet::new(),
            quota: None,
            priority: None,
        }
    }

    /// Adds a key.
    #[must_use]
    pub fn with_key(mut self, key: KeyHash) -> Self {
        self.keys.insert(key);
        self
    }

    /// Sets what the account may send.
    #[must_use]
    pub const fn with_quota(mut self, quota: Quota) -> Self {
        self.quota = Some(quota);
        self
    }

    /// Sets the rank of its requests.
    #[must_use]
    pub const fn with_priority(mut self, priority: Priority) -> Self {
        self.priority = Some(priority);
        self
    }
}

/// Tells who may use a route of a configuration that has accounts.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Access {
    /// Whoever has a key of an account.
    #[default]
    Accounts,
    /// Everyone.
    Public,
}

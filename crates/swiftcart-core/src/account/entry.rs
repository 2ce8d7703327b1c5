//! Client accounts in the configuration.

use std::collections::BTreeSet;
use std::fmt;

use serde::{Deserialize, Serialize};

use super::KeyHash;
use crate::Priority;

/// Name of a client account, for example `harbour`.
#[derive(Debug, Default, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct AccountName(pub String);

impl AccountName {
    /// Creates a name. Its syntax is validated together with the whole table.
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

/// Limit on the requests that one account may send through all nodes together.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Quota {
    /// Maximum sustained rate, in requests per second.
    pub rate: u32,
    /// Maximum number of requests admitted at once after an idle period.
    pub burst: u32,
}

/// Configuration of one account, without its name.
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
    /// Hashes of the account's API keys; an account without keys cannot send requests.
    pub keys: BTreeSet<KeyHash>,
    /// Request quota; `None` sets no limit.
    pub quota: Option<Quota>,
    /// Priority of the account's requests, which overrides the priority of their routes.
    pub priority: Option<Priority>,
}

impl Account {
    /// Creates an account without keys, quota or priority.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            keys: BTreeSet::new(),
            quota: None,
            priority: None,
        }
    }

    /// Adds the hash of an API key.
    #[must_use]
    pub fn with_key(mut self, key: KeyHash) -> Self {
        self.keys.insert(key);
        self
    }

    /// Sets the request quota.
    #[must_use]
    pub const fn with_quota(mut self, quota: Quota) -> Self {
        self.quota = Some(quota);
        self
    }

    /// Sets the priority of the account's requests.
    #[must_use]
    pub const fn with_priority(mut self, priority: Priority) -> Self {
        self.priority = Some(priority);
        self
    }
}

/// Access rule of a route in a configuration that has accounts.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Access {
    /// Callers with an API key of any account.
    #[default]
    Accounts,
    /// All callers, also those without an API key.
    Public,
}

//! The table that operators edit: services with limits, and weighted routes.

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};

use crate::{Access, Account, AccountName, ColdStart, Homes};

/// Names a service, for example `booking`.
#[derive(Debug, Default, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ServiceName(pub String);

impl ServiceName {
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

impl fmt::Display for ServiceName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Limits of one service. Zero means "no limit" for every field.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Requests a second over all backend servers of the service.
    pub rate: u32,
    /// Requests in flight at one backend server; never above its own slots.
    pub concurrency: u32,
    /// Longest time for one request, in milliseconds.
    pub timeout_ms: u32,
}

/// Names a row of the table; two edits conflict when they name the same row.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RowKey {
    /// The service with this name.
    Service(ServiceName),
    /// The route from a path prefix to a service.
    Route(String, ServiceName),
    /// The client account with this name.
    Account(AccountName),
    /// Who may use the routes of a path prefix.
    Access(String),
    /// What the backend servers of a service bear while they are cold.
    ColdStart(ServiceName),
    /// Where the requests of a path prefix may be run.
    PrefixHomes(String),
    /// Where the requests of a client account may be run.
    AccountHomes(AccountName),
}

impl fmt::Display for RowKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Service(name) => write!(f, "service {name}"),
            Self::Route(prefix, name) => write!(f, "route {prefix} -> {name}"),
            Self::Account(name) => write!(f, "account {name}"),
            Self::Access(prefix) => write!(f, "access to {prefix}"),
            Self::ColdStart(name) => write!(f, "cold start of {name}"),
            Self::PrefixHomes(prefix) => write!(f, "homes of {prefix}"),
            Self::AccountHomes(name) => write!(f, "homes of account {name}"),
        }
    }
}

/// Holds the content of a row, apart from its key.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Row {
    /// A service's limits.
    Service(Limits),
    /// A route's weight among the routes of the same prefix; 0 sends it nothing.
    Route(u32),
    /// A client account's keys and limits.
    Account(Account),
    /// Who may use a prefix; without such a row those who have a key.
    Access(Access),
    /// What a cold backend server bears; without such a row as much as any other.
    ColdStart(ColdStart),
    /// The regions in which requests may be run; without such a row everywhere.
    Homes(Homes),
}

/// Holds every row of one configuration version, in key order.
///
/// Serialised as a list of entries, since a JSON object cannot have structured keys.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Vec<(RowKey, Row)>", into = "Vec<(RowKey, Row)>")]
pub struct Table(pub BTreeMap<RowKey, Row>);

impl Table {
    /// Creates an empty table.
    #[must_use]
    pub const fn new() -> Self {
        Self(BTreeMap::new())
    }

    /// Adds or replaces a service.
    #[must_use]
    pub fn with_service(mut self, name: impl Into<String>, limits: Limits) -> Self {
        let key = RowKey::Service(ServiceName::new(name));
        self.0.insert(key, Row::Service(limits));
        self
    }

    /// Adds or replaces a route.
    #[must_use]
    pub fn with_route(
        mut self,
        prefix: impl Into<String>,
        service: impl Into<String>,
        weight: u32,
    ) -> Self {
        let key = RowKey::Route(prefix.into(), ServiceName::new(service));
        self.0.insert(key, Row::Route(weight));
        self
    }

    /// Adds or replaces a client account.
    #[must_use]
    pub fn with_account(mut self, name: impl Into<String>, account: Account) -> Self {
        let key = RowKey::Account(AccountName::new(name));
        self.0.insert(key, Row::Account(account));
        self
    }

    /// Sets who may use a prefix.
    #[must_use]
    pub fn with_access(mut self, prefix: impl Into<String>, access: Access) -> Self {
        self.0
            .insert(RowKey::Access(prefix.into()), Row::Access(access));
        self
    }

    /// Sets what the backend servers of a service bear while they are cold.
    #[must_use]
    pub fn with_cold_start(mut self, service: impl Into<String>, cold: ColdStart) -> Self {
        let key = RowKey::ColdStart(ServiceName::new(service));
        self.0.insert(key, Row::ColdStart(cold));
        self
    }

    /// Sets where the requests of a prefix may be run.
    #[must_use]
    pub fn with_prefix_homes(mut self, prefix: impl Into<String>, homes: Homes) -> Self {
        let key = RowKey::PrefixHomes(prefix.into());
        self.0.insert(key, Row::Homes(homes));
        self
    }

    /// Sets where the requests of a client account may be run.
    #[must_use]
    pub fn with_account_homes(mut self, name: impl Into<String>, homes: Homes) -> Self {
        let key = RowKey::AccountHomes(AccountName::new(name));
        self.0.insert(key, Row::Homes(homes));
        self
    }

    /// Returns the limits of `service`, or `None` when the table lacks it.
    #[must_use]
    pub fn limits(&self, service: &ServiceName) -> Option<Limits> {
        match self.0.get(&RowKey::Service(service.clone())) {
            Some(Row::Service(limits)) => Some(*limits),
            _ => None,
        }
    }

    /// Iterates over the services and their limits.
    pub fn services(&self) -> impl Iterator<Item = (&ServiceName, Limits)> {
        self.0.iter().filter_map(|(key, row)| match (key, row) {
            (RowKey::Service(name), Row::Service(limits)) => Some((name, *limits)),
            _ => None,
        })
    }

    /// Iterates over the routes as prefix, service and weight.
    pub fn routes(&self) -> impl Iterator<Item = (&str, &ServiceName, u32)> {
        self.0.iter().filter_map(|(key, row)| match (key, row) {
            (RowKey::Route(prefix, name), Row::Route(weight)) => {
                Some((prefix.as_str(), name, *weight))
            }
            _ => None,
        })
    }
}

impl Table {
    /// Iterates over the client accounts.
    pub fn accounts(&self) -> impl Iterator<Item = (&AccountName, &Account)> {
        self.0.iter().filter_map(|(key, row)| match (key, row) {
            (RowKey::Account(name), Row::Account(account)) => Some((name, account)),
            _ => None,
        })
    }

    /// Iterates over the services whose backend servers bear less while they are cold.
    pub fn cold_starts(&self) -> impl Iterator<Item = (&ServiceName, ColdStart)> {
        self.0.iter().filter_map(|(key, row)| match (key, row) {
            (RowKey::ColdStart(name), Row::ColdStart(cold)) => Some((name, *cold)),
            _ => None,
        })
    }

    /// Returns where the requests of a prefix may be run.
    #[must_use]
    pub fn prefix_homes(&self, prefix: &str) -> Option<&Homes> {
        self.homes(&RowKey::PrefixHomes(prefix.to_owned()))
    }

    /// Returns where the requests of a client account may be run.
    #[must_use]
    pub fn account_homes(&self, name: &AccountName) -> Option<&Homes> {
        self.homes(&RowKey::AccountHomes(name.clone()))
    }

    fn homes(&self, key: &RowKey) -> Option<&Homes> {
        match self.0.get(key) {
            Some(Row::Homes(homes)) => Some(homes),
            _ => None,
        }
    }

    /// Returns who may use a prefix.
    #[must_use]
    pub fn access(&self, prefix: &str) -> Access {
        match self.0.get(&RowKey::Access(prefix.to_owned())) {
            Some(Row::Access(access)) => *access,
            _ => Access::default(),
        }
    }
}

impl From<Vec<(RowKey, Row)>> for Table {
    fn from(rows: Vec<(RowKey, Row)>) -> Self {
        Self(rows.into_iter().collect())
    }
}

impl From<Table> for Vec<(RowKey, Row)> {
    fn from(table: Table) -> Self {
        table.0.into_iter().collect()
    }
}

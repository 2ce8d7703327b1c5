//! The configuration table: services, routes, client accounts and their restrictions.

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};

use crate::{Access, Account, AccountName, ColdStart, Homes};

/// Name of a service, for example `booking`.
#[derive(Debug, Default, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ServiceName(pub String);

impl ServiceName {
    /// Creates a name without validation.
    ///
    /// [`check`](crate::check) validates the names of a table.
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

/// Limits of one service.
///
/// A value of zero means "no limit" for every field.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Maximum rate over all backend servers of the service, in requests per second.
    pub rate: u32,
    /// Maximum number of in-flight requests at one backend server.
    ///
    /// The slots of a backend server remain an upper bound.
    pub concurrency: u32,
    /// Request timeout, in milliseconds.
    pub timeout_ms: u32,
}

/// Key of a row in the table.
///
/// Two edits conflict when they have the same key.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RowKey {
    /// A service.
    Service(ServiceName),
    /// A route from a path prefix to a service.
    Route(String, ServiceName),
    /// A client account.
    Account(AccountName),
    /// The access rule of a path prefix.
    Access(String),
    /// The cold-start limit for backend servers of a service.
    ColdStart(ServiceName),
    /// The allowed regions for requests of a path prefix.
    PrefixHomes(String),
    /// The allowed regions for requests of a client account.
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

/// Content of a row without its key.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Row {
    /// The limits of a service.
    Service(Limits),
    /// The weight of a route among the routes of the same prefix. A route with weight 0 receives
    /// no requests.
    Route(u32),
    /// The keys and the limits of a client account.
    Account(Account),
    /// The access rule of a prefix. Without this row, callers need the key of a client account.
    Access(Access),
    /// The limit of a cold backend server. Without this row, a cold backend server has the same
    /// limits as any other.
    ColdStart(ColdStart),
    /// The regions in which requests may be executed. Without this row, every region is allowed.
    Homes(Homes),
}

/// The rows of one configuration version, in key order.
///
/// The table is serialized as a list of entries, since a JSON object cannot have structured keys.
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

    /// Adds or replaces the access rule of a prefix.
    #[must_use]
    pub fn with_access(mut self, prefix: impl Into<String>, access: Access) -> Self {
        self.0
            .insert(RowKey::Access(prefix.into()), Row::Access(access));
        self
    }

    /// Adds or replaces the cold-start limit for backend servers of a service.
    #[must_use]
    pub fn with_cold_start(mut self, service: impl Into<String>, cold: ColdStart) -> Self {
        let key = RowKey::ColdStart(ServiceName::new(service));
        self.0.insert(key, Row::ColdStart(cold));
        self
    }

    /// Adds or replaces the allowed regions for requests of a prefix.
    #[must_use]
    pub fn with_prefix_homes(mut self, prefix: impl Into<String>, homes: Homes) -> Self {
        let key = RowKey::PrefixHomes(prefix.into());
        self.0.insert(key, Row::Homes(homes));
        self
    }

    /// Adds or replaces the allowed regions for requests of a client account.
    #[must_use]
    pub fn with_account_homes(mut self, name: impl Into<String>, homes: Homes) -> Self {
        let key = RowKey::AccountHomes(AccountName::new(name));
        self.0.insert(key, Row::Homes(homes));
        self
    }

    /// Returns the limits of `service`, or `None` when the service is not in the table.
    #[must_use]
    pub fn limits(&self, service: &ServiceName) -> Option<Limits> {
        match self.0.get(&RowKey::Service(service.clone())) {
            Some(Row::Service(limits)) => Some(*limits),
            _ => None,
        }
    }

    /// Returns an iterator over the services and their limits.
    pub fn services(&self) -> impl Iterator<Item = (&ServiceName, Limits)> {
        self.0.iter().filter_map(|(key, row)| match (key, row) {
            (RowKey::Service(name), Row::Service(limits)) => Some((name, *limits)),
            _ => None,
        })
    }

    /// Returns an iterator over the routes as tuples of prefix, service and weight.
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
    /// Returns an iterator over the client accounts.
    pub fn accounts(&self) -> impl Iterator<Item = (&AccountName, &Account)> {
        self.0.iter().filter_map(|(key, row)| match (key, row) {
            (RowKey::Account(name), Row::Account(account)) => Some((name, account)),
            _ => None,
        })
    }

    /// Returns an iterator over the services with a cold-start limit.
    pub fn cold_starts(&self) -> impl Iterator<Item = (&ServiceName, ColdStart)> {
        self.0.iter().filter_map(|(key, row)| match (key, row) {
            (RowKey::ColdStart(name), Row::ColdStart(cold)) => Some((name, *cold)),
            _ => None,
        })
    }

    /// Returns the allowed regions for requests of a prefix.
    ///
    /// Returns `None` when every region is allowed.
    #[must_use]
    pub fn prefix_homes(&self, prefix: &str) -> Option<&Homes> {
        self.homes(&RowKey::PrefixHomes(prefix.to_owned()))
    }

    /// Returns the allowed regions for requests of a client account.
    ///
    /// Returns `None` when every region is allowed.
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

    /// Returns the access rule of a prefix, or the default rule when the prefix has no row.
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

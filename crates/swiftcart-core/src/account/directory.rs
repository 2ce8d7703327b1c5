//! Lookup of the accounts of one configuration version by API key.

use std::collections::HashMap;
use std::sync::Arc;

use super::{Account, AccountName, AccountTag, KeyHash, Quota};
use crate::{AllowedRegions, Homes, Priority, Table};

/// Account that an API key belongs to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResolvedAccount {
    /// Name of the account.
    pub name: AccountName,
    /// Identifier of the account in messages between nodes.
    pub tag: AccountTag,
    /// Request quota; `None` sets no limit.
    pub quota: Option<Quota>,
    /// Priority of the account's requests, which overrides the priority of their routes.
    pub priority: Option<Priority>,
    /// Regions in which the account's requests may run.
    pub regions: AllowedRegions,
}

impl ResolvedAccount {
    /// Returns the weight of the account in shares of a full service: the rate of its quota, or one
    /// without a quota.
    #[must_use]
    pub fn weight(&self) -> f64 {
        self.quota.map_or(1.0, |quota| f64::from(quota.rate))
    }
}

/// Directory of accounts by API key and by tag.
///
/// # Examples
///
/// ```
/// use swiftcart_core::{Account, Accounts, KeyHash, Table};
///
/// let account = Account::new().with_key(KeyHash::of(b"3f9c"));
/// let accounts = Accounts::new(&Table::new().with_account("harbour", account));
/// let found = accounts.account_by_key(KeyHash::of(b"3f9c")).map(|account| account.name.as_str());
/// assert_eq!(found, Some("harbour"));
/// assert_eq!(accounts.account_by_key(KeyHash::of(b"other")), None);
/// ```
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Accounts {
    by_key: HashMap<KeyHash, Arc<ResolvedAccount>>,
    by_tag: HashMap<AccountTag, Arc<ResolvedAccount>>,
}

impl Accounts {
    /// Creates the directory of the accounts in `table`.
    #[must_use]
    pub fn new(table: &Table) -> Self {
        let mut accounts = Self::default();
        for (name, account) in table.accounts() {
            accounts.add(name, account, table.account_homes(name));
        }
        accounts
    }

    /// Returns `true` if the configuration has no accounts and therefore requires no API keys.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_tag.is_empty()
    }

    /// Returns the account that an API key belongs to.
    #[must_use]
    pub fn account_by_key(&self, key: KeyHash) -> Option<&Arc<ResolvedAccount>> {
        self.by_key.get(&key)
    }

    /// Returns the quota of the account with this tag, if the account has a quota.
    #[must_use]
    pub fn quota(&self, tag: AccountTag) -> Option<Quota> {
        self.by_tag.get(&tag)?.quota
    }

    fn add(&mut self, name: &AccountName, account: &Account, homes: Option<&Homes>) {
        let identity = Arc::new(ResolvedAccount {
            name: name.clone(),
            tag: AccountTag::new(name),
            quota: account.quota,
            priority: account.priority,
            regions: homes.map(AllowedRegions::from).unwrap_or_default(),
        });
        for key in &account.keys {
            self.by_key.insert(*key, Arc::clone(&identity));
        }
        self.by_tag.insert(identity.tag, identity);
    }
}

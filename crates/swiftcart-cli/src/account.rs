//! Changes of client accounts: what each asks of the current table.

use std::fmt;

use quick_error::quick_error;
use rand::TryRngCore;
use rand::rngs::OsRng;
use swiftcart_core::{
    Account, AccountName, Edit, Homes, KeyHash, Priority, Quota, Row, RowKey, Table,
};

use crate::Error;

/// The fewest digits of a key's hash that name the key.
pub const MIN_HASH_DIGITS: usize = 4;

quick_error! {
    /// Tells why a change of an account makes no sense for the current table.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum AccountError {
        /// The account is there already.
        AlreadyExists(name: AccountName) {
            display("account {name} is there already; change it with account rotate, revoke, quota or homes")
        }
        /// The account is not there.
        NotFound(name: AccountName) {
            display("the table has no account {name}; see account list")
        }
        /// No key has such a hash.
        KeyNotFound(name: AccountName, digits: String) {
            display("account {name} has no key whose hash begins with {digits}; see account list")
        }
        /// No one knows yet whether the change was taken.
        OutcomeUnknown(name: AccountName, detail: String) {
            display("outcome unknown ({detail}): look with account list what became of {name}; a key that was not shown cannot be used, revoke it there")
        }
        /// Several keys have such a hash.
        AmbiguousKey(name: AccountName, digits: String) {
            display("several keys of account {name} have hashes that begin with {digits}; give more digits")
        }
    }
}

/// An API key as it is handed to a customer; it is shown once and kept nowhere.
#[derive(Clone, PartialEq, Eq)]
pub struct ApiKey(String);

/// What an operator asks of a client account.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AccountChange {
    /// Adds it, with a first key.
    Add(AccountName, Account),
    /// Gives it another key; the others stay until they are revoked.
    Rotate(AccountName),
    /// Takes away the key whose hash begins with these digits.
    Revoke(AccountName, String),
    /// Sets what it may send; `None` lifts the limit.
    Quota(AccountName, Option<Quota>),
    /// Sets the regions in which its requests are run; none lifts the bound.
    Homes(AccountName, Homes),
    /// Removes it with all its keys.
    Remove(AccountName),
}

impl ApiKey {
    /// Draws a key of 128 random bits from the system.
    ///
    /// # Errors
    ///
    /// [`Error::Random`] when the system gives none.
    pub fn generate() -> Result<Self, Error> {
        let mut bytes = [0; 16];
        OsRng.try_fill_bytes(&mut bytes)?;
        Ok(Self(format!("{:032x}", u128::from_be_bytes(bytes))))
    }

    /// Returns the key itself.
    #[must_use]
    pub fn reveal(&self) -> &str {
        &self.0
    }

    /// Returns the hash that nodes keep.
    #[must_use]
    pub fn hash(&self) -> KeyHash {
        KeyHash::of(self.0.as_bytes())
    }
}

impl fmt::Debug for ApiKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "ApiKey({})", self.hash())
    }
}

impl AccountChange {
    /// Returns the account.
    #[must_use]
    pub const fn name(&self) -> &AccountName {
        match self {
            Self::Add(name, _)
            | Self::Rotate(name)
            | Self::Revoke(name, _)
            | Self::Quota(name, _)
            | Self::Homes(name, _)
            | Self::Remove(name) => name,
        }
    }

    /// Tells whether the change brings a new key.
    #[must_use]
    pub const fn needs_key(&self) -> bool {
        matches!(self, Self::Add(..) | Self::Rotate(_))
    }

    /// Returns the edits that the change makes of `table`, with the hash of a new key where it wants one.
    ///
    /// # Examples
    ///
    /// ```
    /// use swiftcart_cli::{AccountChange, AccountError};
    /// use swiftcart_core::{AccountName, KeyHash, Table};
    ///
    /// let rotate = AccountChange::Rotate(AccountName::new("harbour"));
    /// let refused = rotate.edits(&Table::new(), KeyHash::of(b"new")).unwrap_err();
    /// assert_eq!(refused, AccountError::NotFound(AccountName::new("harbour")));
    /// ```
    ///
    /// # Errors
    ///
    /// [`AccountError`] when the table and the change do not fit.
    pub fn edits(&self, table: &Table, key: KeyHash) -> Result<Vec<Edit>, AccountError> {
        let name = self.name();
        let found = table.accounts().find(|(found, _)| *found == name);
        let found = found.map(|(_, account)| account.clone());
        let existing = || {
            found
                .clone()
                .ok_or_else(|| AccountError::NotFound(name.clone()))
        };
        let account = match self {
            Self::Add(..) if found.is_some() => {
                return Err(AccountError::AlreadyExists(name.clone()));
            }
            Self::Add(_, account) => account.clone().with_key(key),
            Self::Rotate(_) => existing()?.with_key(key),
            Self::Revoke(_, digits) => without_key(name, existing()?, digits)?,
            Self::Quota(_, quota) => Account {
                quota: *quota,
                ..existing()?
            },
            Self::Homes(_, homes) => {
                existing()?;
                return Ok(vec![homes_edit(name, homes)]);
            }
            Self::Remove(_) => {
                existing()?;
                let homes = table.account_homes(name).is_some();
                let homes = homes.then(|| homes_edit(name, &Homes::new()));
                let account = Edit {
                    key: RowKey::Account(name.clone()),
                    row: None,
                };
                return Ok([account].into_iter().chain(homes).collect());
            }
        };
        Ok(vec![Edit {
            key: RowKey::Account(name.clone()),
            row: Some(Row::Account(account)),
        }])
    }
}

/// Returns what an operator sees of an account: no key, only hashes.
#[must_use]
pub fn account_cells(table: &Table, name: &AccountName, account: &Account) -> [String; 5] {
    let none = || "-".to_owned();
    let keys: Vec<_> = account.keys.iter().map(|key| short_hash(*key)).collect();
    let quota = account.quota;
    let homes = table.account_homes(name);
    let homes = homes.map(|homes| {
        homes
            .regions()
            .iter()
            .map(|r| r.0.as_str())
            .collect::<Vec<_>>()
    });
    [
        name.to_string(),
        keys.join(" "),
        quota.map_or_else(none, |Quota { rate, burst }| {
            format!("{rate}/s, burst {burst}")
        }),
        account
            .priority
            .map_or_else(none, |Priority(rank)| rank.to_string()),
        homes.map_or_else(none, |homes| homes.join(" ")),
    ]
}

/// Returns the first digits of a key's hash.
fn short_hash(key: KeyHash) -> String {
    key.to_string().chars().take(2 * MIN_HASH_DIGITS).collect()
}

fn homes_edit(name: &AccountName, homes: &Homes) -> Edit {
    Edit {
        key: RowKey::AccountHomes(name.clone()),
        row: (!homes.is_empty()).then(|| Row::Homes(homes.clone())),
    }
}

fn without_key(
    name: &AccountName,
    mut account: Account,
    digits: &str,
) -> Result<Account, AccountError> {
    let matches_digits = |key: &&KeyHash| key.to_string().starts_with(digits);
    let keys: Vec<KeyHash> = account
        .keys
        .iter()
        .filter(matches_digits)
        .copied()
        .collect();
    match keys[..] {
        [key] => {
            account.keys.remove(&key);
            Ok(account)
        }
        [] => Err(AccountError::KeyNotFound(name.clone(), digits.to_owned())),
        _ => Err(AccountError::AmbiguousKey(name.clone(), digits.to_owned())),
    }
}

//! Changes of client accounts and the edits that they make.

use std::fmt;

use quick_error::quick_error;
use rand::TryRngCore;
use rand::rngs::OsRng;
use swiftcart_core::{
    Account, AccountName, Edit, Homes, KeyHash, Priority, Quota, Row, RowKey, Table,
};

use crate::Error;

/// Minimum number of hexadecimal digits of a key's hash that select the key.
pub const MIN_HASH_DIGITS: usize = 4;

quick_error! {
    /// Reason why an account change does not apply to the current table.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum AccountError {
        /// The account exists already.
        Exists(name: AccountName) {
            display("account {name} already exists; change it with account rotate, revoke, quota or homes")
        }
        /// The account does not exist.
        NotFound(name: AccountName) {
            display("the table has no account {name}; see account list")
        }
        /// No key of the account has a hash that begins with the digits.
        KeyNotFound(name: AccountName, digits: String) {
            display("account {name} has no key whose hash begins with {digits}; see account list")
        }
        /// The platform may or may not have appended the change.
        OutcomeUnknown(name: AccountName, detail: String) {
            display("outcome unknown ({detail}): check account {name} with account list and revoke any key that was not shown, since it cannot be used")
        }
        /// Several keys of the account have a hash that begins with the digits.
        AmbiguousKey(name: AccountName, digits: String) {
            display("several keys of account {name} have hashes that begin with {digits}; give more digits")
        }
    }
}

/// API key of a client account in plain text. The key is shown once and never stored.
#[derive(Clone, PartialEq, Eq)]
pub struct ApiKey(String);

/// Change of a client account.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AccountChange {
    /// Adds the account with a first key.
    Add(AccountName, Account),
    /// Adds a key to the account. The other keys stay valid until they are revoked.
    Rotate(AccountName),
    /// Revokes the key whose hash begins with the digits.
    Revoke(AccountName, String),
    /// Sets the request quota; `None` removes it.
    Quota(AccountName, Option<Quota>),
    /// Sets the regions that may run the account's requests; an empty set allows all regions.
    Homes(AccountName, Homes),
    /// Removes the account with all its keys.
    Remove(AccountName),
}

impl ApiKey {
    /// Generates a key of 128 random bits from the operating system.
    ///
    /// # Errors
    ///
    /// [`Error::Random`] if the operating system provides no random numbers.
    pub fn generate() -> Result<Self, Error> {
        let mut bytes = [0; 16];
        OsRng.try_fill_bytes(&mut bytes)?;
        Ok(Self(format!("{:032x}", u128::from_be_bytes(bytes))))
    }

    /// Returns the key in plain text.
    #[must_use]
    pub fn reveal(&self) -> &str {
        &self.0
    }

    /// Returns the hash of the key, which is what the table stores.
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
    /// Returns the name of the account.
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

    /// Returns `true` if the change adds a key.
    #[must_use]
    pub const fn needs_key(&self) -> bool {
        matches!(self, Self::Add(..) | Self::Rotate(_))
    }

    /// Returns the edits that apply the change to `table`.
    ///
    /// `key` is the hash of the new key; it is used only if [`needs_key`](Self::needs_key) is
    /// `true`.
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
    /// [`AccountError`] if the change does not apply to the table.
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
            Self::Add(..) if found.is_some() => return Err(AccountError::Exists(name.clone())),
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

/// Returns the cells of an account for the operator. Keys appear as shortened hashes only.
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

/// Returns the first digits of a key's hash, twice as many as are needed to select the key.
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

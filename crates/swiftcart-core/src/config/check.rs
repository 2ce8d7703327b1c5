//! Validation of tables and publishes.

use std::collections::{BTreeMap, BTreeSet};

use quick_error::quick_error;
use serde::{Deserialize, Serialize};

use super::{Limits, Row, RowKey, ServiceName, Table};
use crate::{Account, AccountName, ColdStart, Homes, KeyHash, Region};

/// Maximum number of rows in a table.
pub const MAX_ROWS: usize = 4096;
/// Maximum size of a table in bytes, as the sum of [`row_size_bound`] over its rows.
///
/// The limit ensures that a checkpoint fits into one record.
pub const MAX_TABLE_BYTES: usize = 120 * 1024;
/// Maximum length of the name of a service, client account or region, in bytes.
pub const MAX_NAME_BYTES: usize = 63;
/// Maximum length of a path prefix, in bytes.
pub const MAX_PREFIX_BYTES: usize = 256;
/// Maximum weight of a route.
pub const MAX_WEIGHT: u32 = 1000;
/// Maximum rate limit, in requests per second.
pub const MAX_RATE: u32 = 1_000_000;
/// Maximum concurrency limit, in requests.
pub const MAX_CONCURRENCY: u32 = 10_000;
/// Minimum request timeout of a service, in milliseconds.
pub const MIN_TIMEOUT_MS: u32 = 10;
/// Maximum request timeout of a service, in milliseconds.
pub const MAX_TIMEOUT_MS: u32 = 600_000;
/// Upper bound on the bytes that a row takes in a checkpoint in addition to the text of its key.
const ROW_OVERHEAD_BYTES: usize = 24;

quick_error! {
    /// A rule that a table or a publish breaks, and the place of the violation.
    #[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
    #[serde(rename_all = "kebab-case")]
    pub enum Violation {
        /// The name of a service is not well formed.
        Name(name: ServiceName) {
            display("service {:?}: a name has 1 to {MAX_NAME_BYTES} characters of a-z, 0-9 and -", name.as_str())
        }
        /// The path prefix of a route is not well formed.
        Prefix(prefix: String) {
            display("route {prefix:?}: a prefix starts with / and has at most {MAX_PREFIX_BYTES} visible ASCII characters without ? and #")
        }
        /// A route refers to a service that is not in the table.
        UnknownService(prefix: String, service: ServiceName) {
            display("route {prefix} -> {service}: add the service {service} or remove the route")
        }
        /// The weight of a route is out of range.
        Weight(prefix: String, service: ServiceName, weight: u32) {
            display("route {prefix} -> {service}: weight {weight} is over {MAX_WEIGHT}")
        }
        /// No route of a prefix has a positive weight.
        NoWeight(prefix: String) {
            display("route {prefix}: give at least one service a weight above 0")
        }
        /// The rate limit of a service is out of range.
        Rate(service: ServiceName, rate: u32) {
            display("service {service}: rate {rate} is over {MAX_RATE}")
        }
        /// The concurrency limit of a service is out of range.
        Concurrency(service: ServiceName, concurrency: u32) {
            display("service {service}: concurrency {concurrency} is over {MAX_CONCURRENCY}")
        }
        /// The timeout of a service is out of range.
        Timeout(service: ServiceName, timeout_ms: u32) {
            display("service {service}: timeout_ms {timeout_ms} is neither 0 nor in {MIN_TIMEOUT_MS}..={MAX_TIMEOUT_MS}")
        }
        /// The content of a row does not match the kind of its key.
        Kind(key: RowKey) {
            display("{key}: limits belong to a service, a weight to a route, keys to an account")
        }
        /// The name of a client account is not well formed.
        AccountName(name: AccountName) {
            display("account {:?}: a name has 1 to {MAX_NAME_BYTES} characters of a-z, 0-9 and -", name.as_str())
        }
        /// Two client accounts have the same API key.
        SharedKey(first: AccountName, second: AccountName) {
            display("accounts {first} and {second} have the same key: revoke it in one of them")
        }
        /// The quota of a client account has a burst of 0 or a rate out of range.
        Quota(name: AccountName) {
            display("account {name}: a quota has a rate of 1 to {MAX_RATE} and a burst of 1 at least; remove it for no limit")
        }
        /// The cold-start rate of a service is out of range, or the service is not in the table.
        ColdStart(name: ServiceName) {
            display("cold start of {name}: needs a service of the table and a rate of 1 to {MAX_RATE}")
        }
        /// An access row names a prefix without routes.
        Access(prefix: String) {
            display("access to {prefix}: add a route with this prefix or remove the row")
        }
        /// The table has too many rows.
        Rows(rows: usize) {
            display("{rows} rows are over {MAX_ROWS}; remove unused rows")
        }
        /// The table is too large for a checkpoint.
        Bytes(bytes: usize) {
            display("rows of {bytes} bytes are over {MAX_TABLE_BYTES}; remove rows or shorten prefixes")
        }
        /// A row restricts the regions of a route or client account that is not in the table.
        Homeless(key: RowKey) {
            display("{key}: the table has no such route or account; add it, or remove the row")
        }
        /// A row with allowed regions names no region.
        NoHomes(key: RowKey) {
            display("{key}: name at least one region, or remove the row to allow every region")
        }
        /// The name of a region is not well formed.
        Region(key: RowKey, region: Box<Region>) {
            display("{key}: region {:?}: 1 to {MAX_NAME_BYTES} lower-case letters, digits and -", region.0)
        }
        /// A publish edits the same row twice.
        Twice(key: RowKey) {
            display("{key}: edit a row only once in a publish")
        }
        /// The author of a publish is not well formed.
        Author(author: String) {
            display("author {author:?}: 1 to {} bytes without control characters", super::MAX_AUTHOR_BYTES)
        }
    }
}

/// Returns every rule that `table` breaks, or an empty vector when the table is valid.
///
/// The order is: size limits, single rows in key order, prefixes without a positive weight, and
/// shared API keys.
///
/// # Examples
///
/// ```
/// use swiftcart_core::{ServiceName, Table, Violation, check};
///
/// let table = Table::new().with_route("/book", "booking", 1);
/// let expected = Violation::UnknownService("/book".into(), ServiceName::new("booking"));
/// assert_eq!(check(&table), [expected]);
/// ```
#[must_use]
pub fn check(table: &Table) -> Vec<Violation> {
    let size = check_size(table);
    let rows = table
        .0
        .iter()
        .flat_map(|(key, row)| check_row(table, key, row));
    size.into_iter()
        .chain(rows)
        .chain(check_weights(table))
        .chain(check_shared_keys(table))
        .collect()
}

/// Returns an upper bound on the encoded size of a row, which counts towards [`MAX_TABLE_BYTES`].
#[must_use]
pub const fn row_size_bound(key: &RowKey) -> usize {
    match key {
        RowKey::Service(name) => name.0.len() + ROW_OVERHEAD_BYTES,
        RowKey::Route(prefix, name) => prefix.len() + name.0.len() + ROW_OVERHEAD_BYTES,
        RowKey::Account(name) => name.0.len() + ROW_OVERHEAD_BYTES,
        RowKey::Access(prefix) => prefix.len() + ROW_OVERHEAD_BYTES,
        RowKey::ColdStart(name) => name.0.len() + ROW_OVERHEAD_BYTES,
        RowKey::PrefixHomes(prefix) => prefix.len() + ROW_OVERHEAD_BYTES,
        RowKey::AccountHomes(name) => name.0.len() + ROW_OVERHEAD_BYTES,
    }
}

fn check_size(table: &Table) -> Vec<Violation> {
    let rows = table.0.len();
    let bytes = table.0.keys().map(row_size_bound).sum();
    let mut violations = Vec::new();
    if rows > MAX_ROWS {
        violations.push(Violation::Rows(rows));
    }
    if bytes > MAX_TABLE_BYTES {
        violations.push(Violation::Bytes(bytes));
    }
    violations
}

fn check_row(table: &Table, key: &RowKey, row: &Row) -> Vec<Violation> {
    match (key, row) {
        (RowKey::Service(name), Row::Service(limits)) => check_service(name, *limits),
        (RowKey::Route(prefix, name), Row::Route(weight)) => {
            check_route(table, prefix, name, *weight)
        }
        (RowKey::Account(name), Row::Account(account)) => check_account(name, account),
        (RowKey::Access(prefix), Row::Access(_)) => check_access(table, prefix),
        (RowKey::ColdStart(name), Row::ColdStart(cold)) => check_cold_start(table, name, *cold),
        (RowKey::PrefixHomes(prefix), Row::Homes(homes)) => {
            let known = table.routes().any(|(known, ..)| known == prefix);
            check_homes(key, homes, known)
        }
        (RowKey::AccountHomes(name), Row::Homes(homes)) => {
            let known = table.accounts().any(|(known, _)| known == name);
            check_homes(key, homes, known)
        }
        _ => vec![Violation::Kind(key.clone())],
    }
}

fn check_account(name: &AccountName, account: &Account) -> Vec<Violation> {
    let mut violations = Vec::new();
    if !is_name(name.as_str()) {
        violations.push(Violation::AccountName(name.clone()));
    }
    let in_range = |rate| (1..=MAX_RATE).contains(&rate);
    if account
        .quota
        .is_some_and(|quota| !in_range(quota.rate) || quota.burst == 0)
    {
        violations.push(Violation::Quota(name.clone()));
    }
    violations
}

fn check_cold_start(table: &Table, name: &ServiceName, cold: ColdStart) -> Vec<Violation> {
    let in_range = (1..=MAX_RATE).contains(&cold.rate) && table.limits(name).is_some();
    match in_range {
        true => Vec::new(),
        false => vec![Violation::ColdStart(name.clone())],
    }
}

fn check_access(table: &Table, prefix: &str) -> Vec<Violation> {
    match table.routes().any(|(known, ..)| known == prefix) {
        true => Vec::new(),
        false => vec![Violation::Access(prefix.to_owned())],
    }
}

fn check_homes(key: &RowKey, homes: &Homes, known: bool) -> Vec<Violation> {
    let well_formed = |region: &Region| is_name(&region.0);
    match (known, homes.regions().iter().find(|r| !well_formed(r))) {
        (false, _) => vec![Violation::Homeless(key.clone())],
        (true, Some(region)) => vec![Violation::Region(key.clone(), Box::new(region.clone()))],
        (true, None) if homes.is_empty() => vec![Violation::NoHomes(key.clone())],
        (true, None) => Vec::new(),
    }
}

fn check_shared_keys(table: &Table) -> Vec<Violation> {
    let mut owners: BTreeMap<KeyHash, &AccountName> = BTreeMap::new();
    let keys = table.accounts();
    let keys = keys.flat_map(|(name, account)| account.keys.iter().map(move |key| (*key, name)));
    let mut violations = Vec::new();
    for (key, name) in keys {
        if let Some(first) = owners.insert(key, name) {
            violations.push(Violation::SharedKey(first.clone(), name.clone()));
        }
    }
    violations
}

fn check_service(name: &ServiceName, limits: Limits) -> Vec<Violation> {
    let timeouts = MIN_TIMEOUT_MS..=MAX_TIMEOUT_MS;
    let mut violations = Vec::new();
    if !is_name(name.as_str()) {
        violations.push(Violation::Name(name.clone()));
    }
    if limits.rate > MAX_RATE {
        violations.push(Violation::Rate(name.clone(), limits.rate));
    }
    if limits.concurrency > MAX_CONCURRENCY {
        violations.push(Violation::Concurrency(name.clone(), limits.concurrency));
    }
    if limits.timeout_ms != 0 && !timeouts.contains(&limits.timeout_ms) {
        violations.push(Violation::Timeout(name.clone(), limits.timeout_ms));
    }
    violations
}

fn check_route(table: &Table, prefix: &str, name: &ServiceName, weight: u32) -> Vec<Violation> {
    let mut violations = Vec::new();
    if !is_prefix(prefix) {
        violations.push(Violation::Prefix(prefix.to_owned()));
    }
    if table.limits(name).is_none() {
        violations.push(Violation::UnknownService(prefix.to_owned(), name.clone()));
    }
    if weight > MAX_WEIGHT {
        let (prefix, name) = (prefix.to_owned(), name.clone());
        violations.push(Violation::Weight(prefix, name, weight));
    }
    violations
}

fn check_weights(table: &Table) -> Vec<Violation> {
    let mut max_weights = BTreeMap::new();
    for (prefix, _, weight) in table.routes() {
        let max_weight = max_weights.entry(prefix).or_insert(0);
        *max_weight = weight.max(*max_weight);
    }
    let unweighted = max_weights.into_iter().filter(|(_, weight)| *weight == 0);
    unweighted
        .map(|(prefix, _)| Violation::NoWeight(prefix.to_owned()))
        .collect()
}

pub(super) fn check_publish(publish: &super::Publish) -> Vec<Violation> {
    let mut seen = BTreeSet::new();
    let duplicates = publish.edits.iter().filter(|edit| !seen.insert(&edit.key));
    let mut violations: Vec<_> = duplicates
        .map(|edit| Violation::Twice(edit.key.clone()))
        .collect();
    if !is_author(&publish.author) {
        violations.push(Violation::Author(publish.author.clone()));
    }
    violations
}

pub(super) fn is_author(author: &str) -> bool {
    (1..=super::MAX_AUTHOR_BYTES).contains(&author.len()) && !author.chars().any(char::is_control)
}

fn is_name(name: &str) -> bool {
    let allowed = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-';
    (1..=MAX_NAME_BYTES).contains(&name.len()) && name.bytes().all(allowed)
}

fn is_prefix(prefix: &str) -> bool {
    let allowed = |b: u8| b.is_ascii_graphic() && b != b'?' && b != b'#';
    prefix.starts_with('/') && prefix.len() <= MAX_PREFIX_BYTES && prefix.bytes().all(allowed)
}

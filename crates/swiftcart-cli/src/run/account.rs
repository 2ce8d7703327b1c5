//! Execution of the commands for client accounts.

use serde_json::json;
use swiftcart_core::{KeyHash, Table};

use super::{author, platform, retry, rng};
use crate::{
    AccountChange, AccountError, ApiKey, Decision, Error, Exit, Published, ReadOptions, Report,
    Settings, StreamReader, account_cells, publish_edits, render,
};

/// Lists the accounts of the current table.
pub(super) async fn list(settings: &Settings) -> Result<Report, Error> {
    let platform = platform(settings)?;
    let reader =
        StreamReader::open(&platform, ReadOptions::default(), &mut retry(settings)?).await?;
    let (table, version) = (reader.fold().table(), reader.fold().version());
    let rows = table
        .accounts()
        .map(|(name, account)| account_cells(table, name, account));
    let headings = ["account", "keys (hashes)", "quota", "rank", "homes"];
    let text = render::grid(headings, rows.collect());
    Ok(Report::new(
        text,
        json!({ "version": version, "accounts": accounts_json(table) }),
    ))
}

/// Publishes an account change. The report of a new key is the only place where the key is shown.
pub(super) async fn change(settings: &Settings, change: &AccountChange) -> Result<Report, Error> {
    let author = author(settings)?;
    let key = change.needs_key().then(ApiKey::generate).transpose()?;
    let hash = key.as_ref().map_or(KeyHash::of(b""), ApiKey::hash);
    let platform = platform(settings)?;
    let (mut retry, mut rng) = (retry(settings)?, rng()?);
    let edits = |table: &Table| change.edits(table, hash).map_err(Error::Account);
    let retry_and_rng = (&mut retry, &mut rng);
    let published = match publish_edits(&platform, &author, edits, retry_and_rng).await {
        Err(Error::OutcomeUnknown(_, e)) => {
            let name = change.name().clone();
            return Err(AccountError::OutcomeUnknown(name, e.to_string()).into());
        }
        result => result?,
    };
    Ok(report(&published, change, key.as_ref()))
}

fn report(published: &Published, change: &AccountChange, key: Option<&ApiKey>) -> Report {
    let name = change.name();
    match &published.decision {
        Decision::Unchanged(version) => Report::new(
            format!("nothing to change: account {name} is already in this state as of version {version}"),
            json!({ "result": "unchanged", "version": version }),
        ),
        Decision::Accepted(version) => {
            let text = format!("accepted as version {version}: account {name}");
            let text = match key {
                Some(key) => format!(
                    "{text}\nkey {}\nThe key is shown only once; nodes store only its hash {}.",
                    key.reveal(),
                    key.hash()
                ),
                None => text,
            };
            let json = json!({
                "result": "accepted", "version": version, "account": name,
                "key": key.map(ApiKey::reveal), "hash": key.map(|key| key.hash().to_string()),
            });
            Report::new(text, json)
        }
        Decision::Rejected(rejection) => Report::new(
            format!("rejected, nothing changed: {rejection}"),
            json!({ "result": "rejected", "reason": rejection.kind(), "message": rejection.to_string() }),
        )
        .with_exit(Exit::Rejected),
    }
}

fn accounts_json(table: &Table) -> Vec<serde_json::Value> {
    let accounts = table.accounts().map(|(name, account)| {
        let keys: Vec<_> = account.keys.iter().map(KeyHash::to_string).collect();
        json!({
            "account": name, "keys": keys, "quota": account.quota, "priority": account.priority,
            "homes": table.account_homes(name),
        })
    });
    accounts.collect()
}

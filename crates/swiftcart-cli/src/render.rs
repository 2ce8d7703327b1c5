//! Rendering of tables, rows and times as text or JSON.

use comfy_table::{ContentArrangement, Table as Grid, presets};
use serde_json::{Value, json};
use swiftcart_core::{Access, Account, Edit, Limits, Quota, Row, RowKey, Table};

const DAY_MS: u64 = 86_400_000;

/// Formats `rows` in aligned columns below `headings`, without borders.
#[must_use]
pub fn grid<const N: usize>(headings: [&str; N], rows: Vec<[String; N]>) -> String {
    let mut grid = Grid::new();
    grid.load_preset(presets::NOTHING)
        .set_content_arrangement(ContentArrangement::Disabled)
        .set_header(headings)
        .add_rows(rows);
    let lines: Vec<_> = grid.lines().map(|line| line.trim().to_owned()).collect();
    lines.join("\n")
}

/// Returns the row count `n` with its unit.
#[must_use]
pub fn rows(n: usize) -> String {
    match n {
        1 => "1 row".into(),
        n => format!("{n} rows"),
    }
}

/// Returns the content of a row as text for people, `-` for no row.
#[must_use]
pub fn content(row: Option<&Row>) -> String {
    match row {
        None => "-".into(),
        Some(Row::Route(weight)) => format!("weight {weight}"),
        Some(Row::Service(Limits {
            rate,
            concurrency,
            timeout_ms,
        })) => format!("rate {rate}, concurrency {concurrency}, timeout_ms {timeout_ms}"),
        Some(Row::Account(Account { keys, quota, .. })) => match quota {
            Some(Quota { rate, burst }) => {
                format!("{} keys, rate {rate}, burst {burst}", keys.len())
            }
            None => format!("{} keys, no quota", keys.len()),
        },
        Some(Row::ColdStart(cold)) => format!("cold rate {}", cold.rate),
        Some(Row::Access(Access::Public)) => "public".into(),
        Some(Row::Access(Access::Accounts)) => "accounts".into(),
        Some(Row::Homes(homes)) => {
            let names = homes.regions().iter().map(|region| region.0.as_str());
            names.collect::<Vec<_>>().join(", ")
        }
    }
}

/// Returns the rows that `edits` change in `base` as text, one row per line.
#[must_use]
pub fn changes(base: &Table, edits: &[Edit]) -> String {
    let rows = edits.iter().map(|edit| {
        let before = base.0.get(&edit.key);
        [
            change_kind(before, edit.row.as_ref()).into(),
            edit.key.to_string(),
            content(before),
            content(edit.row.as_ref()),
        ]
    });
    grid(["change", "row", "before", "after"], rows.collect())
}

/// Returns the rows that `edits` change in `base` as JSON objects.
#[must_use]
pub fn changes_json(base: &Table, edits: &[Edit]) -> Vec<Value> {
    let rows = edits.iter().map(|edit| {
        let before = base.0.get(&edit.key);
        let mut json = row_json(&edit.key, None);
        json["change"] = json!(change_kind(before, edit.row.as_ref()));
        json["before"] = json!(before.map(row_fields));
        json["after"] = json!(edit.row.as_ref().map(row_fields));
        json
    });
    rows.collect()
}

/// Returns a row as a flat JSON object with the sheet's headings as keys.
#[must_use]
pub fn row_json(key: &RowKey, row: Option<&Row>) -> Value {
    let mut json = match key {
        RowKey::Service(name) => json!({"kind": "service", "service": name}),
        RowKey::Route(prefix, name) => {
            json!({"kind": "route", "service": name, "prefix": prefix})
        }
        RowKey::Account(name) => json!({"kind": "account", "account": name}),
        RowKey::ColdStart(name) => json!({"kind": "cold-start", "service": name}),
        RowKey::Access(prefix) => json!({"kind": "access", "prefix": prefix}),
        RowKey::PrefixHomes(prefix) => json!({"kind": "homes", "prefix": prefix}),
        RowKey::AccountHomes(name) => json!({"kind": "homes", "account": name}),
    };
    if let (Some(object), Some(Value::Object(cells))) = (json.as_object_mut(), row.map(row_fields))
    {
        object.extend(cells);
    }
    json
}

/// Formats a time in milliseconds since the Unix epoch as UTC, such as `2026-12-02 14:30:05`.
///
/// # Examples
///
/// ```
/// assert_eq!(swiftcart_cli::utc(1_709_210_096_000), "2024-02-29 12:34:56");
/// ```
#[must_use]
pub fn utc(ms: u64) -> String {
    let (year, month, day) = civil_date(ms / DAY_MS);
    let secs = ms % DAY_MS / 1000;
    let (h, m, s) = (secs / 3600, secs / 60 % 60, secs % 60);
    format!("{year:04}-{month:02}-{day:02} {h:02}:{m:02}:{s:02}")
}

/// Converts days since the Unix epoch to year, month and day (Hinnant's `civil_from_days`).
const fn civil_date(days: u64) -> (u64, u64, u64) {
    let shifted = days + 719_468;
    let era = shifted / 146_097;
    let doe = shifted % 146_097;
    let yoe = (doe - doe / 1460 + doe / 36_524 - doe / 146_096) / 365;
    let doy = doe - (365 * yoe + yoe / 4 - yoe / 100);
    let mp = (5 * doy + 2) / 153;
    let day = doy - (153 * mp + 2) / 5 + 1;
    let month = if mp < 10 { mp + 3 } else { mp - 9 };
    let year = yoe + era * 400 + (month <= 2) as u64;
    (year, month, day)
}

const fn change_kind(before: Option<&Row>, after: Option<&Row>) -> &'static str {
    match (before, after) {
        (None, _) => "added",
        (Some(_), Some(_)) => "changed",
        (Some(_), None) => "removed",
    }
}

fn row_fields(row: &Row) -> Value {
    match row {
        Row::Route(weight) => json!({"weight": weight}),
        Row::Service(limits) => json!(limits),
        Row::Account(account) => json!(account),
        Row::ColdStart(cold) => json!(cold),
        Row::Access(access) => json!({"access": access}),
        Row::Homes(homes) => json!({"homes": homes}),
    }
}

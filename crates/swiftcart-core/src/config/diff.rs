//! Differences between two tables.

use super::{Edit, Table};

/// Returns the edits that turn `old` into `new`, in key order.
///
/// # Examples
///
/// ```
/// use swiftcart_core::{Limits, Table, diff};
///
/// let old = Table::new().with_service("booking", Limits::default());
/// let new = old.clone().with_route("/book", "booking", 1);
/// assert_eq!(diff(&old, &new).len(), 1);
/// assert_eq!(diff(&new, &new), []);
/// ```
#[must_use]
pub fn diff(old: &Table, new: &Table) -> Vec<Edit> {
    let removed = old.0.keys().filter(|key| !new.0.contains_key(key));
    let removed = removed.map(|key| Edit {
        key: key.clone(),
        row: None,
    });
    let changed = new
        .0
        .iter()
        .filter(|(key, row)| old.0.get(key) != Some(row));
    let changed = changed.map(|(key, row)| Edit {
        key: key.clone(),
        row: Some(row.clone()),
    });
    let mut edits: Vec<_> = removed.chain(changed).collect();
    edits.sort_by(|a, b| a.key.cmp(&b.key));
    edits
}

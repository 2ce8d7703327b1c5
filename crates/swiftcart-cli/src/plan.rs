//! Computation of the edits that publishing a sheet makes.

use std::collections::BTreeSet;

use swiftcart_core::{Edit, Row, RowKey, ServiceName, Table};

use crate::{Error, Scope, Sheet, SheetLine, service_of};

/// Returns the edits that turn the rows of `base` into the rows of `sheet`, in key order.
///
/// Rows that are not in the sheet are left unchanged, so that an operator can edit one service at a
/// time. Only [`Scope::prune`] removes them.
///
/// # Examples
///
/// ```
/// use swiftcart_cli::{Scope, Sheet, plan, write};
/// use swiftcart_core::{Limits, Table, Version};
///
/// let sensor = Table::new().with_service("sensor", Limits::default());
/// let both = sensor.clone().with_service("booking", Limits::default());
/// let sheet = Sheet::parse(write(&sensor, Version(1)).as_bytes()).unwrap_or_default();
/// assert_eq!(plan(&sheet, &both, &Scope::default()).unwrap_or_default(), []);
/// assert_eq!(plan(&sheet, &Table::new(), &Scope::default()).unwrap_or_default().len(), 1);
/// ```
///
/// # Errors
///
/// [`Error::UnknownService`] if neither the sheet nor the base has a service of [`Scope::only`].
pub fn plan(sheet: &Sheet, base: &Table, scope: &Scope) -> Result<Vec<Edit>, Error> {
    let named: BTreeSet<_> = sheet.lines.keys().filter_map(service_of).collect();
    let existing: BTreeSet<_> = base.0.keys().filter_map(service_of).collect();
    let known = |name: &&ServiceName| named.contains(name) || existing.contains(name);
    if let Some(name) = scope.only.iter().find(|name| !known(name)) {
        return Err(Error::UnknownService(name.clone()));
    }
    let in_scope = |key: &RowKey| match (service_of(key), scope.only.is_empty()) {
        (Some(service), true) => named.contains(service),
        (Some(service), false) => scope.only.contains(service),
        (None, _) => false,
    };
    let requested = sheet.lines.iter().filter(|(key, _)| in_scope(key));
    let requested = requested.map(|(key, SheetLine { row, .. })| (key, row.as_ref()));
    let absent = base
        .0
        .keys()
        .filter(|key| scope.prune && !sheet.lines.contains_key(key));
    let absent = absent.filter(|key| in_scope(key)).map(|key| (key, None));
    let mut edits: Vec<_> = requested
        .chain(absent)
        .filter(|(key, row)| base.0.get(key) != *row)
        .map(|(key, row)| edit(key, row))
        .collect();
    edits.sort_by(|a, b| a.key.cmp(&b.key));
    Ok(edits)
}

fn edit(key: &RowKey, row: Option<&Row>) -> Edit {
    Edit {
        key: key.clone(),
        row: row.cloned(),
    }
}

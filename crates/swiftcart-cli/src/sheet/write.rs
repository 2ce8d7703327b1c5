//! Writer for sheets.

use swiftcart_core::{Limits, Row, RowKey, Table, Version};

use super::{HEADINGS, Kind};

/// Formats `table` as CSV, with the headings first and its version in a row of kind `base`.
///
/// # Examples
///
/// ```
/// use swiftcart_cli::write;
/// use swiftcart_core::{Limits, Table, Version};
///
/// let table = Table::new()
///     .with_service("booking", Limits::default())
///     .with_route("/book", "booking", 100);
/// let csv = "kind,service,prefix,weight,rate,concurrency,timeout_ms\n\
///     base,7,,,,,\n\
///     service,booking,,,0,0,0\n\
///     route,booking,/book,100,,,\n";
/// assert_eq!(write(&table, Version(7)), csv);
/// ```
#[must_use]
pub fn write(table: &Table, version: Version) -> String {
    let rows = table.0.iter().filter_map(|(key, row)| cells(key, row));
    let base = record(Kind::Base, &version.to_string());
    let head = HEADINGS.map(String::from);
    let lines: Vec<_> = [head, base]
        .into_iter()
        .chain(rows)
        .map(|cells| line(&cells))
        .collect();
    lines.concat()
}

/// Returns the cells of a service or route. Client accounts are edited with `swiftcart account`
/// instead.
fn cells(key: &RowKey, row: &Row) -> Option<[String; 7]> {
    match (key, row) {
        (RowKey::Route(prefix, name), Row::Route(weight)) => {
            let mut cells = record(Kind::Route, name.as_str());
            cells[2].clone_from(prefix);
            cells[3] = weight.to_string();
            Some(cells)
        }
        (RowKey::Service(name), Row::Service(limits)) => {
            let mut cells = record(Kind::Service, name.as_str());
            let Limits {
                rate,
                concurrency,
                timeout_ms,
            } = limits;
            cells[4] = rate.to_string();
            cells[5] = concurrency.to_string();
            cells[6] = timeout_ms.to_string();
            Some(cells)
        }
        _ => None,
    }
}

fn record(kind: Kind, service: &str) -> [String; 7] {
    let mut cells = <[String; 7]>::default();
    cells[0] = kind.as_str().into();
    cells[1] = service.into();
    cells
}

/// Joins cells to a line, with quotes where CSV requires them.
fn line(cells: &[String; 7]) -> String {
    let quoted =
        cells.each_ref().map(
            |cell| match cell.contains([',', ';', '\t', '"', '\n', '\r']) {
                true => format!("\"{}\"", cell.replace('"', "\"\"")),
                false => cell.clone(),
            },
        );
    quoted.join(",") + "\n"
}

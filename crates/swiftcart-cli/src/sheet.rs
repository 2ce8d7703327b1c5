//! CSV sheet of a table, which operators edit in a spreadsheet.
//!
//! The parser accepts the changes that spreadsheets make when they save a sheet: sorted rows and
//! columns, quoted cells, a byte order mark, CRLF, semicolons or tabs as separators, and empty
//! trailing cells. A row of kind `base` records the version that the sheet was made from.

mod fault;
mod read;
mod write;

use std::collections::BTreeMap;

use swiftcart_core::{Row, RowKey, ServiceName, Version};

pub use fault::*;
pub use write::*;

/// Column headings in the order in which they are written.
pub const HEADINGS: [&str; 7] = [
    "kind",
    "service",
    "prefix",
    "weight",
    "rate",
    "concurrency",
    "timeout_ms",
];

/// Parsed sheet.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Sheet {
    /// Version that the sheet was made from.
    pub base: Option<Version>,
    /// Lines of the sheet by row key.
    pub lines: BTreeMap<RowKey, SheetLine>,
}

/// Row of a sheet with its line number.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SheetLine {
    /// Line number in the file, counted from 1.
    pub number: usize,
    /// Content of the row, or `None` to remove the row from the table.
    pub row: Option<Row>,
}

/// Kind of a row, given by its cell in the column `kind`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Kind {
    Base,
    Service,
    Route,
    RemoveService,
    RemoveRoute,
}

impl Kind {
    const ALL: [Self; 5] = [
        Self::Base,
        Self::Service,
        Self::Route,
        Self::RemoveService,
        Self::RemoveRoute,
    ];

    const fn as_str(self) -> &'static str {
        match self {
            Self::Base => "base",
            Self::Service => "service",
            Self::Route => "route",
            Self::RemoveService => "remove-service",
            Self::RemoveRoute => "remove-route",
        }
    }

    /// Returns the headings of the cells that a row of this kind must fill.
    const fn cells(self) -> &'static [&'static str] {
        match self {
            Self::Base | Self::RemoveService => &["service"],
            Self::Service => &["service", "rate", "concurrency", "timeout_ms"],
            Self::Route => &["service", "prefix", "weight"],
            Self::RemoveRoute => &["service", "prefix"],
        }
    }
}

/// Returns the service that a row belongs to, or `None` for rows that sheets do not contain.
#[must_use]
pub const fn service_of(key: &RowKey) -> Option<&ServiceName> {
    match key {
        RowKey::Service(name) | RowKey::Route(_, name) => Some(name),
        RowKey::Account(_)
        | RowKey::Access(_)
        | RowKey::ColdStart(_)
        | RowKey::PrefixHomes(_)
        | RowKey::AccountHomes(_) => None,
    }
}

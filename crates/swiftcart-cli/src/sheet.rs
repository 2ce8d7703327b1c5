//! The table as operators edit it in a spreadsheet (CSV).
//!
//! A sheet survives what spreadsheets do to it: sorted rows and columns, quoted
//! cells, a byte order mark, CRLF, semicolons or tabs between cells, and empty
//! trailing cells. The version that it was made from travels in a row of its own.

mod fault;
mod read;
mod write;

use std::collections::BTreeMap;

use swiftcart_core::{Row, RowKey, ServiceName, Version};

pub use fault::*;
pub use write::*;

/// The headings of the columns, in the order in which they are written.
pub const HEADINGS: [&str; 7] = [
    "kind",
    "service",
    "prefix",
    "weight",
    "rate",
    "concurrency",
    "timeout_ms",
];

/// Holds what a sheet asks for.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Sheet {
    /// The version that the sheet was made from.
    pub base: Option<Version>,
    /// The rows by key.
    pub lines: BTreeMap<RowKey, SheetLine>,
}

/// Holds one row of a sheet and where it stands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SheetLine {
    /// The line in the file, counted from 1.
    pub number: usize,
    /// The row's content, or `None` to remove it from the table.
    pub row: Option<Row>,
}

/// What a row of a sheet is, as its first cell says.
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

    /// Returns the headings of the cells that a row of this kind fills.
    const fn cells(self) -> &'static [&'static str] {
        match self {
            Self::Base | Self::RemoveService => &["service"],
            Self::Service => &["service", "rate", "concurrency", "timeout_ms"],
            Self::Route => &["service", "prefix", "weight"],
            Self::RemoveRoute => &["service", "prefix"],
        }
    }
}

/// Returns the service that a row belongs to; `None` for rows that a sheet does not hold.
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

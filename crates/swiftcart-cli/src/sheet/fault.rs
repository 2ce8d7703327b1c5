//! Faults in sheets: the position of the cell, the problem and its remedy.

use quick_error::quick_error;
use serde::{Serialize, Serializer};
use swiftcart_core::{RowKey, ServiceName, Violation};

use super::Sheet;

quick_error! {
    /// Problem of a cell. The message includes the remedy.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Problem {
        /// The file is not UTF-8 text.
        InvalidEncoding {
            display("is not UTF-8; save the sheet as CSV UTF-8")
        }
        /// A quoted cell does not end on its line.
        UnclosedQuote {
            display("has a line break or an unclosed quote; remove it")
        }
        /// No row contains all headings.
        HeadingsNotFound {
            display("no row has all headings; start the sheet with {}", super::HEADINGS.join(","))
        }
        /// Two columns have the same heading.
        DuplicateHeading {
            display("is a duplicate heading; remove one of the columns")
        }
        /// A heading is not known.
        UnknownHeading {
            display("is not a known heading; clear the column or use {}", super::HEADINGS.join(","))
        }
        /// A filled cell is in a column without a heading.
        MissingHeading {
            display("has no heading; clear the cell")
        }
        /// The row has an unknown kind.
        UnknownKind {
            display("is not a known kind; write base, service, route, remove-service or remove-route")
        }
        /// A required cell is empty.
        EmptyCell(hint: &'static str) {
            display("is empty; {hint}")
        }
        /// A cell is filled that the row's kind does not use.
        UnexpectedValue(kind: &'static str) {
            display("does not belong to a row of kind {kind}; clear the cell")
        }
        /// A number has characters other than digits or is too large.
        InvalidNumber {
            display("is not a whole number up to 4294967295; write only digits, for example 1000")
        }
        /// A version is not a number.
        InvalidVersion {
            display("is not a version; pull the table again to get the right one")
        }
        /// Two lines have the same row key.
        Duplicate(line: usize) {
            display("duplicates the row on line {line}; remove one of them")
        }
        /// The row breaks a rule of the table.
        InvalidRow(violation: Violation) {
            display("is not valid: {violation}")
        }
    }
}

/// Invalid cell with its position and problem.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Fault {
    /// Line number in the file, counted from 1; 0 stands for the whole file.
    pub line: usize,
    /// Heading of the cell's column, or its number if the column has no known heading.
    pub column: String,
    /// Content of the cell.
    pub value: String,
    /// Problem and its remedy.
    #[serde(serialize_with = "as_text")]
    pub problem: Problem,
}

impl Fault {
    /// Creates a fault.
    #[must_use]
    pub fn new(line: usize, column: &str, value: &str, problem: Problem) -> Self {
        Self {
            line,
            column: column.into(),
            value: value.into(),
            problem,
        }
    }

    /// Creates a fault for the cell of `sheet` that breaks a rule. The line is 0 if the
    /// violation has no cell in the sheet.
    #[must_use]
    pub fn of(violation: &Violation, sheet: &Sheet) -> Self {
        let (key, column, value) = cell(violation);
        let line = match key.and_then(|key| sheet.lines.get(&key)) {
            Some(line) => line.number,
            None => first_line(violation, sheet),
        };
        Self::new(line, column, &value, Problem::InvalidRow(violation.clone()))
    }
}

impl std::fmt::Display for Fault {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Self {
            line,
            column,
            value,
            problem,
        } = self;
        match (line, column.as_str()) {
            (0, "") => write!(f, " {problem}"),
            (0, _) => write!(f, " {column}: {value:?} {problem}"),
            (_, "") => write!(f, "{line}: {problem}"),
            _ => write!(f, "{line}: {column}: {value:?} {problem}"),
        }
    }
}

fn as_text<S: Serializer>(problem: &Problem, ser: S) -> Result<S::Ok, S::Error> {
    ser.collect_str(problem)
}

/// Returns the row key, the heading and the content of the cell that breaks the rule.
fn cell(violation: &Violation) -> (Option<RowKey>, &'static str, String) {
    let service = |name: &ServiceName| Some(RowKey::Service(name.clone()));
    let route = |prefix: &String, name: &ServiceName| {
        let key = RowKey::Route(prefix.clone(), name.clone());
        Some(key)
    };
    match violation {
        Violation::Name(name) => (service(name), "service", name.to_string()),
        Violation::Prefix(prefix) => (None, "prefix", prefix.clone()),
        Violation::UnknownService(prefix, name) => {
            (route(prefix, name), "service", name.to_string())
        }
        Violation::Weight(prefix, name, n) => (route(prefix, name), "weight", n.to_string()),
        Violation::NoWeight(_) => (None, "weight", "0".into()),
        Violation::Rate(name, n) => (service(name), "rate", n.to_string()),
        Violation::Concurrency(name, n) => (service(name), "concurrency", n.to_string()),
        Violation::Timeout(name, n) => (service(name), "timeout_ms", n.to_string()),
        Violation::Kind(key) | Violation::Twice(key) => {
            (Some(key.clone()), "kind", key.to_string())
        }
        Violation::Rows(_)
        | Violation::Bytes(_)
        | Violation::Author(_)
        | Violation::AccountName(_)
        | Violation::SharedKey(..)
        | Violation::Quota(_)
        | Violation::ColdStart(_)
        | Violation::Access(_)
        | Violation::Homeless(_)
        | Violation::NoHomes(_)
        | Violation::Region(..) => (None, "", String::new()),
    }
}

/// Returns the first line that may be the cause, or 0: a route with the prefix of the violation, or
/// the service that a route outside the sheet requires.
fn first_line(violation: &Violation, sheet: &Sheet) -> usize {
    let is_cause = |key: &RowKey| match (violation, key) {
        (Violation::Prefix(expected) | Violation::NoWeight(expected), RowKey::Route(prefix, _)) => {
            prefix == expected
        }
        (Violation::UnknownService(_, expected), RowKey::Service(name)) => name == expected,
        _ => false,
    };
    let lines = sheet.lines.iter().filter(|(key, _)| is_cause(key));
    lines.map(|(_, line)| line.number).min().unwrap_or(0)
}

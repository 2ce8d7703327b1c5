//! What is wrong with a cell, where it is, and how to mend it.

use quick_error::quick_error;
use serde::{Serialize, Serializer};
use swiftcart_core::{RowKey, ServiceName, Violation};

use super::Sheet;

quick_error! {
    /// Tells what is wrong with a cell.
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
        /// No row holds the headings.
        HeadingsNotFound {
            display("no row has all headings; start the sheet with {}", super::HEADINGS.join(","))
        }
        /// A heading stands twice.
        DuplicateHeading {
            display("stands twice; remove one of the columns")
        }
        /// A heading is not known.
        UnknownHeading {
            display("is no heading; clear the column or use {}", super::HEADINGS.join(","))
        }
        /// A filled cell has no heading above it.
        MissingHeading {
            display("has no heading; clear the cell")
        }
        /// The first cell names no kind.
        UnknownKind {
            display("is no kind; write base, service, route, remove-service or remove-route")
        }
        /// A needed cell is empty.
        EmptyCell(hint: &'static str) {
            display("is empty; {hint}")
        }
        /// A cell is filled that does not belong to the row's kind.
        UnexpectedValue(kind: &'static str) {
            display("does not belong to a row of kind {kind}; clear the cell")
        }
        /// A number is not plain digits.
        InvalidNumber {
            display("is not a whole number up to 4294967295; write digits only, for example 1000")
        }
        /// A version is not plain digits.
        InvalidVersion {
            display("is not a version; pull the table again to get the right one")
        }
        /// The row stands twice.
        DuplicateRow(line: usize) {
            display("names a row that line {line} names too; remove one of them")
        }
        /// The row breaks a rule of the table.
        InvalidRow(violation: Violation) {
            display("is not valid: {violation}")
        }
    }
}

/// Names a wrong cell by line and heading.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Fault {
    /// The line in the file, counted from 1; 0 is the file as a whole.
    pub line: usize,
    /// The heading of the cell's column, or its number.
    pub column: String,
    /// What the cell holds.
    pub value: String,
    /// What is wrong and how to mend it.
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

    /// Finds the cell of `sheet` that breaks a rule; 0 is its line when it stands in no cell.
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

/// Returns the row, the heading and the content of the cell that breaks the rule.
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

/// Returns the first line that may be the cause: with the violation's prefix, or of the
/// service that a route outside the sheet lacks.
fn first_line(violation: &Violation, sheet: &Sheet) -> usize {
    let is_cause = |key: &RowKey| match (violation, key) {
        (Violation::Prefix(wanted) | Violation::NoWeight(wanted), RowKey::Route(prefix, _)) => {
            prefix == wanted
        }
        (Violation::UnknownService(_, wanted), RowKey::Service(name)) => name == wanted,
        _ => false,
    };
    let lines = sheet.lines.iter().filter(|(key, _)| is_cause(key));
    lines.map(|(_, line)| line.number).min().unwrap_or(0)
}

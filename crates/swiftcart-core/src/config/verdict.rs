//! What the fold decides about a record.

use std::fmt;

use quick_error::quick_error;
use serde::{Deserialize, Serialize};

use super::{Offset, RowKey, Version, Violation};

/// Rows or faults that a message names before it only counts the rest.
const NAMED: usize = 8;

/// What became of one record.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// The publish is in force as this version.
    Accepted(Version),
    /// The publish changed nothing.
    Rejected(Rejection),
    /// The body is no envelope; it is skipped.
    Malformed,
    /// The record is a checkpoint; the table stays.
    Checkpoint {
        /// The offset of the first record that the copy lacks.
        position: Offset,
        /// How the copy compares with this reader's state.
        agreement: Agreement,
    },
    /// The record follows a later rule; the reader stays before it.
    UnknownRule(u16),
}

/// How a checkpoint compares with the state of the reader that meets it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Agreement {
    /// It was taken at the same position and has the same digest.
    Same,
    /// It was taken at the same position and has another digest, or lies ahead.
    Different,
    /// It was taken at an earlier position, of which the reader keeps no digest.
    Earlier,
}

/// A row that changed between a publish's base and the publish.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RowConflict {
    /// The row.
    pub key: RowKey,
    /// The version that changed it.
    pub version: Version,
    /// Who published that version.
    pub author: String,
}

/// The kind of a [`Rejection`], for counters.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RejectionKind {
    /// A row changed since the base.
    Conflict,
    /// The resulting table or the publish itself breaks a rule.
    Invalid,
    /// Nothing would change.
    Empty,
    /// The base is older than what is remembered.
    StaleBase,
    /// The base does not exist yet.
    FutureBase,
    /// The id was decided before.
    Repeated,
}

/// The first decision on a publish, as remembered for repeats of its id.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PriorDecision {
    /// It was accepted as this version.
    Accepted(Version),
    /// It was rejected.
    Rejected {
        /// The offset of the rejected record.
        offset: Offset,
        /// The kind of the rejection.
        kind: RejectionKind,
    },
}

quick_error! {
    /// Tells why a publish is not accepted, and what to do.
    #[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
    #[serde(rename_all = "kebab-case")]
    pub enum Rejection {
        /// Rows that it edits changed since its base.
        Conflict(lost: Vec<RowConflict>) {
            display("{}; pull and edit again", List(lost))
        }
        /// The publish or the resulting table breaks these rules.
        Invalid(violations: Vec<Violation>) {
            display("{}", List(violations))
        }
        /// It would change nothing.
        Empty {
            display("nothing to change: the table already reads so")
        }
        /// Its base is older than this, the oldest base that is accepted.
        StaleBase(horizon: Version) {
            display("the base is older than version {horizon}; pull and edit again")
        }
        /// Its base is ahead of the current version, which this is.
        FutureBase(version: Version) {
            display("the base is ahead of the current version {version}; pull and edit again")
        }
        /// A publish with its id was decided before.
        Repeated(earlier: PriorDecision) {
            display("repeats an id that was {earlier}")
        }
    }
}

impl Rejection {
    /// Returns the kind of the rejection.
    #[must_use]
    pub const fn kind(&self) -> RejectionKind {
        match self {
            Self::Conflict(_) => RejectionKind::Conflict,
            Self::Invalid(_) => RejectionKind::Invalid,
            Self::Empty => RejectionKind::Empty,
            Self::StaleBase(_) => RejectionKind::StaleBase,
            Self::FutureBase(_) => RejectionKind::FutureBase,
            Self::Repeated(_) => RejectionKind::Repeated,
        }
    }
}

impl RejectionKind {
    /// Returns the name used in logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Conflict => "conflict",
            Self::Invalid => "invalid",
            Self::Empty => "empty",
            Self::StaleBase => "stale-base",
            Self::FutureBase => "future-base",
            Self::Repeated => "repeated",
        }
    }
}

impl PriorDecision {
    /// Returns the offset of the record that was decided first.
    #[must_use]
    pub const fn offset(self) -> Offset {
        match self {
            Self::Accepted(version) => Offset(version.0.saturating_sub(1)),
            Self::Rejected { offset, .. } => offset,
        }
    }
}

impl fmt::Display for RejectionKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl fmt::Display for PriorDecision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Accepted(version) => write!(f, "accepted as version {version}"),
            Self::Rejected { offset, kind } => {
                write!(f, "rejected at offset {offset} ({kind})")
            }
        }
    }
}

impl fmt::Display for RowConflict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            key,
            version,
            author,
        } = self;
        write!(f, "{key} was changed by {author} in version {version}")
    }
}

struct List<'a, T>(&'a [T]);

impl<T: fmt::Display> fmt::Display for List<'_, T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, item) in self.0.iter().take(NAMED).enumerate() {
            let separator = if i == 0 { "" } else { "; " };
            write!(f, "{separator}{item}")?;
        }
        match self.0.len().saturating_sub(NAMED) {
            0 => Ok(()),
            more => write!(f, "; and {more} more"),
        }
    }
}

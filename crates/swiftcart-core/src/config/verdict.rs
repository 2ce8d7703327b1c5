//! Results of folding a record.

use std::fmt;

use quick_error::quick_error;
use serde::{Deserialize, Serialize};

use super::{Offset, RowKey, Version, Violation};

/// Maximum number of conflicts or violations that a message lists. The message only counts
/// the others.
const MAX_LISTED_ITEMS: usize = 8;

/// The result of folding one record.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// The publish was accepted as this version.
    Accepted(Version),
    /// The publish was rejected, and the table is unchanged.
    Rejected(Rejection),
    /// The body is not an envelope, and the record is skipped.
    Malformed,
    /// The record is a checkpoint, and the table is unchanged.
    Checkpoint {
        /// The offset of the first record that the checkpoint does not include.
        position: Offset,
        /// Result of the comparison with the state of this reader.
        agreement: Agreement,
    },
    /// The record requires this newer rule, and the reader does not advance past the record.
    UnknownRule(u16),
}

/// Result of the comparison of a checkpoint with the state of the reader.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Agreement {
    /// The checkpoint has the position and the digest of the reader.
    Same,
    /// The checkpoint has the position of the reader but another digest, or a later position.
    Different,
    /// The checkpoint has an earlier position, for which the reader keeps no digest.
    Earlier,
}

/// A row that changed after the base version of a publish that edits it.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RowConflict {
    /// The key of the row.
    pub key: RowKey,
    /// The version that last changed the row.
    pub version: Version,
    /// The author of that version, or an empty string when the author is no longer known.
    pub author: String,
}

/// The kind of a [`Rejection`], used in counters.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RejectionKind {
    /// An edited row changed after the base version.
    Conflict,
    /// The publish or the resulting table breaks a rule.
    Invalid,
    /// The publish would change nothing.
    Empty,
    /// The base version is older than the retained history.
    StaleBase,
    /// The base version does not exist yet.
    FutureBase,
    /// A publish with the same id was decided before.
    Repeated,
}

/// The first decision on a publish, retained to detect repeats of its id.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PriorDecision {
    /// The publish was accepted as this version.
    Accepted(Version),
    /// The publish was rejected.
    Rejected {
        /// The offset of the rejected record.
        offset: Offset,
        /// The kind of the rejection.
        kind: RejectionKind,
    },
}

quick_error! {
    /// The reason why a publish is rejected.
    ///
    /// The messages include the action that the operator has to take.
    #[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
    #[serde(rename_all = "kebab-case")]
    pub enum Rejection {
        /// Edited rows changed after the base version.
        Conflict(conflicts: Vec<RowConflict>) {
            display("{}; pull and edit again", List(conflicts))
        }
        /// The publish or the resulting table breaks rules.
        Invalid(violations: Vec<Violation>) {
            display("{}", List(violations))
        }
        /// The publish would change nothing.
        Empty {
            display("no changes: the table already contains these edits")
        }
        /// The base is older than the horizon, which is the oldest accepted base version.
        StaleBase(horizon: Version) {
            display("the base is older than version {horizon}; pull and edit again")
        }
        /// The base is newer than the current version, which the variant contains.
        FutureBase(version: Version) {
            display("the base is ahead of the current version {version}; pull and edit again")
        }
        /// A publish with the same id was decided before.
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
    /// Returns the offset of the record with the first publish of the id.
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
        for (i, item) in self.0.iter().take(MAX_LISTED_ITEMS).enumerate() {
            let separator = if i == 0 { "" } else { "; " };
            write!(f, "{separator}{item}")?;
        }
        match self.0.len().saturating_sub(MAX_LISTED_ITEMS) {
            0 => Ok(()),
            more => write!(f, "; and {more} more"),
        }
    }
}

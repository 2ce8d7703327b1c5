//! Records of the configuration stream, as they stand in the platform's log.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use super::{Offset, Row, RowKey, Version};

/// The number of the acceptance rule that this release knows.
///
/// A reader that meets a greater number keeps its version and reports it; it
/// never applies such a record in part.
pub const LATEST_RULE: u16 = 3;

/// Names one publish, chosen by the operator's tool; a repeat is harmless.
#[derive(
    Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(into = "String", try_from = "String")]
pub struct PublishId(pub u128);

impl fmt::Display for PublishId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl FromStr for PublishId {
    type Err = ParseIntError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        u128::from_str_radix(s, 16).map(Self)
    }
}

impl From<PublishId> for String {
    fn from(id: PublishId) -> Self {
        id.to_string()
    }
}

impl TryFrom<String> for PublishId {
    type Error = ParseIntError;

    fn try_from(s: String) -> Result<Self, Self::Error> {
        s.parse()
    }
}

impl RowKey {
    /// Returns the rule that brought this kind of row; a table and its changes name the greatest
    /// one that they need, so that the release before reads all that it knows.
    #[must_use]
    pub const fn rule(&self) -> u16 {
        match self {
            Self::Service(_) | Self::Route(..) => 1,
            Self::Account(_) | Self::Access(_) | Self::ColdStart(_) => 2,
            Self::PrefixHomes(_) | Self::AccountHomes(_) => LATEST_RULE,
        }
    }
}

/// Changes one row.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Edit {
    /// The row to change.
    pub key: RowKey,
    /// The new content, or `None` to remove the row.
    pub row: Option<Row>,
}

/// Asks for a change of the table: the edits take effect together or not at all.
#[derive(Debug, Default, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Publish {
    /// Recognises a repeat of the same publish.
    pub id: PublishId,
    /// Who publishes, for the history.
    pub author: String,
    /// The version that the operator edited.
    pub base: Version,
    /// The changes, one for each row.
    pub edits: Vec<Edit>,
}

/// One record as it stands in a stream of the platform's log.
#[derive(Debug, Default, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry {
    /// Its place in the stream.
    pub offset: Offset,
    /// When the platform took it, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// What was appended.
    pub body: String,
}

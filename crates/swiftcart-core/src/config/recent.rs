//! The last decisions on publishes, which recognise repeats and name winners.

use std::collections::{BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};

use super::check::is_author;
use super::{PriorDecision, PublishId, Version};

/// Decisions remembered; an older one raises the horizon when it is forgotten.
pub const MAX_RECENT_DECISIONS: usize = 512;
/// Longest author, in bytes.
pub const MAX_AUTHOR_BYTES: usize = 64;

/// One remembered decision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Decision {
    /// The id as a number, which is half as long as its text.
    pub id: u128,
    pub earlier: PriorDecision,
    /// Empty for a rejected publish, since it cannot win over another one.
    pub author: String,
}

/// Decisions in the order of the log.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub(super) struct Recent(VecDeque<Decision>);

impl Recent {
    /// Remembers `decision` and returns the one forgotten for it.
    pub fn push(&mut self, decision: Decision) -> Option<Decision> {
        self.0.push_back(decision);
        if self.0.len() > MAX_RECENT_DECISIONS {
            self.0.pop_front()
        } else {
            None
        }
    }

    pub fn of(&self, id: PublishId) -> Option<PriorDecision> {
        self.0.iter().find(|d| d.id == id.0).map(|d| d.earlier)
    }

    pub fn author(&self, version: Version) -> &str {
        let accepted = PriorDecision::Accepted(version);
        let found = self.0.iter().rev().find(|d| d.earlier == accepted);
        found.map_or("", |d| d.author.as_str())
    }

    /// Tells whether a decoded list keeps the bounds and the order of the log.
    pub fn is_valid(&self, position: super::Offset) -> bool {
        let ids: BTreeSet<_> = self.0.iter().map(|d| d.id).collect();
        let mut offsets = self.0.iter().map(|d| d.earlier.offset());
        ids.len() == self.0.len()
            && ids.len() <= MAX_RECENT_DECISIONS
            && offsets.clone().is_sorted_by(|a, b| a < b)
            && offsets.next_back().is_none_or(|last| last < position)
            && self.0.iter().all(Decision::is_valid)
    }
}

impl Decision {
    fn is_valid(&self) -> bool {
        match self.earlier {
            PriorDecision::Accepted(version) => version > Version::NONE && is_author(&self.author),
            PriorDecision::Rejected { .. } => self.author.is_empty(),
        }
    }
}

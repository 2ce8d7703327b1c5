//! Recent decisions on publishes.
//!
//! The fold uses these decisions to detect repeated ids and to find the author of a conflicting
//! version.

use std::collections::{BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};

use super::check::is_author;
use super::{PriorDecision, PublishId, Version};

/// Maximum number of retained decisions. The eviction of a decision raises the horizon.
pub const MAX_RECENT_DECISIONS: usize = 512;
/// Maximum length of the author of a publish, in bytes.
pub const MAX_AUTHOR_BYTES: usize = 64;

/// The decision on one publish.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Decision {
    /// The id as a number, which takes half the space of its text.
    pub id: u128,
    pub earlier: PriorDecision,
    /// The author, or an empty string for a rejected publish, which cannot cause a conflict.
    pub author: String,
}

/// Decisions in log order.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub(super) struct RecentDecisions(VecDeque<Decision>);

impl RecentDecisions {
    /// Appends `decision` and returns the decision that is evicted, if any.
    pub fn push(&mut self, decision: Decision) -> Option<Decision> {
        self.0.push_back(decision);
        if self.0.len() > MAX_RECENT_DECISIONS {
            self.0.pop_front()
        } else {
            None
        }
    }

    pub fn decision(&self, id: PublishId) -> Option<PriorDecision> {
        self.0.iter().find(|d| d.id == id.0).map(|d| d.earlier)
    }

    pub fn author(&self, version: Version) -> &str {
        let accepted = PriorDecision::Accepted(version);
        let found = self.0.iter().rev().find(|d| d.earlier == accepted);
        found.map_or("", |d| d.author.as_str())
    }

    /// Returns `true` if a decoded list is within its bounds and in log order.
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

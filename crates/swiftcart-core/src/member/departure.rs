//! Departures of backend servers that a node has acknowledged, and how they outlive its process.
//!
//! An acknowledged departure binds the node beside the backend server, also after a restart: a late
//! announcement must not bring the backend server back. The node therefore reports its departures to
//! other nodes before it acknowledges them, and asks for them when it starts.

mod ledger;
mod recall;
mod report;

use serde::{Deserialize, Serialize};

pub use ledger::*;
pub use recall::*;
pub use report::*;

use crate::StartTime;

/// Age from which a departure no longer matters, in milliseconds. Announcements are late by seconds.
pub const DEPARTURE_MEMORY_MS: u64 = 120_000;

/// Announcements of a process that its departure outdates.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outdated {
    /// The backend server drains: announcements up to this sequence number are outdated.
    UpTo(u64),
    /// The backend server has left: all of its announcements are outdated.
    All,
}

/// Departure of the backend server beside a node.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Departure {
    /// Id of the backend server.
    pub id: String,
    /// Start time of its process, if it announces one. Earlier processes have departed as well.
    pub start: Option<StartTime>,
    /// Announcements that are outdated.
    pub outdated: Outdated,
    /// Time of the departure, in Unix milliseconds.
    pub at_ms: u64,
}

impl Departure {
    /// Returns `true` if the departure no longer matters at the time `unix_ms`.
    #[must_use]
    pub const fn is_forgotten(&self, unix_ms: u64) -> bool {
        unix_ms.saturating_sub(self.at_ms) >= DEPARTURE_MEMORY_MS
    }

    /// Returns `true` if `other` outdates the same announcements.
    #[must_use]
    pub fn is_same(&self, other: &Self) -> bool {
        self.id == other.id && self.start == other.start && self.outdated == other.outdated
    }
}

/// Message about the departures of one node.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum DepartureMessage {
    /// Departures that the sender has acknowledged, for the receiver to remember.
    Report {
        /// Number of the report, which the answer repeats.
        number: u64,
        /// Departures, the latest one first.
        departures: Vec<Departure>,
    },
    /// Confirms that the sender remembers a report.
    ReportAck {
        /// Number of the report.
        number: u64,
    },
    /// Asks which departures of the sender the receiver remembers.
    Ask,
    /// Answers [`DepartureMessage::Ask`].
    Reply {
        /// Departures of the receiver that the sender remembers.
        departures: Vec<Departure>,
    },
}

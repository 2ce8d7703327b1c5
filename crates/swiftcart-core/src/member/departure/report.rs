//! Report of a node's own departures to other nodes.

use std::collections::BTreeSet;
use std::time::Duration;

use super::{Departure, DepartureMessage};
use crate::{Instant, NodeId};

/// Interval after which a report is repeated to the nodes that have not confirmed it.
const REPEAT_INTERVAL: Duration = Duration::from_millis(100);

/// Number of times that a report is sent. A node that has not confirmed it by then is gone.
const MAX_ROUNDS: u32 = 50;

/// Maximum length of the ids in one report, in bytes, so that it fits into a datagram.
const MAX_ID_BYTES: usize = 600;

/// Report that is sent until the nodes that remember it have confirmed it.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct DepartureReport {
    number: u64,
    departures: Vec<Departure>,
    unconfirmed: BTreeSet<NodeId>,
    rounds: u32,
    next_round: Instant,
}

impl DepartureReport {
    /// Starts to report `departures`, the latest one first, to `nodes`.
    ///
    /// A report that would not fit into a datagram leaves out the oldest departures.
    pub fn start(&mut self, number: u64, mut departures: Vec<Departure>, nodes: &[NodeId]) {
        let mut id_bytes = 0;
        departures.retain(|departure| {
            id_bytes += departure.id.len();
            id_bytes <= MAX_ID_BYTES
        });
        *self = Self {
            number,
            departures,
            unconfirmed: nodes.iter().copied().collect(),
            rounds: MAX_ROUNDS,
            next_round: Instant::default(),
        };
    }

    /// Returns the nodes to which the report is sent now, and the report.
    pub fn due(&mut self, now: Instant) -> Option<(Vec<NodeId>, DepartureMessage)> {
        if self.unconfirmed.is_empty() || self.rounds == 0 || now < self.next_round {
            return None;
        }
        self.rounds -= 1;
        self.next_round = now + REPEAT_INTERVAL;
        let message = DepartureMessage::Report {
            number: self.number,
            departures: self.departures.clone(),
        };
        Some((self.unconfirmed.iter().copied().collect(), message))
    }

    /// Records that `node` remembers the report `number`. Returns `true` if that is the current one.
    pub fn on_ack(&mut self, node: NodeId, number: u64) -> bool {
        number == self.number && self.unconfirmed.remove(&node)
    }
}

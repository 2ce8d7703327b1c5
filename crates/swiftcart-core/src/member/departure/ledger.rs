//! Departures that a node remembers for other nodes.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{DEPARTURE_MEMORY_MS, Departure};
use crate::{Instant, NodeId};

/// Maximum number of nodes whose departures are remembered.
const MAX_NODES: usize = 4096;

/// Departures of other nodes, by the node that acknowledged them.
///
/// # Examples
///
/// ```
/// use swiftcart_core::{Departure, DepartureLedger, Instant, NodeId, Outdated};
///
/// let node = NodeId("10.1.0.7:7600".parse()?);
/// let departure = Departure { id: "i-1".into(), start: None, outdated: Outdated::All, at_ms: 5 };
/// let mut ledger = DepartureLedger::default();
/// ledger.record(Instant::from_millis(0), node, vec![departure.clone()]);
/// assert_eq!(ledger.departures(node), [departure]);
/// # Ok::<(), std::net::AddrParseError>(())
/// ```
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct DepartureLedger {
    reports: BTreeMap<NodeId, Report>,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct Report {
    departures: Vec<Departure>,
    received: Instant,
}

impl DepartureLedger {
    /// Remembers what `node` reports, in place of its last report.
    pub fn record(&mut self, now: Instant, node: NodeId, departures: Vec<Departure>) {
        let memory = Duration::from_millis(DEPARTURE_MEMORY_MS);
        self.reports
            .retain(|_, report| now.since(report.received) < memory);
        if self.reports.len() < MAX_NODES || self.reports.contains_key(&node) {
            let received = now;
            let report = Report {
                departures,
                received,
            };
            self.reports.insert(node, report);
        }
    }

    /// Returns the departures that `node` has reported.
    #[must_use]
    pub fn departures(&self, node: NodeId) -> &[Departure] {
        let report = self.reports.get(&node);
        report.map_or(&[], |report| &report.departures)
    }
}

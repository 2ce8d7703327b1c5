//! Recall of a node's departures when its process starts.

use std::collections::BTreeSet;
use std::time::Duration;

use super::Departure;
use crate::{Instant, NodeId};

/// Interval after which a question is repeated to the nodes that have not answered.
const REPEAT_INTERVAL: Duration = Duration::from_millis(100);

/// Time after the node has joined within which the other nodes answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// State of a starting node that asks for the departures that an earlier process of it acknowledged.
///
/// The node believes no announcement until then, since it may be older than a departure. A departure
/// may be known only to the directory, or only to some nodes: the recall is complete once one of them
/// has answered, and no other is expected to.
///
/// # Examples
///
/// ```
/// use swiftcart_core::{DepartureRecall, Instant, NodeId};
///
/// let now = Instant::from_millis(100);
/// let peer = NodeId("10.1.0.7:7600".parse()?);
/// let mut recall = DepartureRecall::default();
/// assert_eq!(recall.nodes_to_ask(now, &[peer]), [peer]);
/// assert!(!recall.is_complete(now, &[peer]));
/// recall.on_reply(peer, Vec::new());
/// assert!(recall.is_complete(now, &[peer]));
/// # Ok::<(), std::net::AddrParseError>(())
/// ```
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct DepartureRecall {
    found: Vec<Departure>,
    answered: BTreeSet<NodeId>,
    /// `true` once the directory has answered, or if there is none.
    listed: bool,
    joined: Option<Instant>,
    next_round: Instant,
}

impl DepartureRecall {
    /// Records what the directory knows.
    pub fn on_listed(&mut self, departures: Vec<Departure>) {
        self.listed = true;
        self.found.extend(departures);
    }

    /// Records what another node remembers.
    pub fn on_reply(&mut self, node: NodeId, departures: Vec<Departure>) {
        if self.answered.insert(node) {
            self.found.extend(departures);
        }
    }

    /// Returns the nodes of `peers` to ask now. The node has joined the mesh, whose other nodes are
    /// `peers`.
    pub fn nodes_to_ask(&mut self, now: Instant, peers: &[NodeId]) -> Vec<NodeId> {
        self.joined.get_or_insert(now);
        if now < self.next_round {
            return Vec::new();
        }
        self.next_round = now + REPEAT_INTERVAL;
        let unanswered = peers.iter().filter(|id| !self.answered.contains(id));
        unanswered.copied().collect()
    }

    /// Returns `true` if no further answer is needed or expected.
    #[must_use]
    pub fn is_complete(&self, now: Instant, peers: &[NodeId]) -> bool {
        let all = peers.iter().all(|id| self.answered.contains(id));
        let timed_out = |joined| now.since(joined) >= ANSWER_TIMEOUT;
        let any = self.listed || !self.answered.is_empty();
        any && self.joined.is_some_and(|joined| all || timed_out(joined))
    }

    /// Returns the departures that were found, some of them possibly more than once.
    #[must_use]
    pub fn into_found(self) -> Vec<Departure> {
        self.found
    }
}

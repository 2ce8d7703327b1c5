//! Gate that keeps a starting node from serving a version older than the one it served before.

use std::collections::BTreeMap;
use std::time::Duration;

use quick_error::quick_error;

use crate::{Instant, NodeId, Offset, Version};

/// Time in which a peer has to answer a starting node.
pub const FLOOR_REPLY_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of peers that a starting node queries.
pub const MAX_QUERIED_PEERS: usize = 4096;

/// Ratio of the retry delay to the uptime. When 295 nodes share the platform's read capacity,
/// starts take from 0.2 s to 2 s. A caller that waits for one uptime of the node finds half of the
/// nodes ready. A caller that waits for two uptimes finds most of the nodes ready.
const RETRY_UPTIME_FACTOR: u32 = 2;
/// Minimum retry delay, which is the time that a start takes in a small mesh.
const MIN_STARTUP_RETRY: Duration = Duration::from_millis(250);
/// Maximum retry delay. A caller with a deadline of 6 s waits for at most a third of it.
const MAX_STARTUP_RETRY: Duration = Duration::from_secs(2);

/// Returns the delay after which a caller should retry at a node that started `uptime` ago and is
/// not ready.
///
/// A retry that comes too early uses up one of the caller's attempts. With a fixed delay of 0.25 s,
/// callers with two retries gave up before half of a large mesh was ready.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use swiftcart_core::startup_retry_after;
///
/// assert_eq!(startup_retry_after(Duration::from_millis(10)), Duration::from_millis(250));
/// assert_eq!(startup_retry_after(Duration::from_millis(400)), Duration::from_millis(800));
/// assert_eq!(startup_retry_after(Duration::from_secs(60)), Duration::from_secs(2));
/// ```
#[must_use]
pub fn startup_retry_after(uptime: Duration) -> Duration {
    uptime
        .saturating_mul(RETRY_UPTIME_FACTOR)
        .clamp(MIN_STARTUP_RETRY, MAX_STARTUP_RETRY)
}

quick_error! {
    /// Reason why a starting node is not ready.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum NotReady {
        /// The platform has not been read yet and is not known to be unreachable.
        PlatformUnread {
            display("configuration not read from the platform yet; wait for the first read")
        }
        /// The node has not read up to the end that the log had after the start.
        BehindLog(position: Offset, head: Offset) {
            display("configuration read up to offset {position} of {head}; wait for the rest")
        }
        /// The platform is unreachable, and queried peers still have time to answer.
        AwaitingPeers(peers: usize) {
            display("platform unreachable, no answer from {peers} peers yet; wait for them")
        }
        /// The platform is unreachable, and no ready peer has answered.
        NoReadyPeer {
            display("platform unreachable and no ready peer answered; check the network")
        }
        /// A peer has reported a greater version than the node has.
        BehindPeer(version: Version, floor: Version) {
            display("version {version} is older than {floor} of a peer; wait for the newer version")
        }
    }
}

/// Gate that decides when a node that starts without state becomes ready.
///
/// A node that has become ready stays ready.
///
/// # Examples
///
/// ```
/// use swiftcart_core::{NotReady, ReadinessGate, Offset, Version};
///
/// let mut gate = ReadinessGate::new();
/// let now = Default::default();
/// assert_eq!(gate.ready(now, Offset(0), Version::NONE), Err(NotReady::PlatformUnread));
/// gate.on_log_end(Offset(2));
/// let behind = NotReady::BehindLog(Offset(0), Offset(2));
/// assert_eq!(gate.ready(now, Offset(0), Version::NONE), Err(behind));
/// assert_eq!(gate.ready(now, Offset(2), Version(1)), Ok(()));
/// ```
#[derive(Debug, Default, Clone)]
pub struct ReadinessGate {
    ready: bool,
    log_end: Option<Offset>,
    outage: bool,
    peers: BTreeMap<NodeId, PeerQuery>,
}

#[derive(Debug, Clone, Copy)]
struct PeerQuery {
    first_sent: Instant,
    last_sent: Instant,
    answer: Option<Version>,
}

impl ReadinessGate {
    /// Creates the gate of a node that has just started.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the end of the platform's log. Only the first call after the start has an effect.
    pub fn on_log_end(&mut self, next: Offset) {
        self.log_end.get_or_insert(next);
    }

    /// Records that the platform cannot be read, or that the feed has stalled on an unknown rule.
    /// From then on the answers of peers can make the node ready.
    pub const fn on_outage(&mut self) {
        self.outage = true;
    }

    /// Returns the peers in `known` that have to be queried now.
    ///
    /// Peers that have not answered or are not ready themselves are queried again after
    /// [`FLOOR_REPLY_TIMEOUT`].
    pub fn peers_to_query(&mut self, now: Instant, known: &[NodeId]) -> Vec<NodeId> {
        let mut due = Vec::new();
        for id in known {
            let has_capacity = self.peers.len() < MAX_QUERIED_PEERS;
            match self.peers.get_mut(id) {
                _ if self.ready => {}
                Some(query) if query.is_due(now) => {
                    query.last_sent = now;
                    due.push(*id);
                }
                None if has_capacity => {
                    self.peers.insert(*id, PeerQuery::new(now));
                    due.push(*id);
                }
                Some(_) | None => {}
            }
        }
        due
    }

    /// Handles a peer's answer: the version `floor` that this node must have reached before it
    /// serves. See [`Witness::answer`](crate::Witness::answer).
    ///
    /// Answers of peers that were not queried are ignored.
    pub fn on_peer_floor(&mut self, peer: NodeId, floor: Version) {
        if let Some(query) = self.peers.get_mut(&peer) {
            query.answer = query.answer.max(Some(floor));
        }
    }

    /// Checks whether a node at this position and version may serve.
    ///
    /// # Errors
    ///
    /// Returns a [`NotReady`] with the condition that the node still waits for.
    pub fn ready(
        &mut self,
        now: Instant,
        position: Offset,
        version: Version,
    ) -> Result<(), NotReady> {
        if !self.ready {
            self.check(now, position, version)?;
            self.ready = true;
        }
        Ok(())
    }

    fn check(&self, now: Instant, position: Offset, version: Version) -> Result<(), NotReady> {
        let waiting = self
            .peers
            .values()
            .filter(|query| query.is_pending(now))
            .count();
        let answers = self.peers.values().filter_map(|query| query.answer);
        let floor = answers.max().unwrap_or_default();
        match self.log_end {
            Some(head) if position >= head => Ok(()),
            Some(head) if !self.outage => Err(NotReady::BehindLog(position, head)),
            None if !self.outage => Err(NotReady::PlatformUnread),
            _ if waiting > 0 => Err(NotReady::AwaitingPeers(waiting)),
            _ if floor == Version::NONE => Err(NotReady::NoReadyPeer),
            _ if version < floor => Err(NotReady::BehindPeer(version, floor)),
            _ => Ok(()),
        }
    }
}

impl PeerQuery {
    const fn new(now: Instant) -> Self {
        Self {
            first_sent: now,
            last_sent: now,
            answer: None,
        }
    }

    fn is_due(&self, now: Instant) -> bool {
        let answered = self.answer.is_some_and(|version| version > Version::NONE);
        !answered && now.since(self.last_sent) >= FLOOR_REPLY_TIMEOUT
    }

    fn is_pending(&self, now: Instant) -> bool {
        self.answer.is_none() && now.since(self.first_sent) < FLOOR_REPLY_TIMEOUT
    }
}

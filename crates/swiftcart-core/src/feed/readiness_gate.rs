//! When a restarted node may serve: once it cannot be behind its earlier life.

use std::collections::BTreeMap;
use std::time::Duration;

use quick_error::quick_error;

use crate::{Instant, NodeId, Offset, Version};

/// How long a peer has to answer a joiner.
pub const FLOOR_REPLY_TIMEOUT: Duration = Duration::from_secs(1);
/// Peers that a joiner asks, at most.
pub const MAX_QUERIED_PEERS: usize = 4096;

/// How much longer than so far a start is expected to take. Starts of one mesh last from 0.2 s to
/// 2 s, when 295 nodes share what the platform gives out; who comes back after the time so far meets
/// half of them ready, after twice that most.
const START_FACTOR: u32 = 2;
/// The least time after which a caller comes back: what a start of a small mesh takes.
const START_LEAST: Duration = Duration::from_millis(250);
/// The longest one: callers that have 6 s come back within a third of that.
const START_MOST: Duration = Duration::from_secs(2);

/// Returns when a caller should come back to a node that started `uptime` ago and is not ready.
///
/// A caller that comes back too soon has spent a try. With 0.25 s for all, callers of two further tries
/// were gone before half of a large mesh was ready again.
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
        .saturating_mul(START_FACTOR)
        .clamp(START_LEAST, START_MOST)
}

quick_error! {
    /// Tells why a joiner is not ready.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum NotReady {
        /// The platform was not read yet and is not known to be out of reach.
        PlatformUnread {
            display("the platform was not read yet; wait for it")
        }
        /// Records up to the end of the log are missing.
        BehindLog(position: Offset, head: Offset) {
            display("read up to {position} of {head}; wait for the rest")
        }
        /// Peers have time left to answer.
        AwaitingPeers(peers: usize) {
            display("the platform is out of reach and {peers} peers have not answered; wait for them")
        }
        /// No peer that is ready itself has answered.
        NoReadyPeer {
            display("neither the platform nor a ready peer answers; check the network")
        }
        /// A peer knows of a later version.
        BehindPeer(version: Version, floor: Version) {
            display("at version {version}, below {floor} that a peer reports; wait for it")
        }
    }
}

/// Decides when a node that starts without state becomes ready; it then stays so.
///
/// # Examples
///
/// ```
/// use swiftcart_core::{ReadinessGate, NotReady, Offset, Version};
///
/// let mut join = ReadinessGate::new();
/// let now = Default::default();
/// assert_eq!(join.ready(now, Offset(0), Version::NONE), Err(NotReady::PlatformUnread));
/// join.on_log_end(Offset(2));
/// let behind = NotReady::BehindLog(Offset(0), Offset(2));
/// assert_eq!(join.ready(now, Offset(0), Version::NONE), Err(behind));
/// assert_eq!(join.ready(now, Offset(2), Version(1)), Ok(()));
/// ```
#[derive(Debug, Default, Clone)]
pub struct ReadinessGate {
    ready: bool,
    head: Option<Offset>,
    outage: bool,
    peers: BTreeMap<NodeId, Asked>,
}

#[derive(Debug, Clone, Copy)]
struct Asked {
    first: Instant,
    last: Instant,
    answer: Option<Version>,
}

impl ReadinessGate {
    /// Creates the joiner that knows nothing.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes the end of the platform's log; the first one after the start counts.
    pub fn on_log_end(&mut self, next: Offset) {
        self.head.get_or_insert(next);
    }

    /// Notes that the platform cannot be read, or that the feed stalled on a later
    /// rule, which makes peers' answers count.
    pub const fn on_outage(&mut self) {
        self.outage = true;
    }

    /// Returns the known peers that are to be asked now.
    ///
    /// Whoever did not answer, or is not ready itself, is asked again after
    /// [`FLOOR_REPLY_TIMEOUT`].
    pub fn peers_to_query(&mut self, now: Instant, known: &[NodeId]) -> Vec<NodeId> {
        let mut due = Vec::new();
        for id in known {
            let has_room = self.peers.len() < MAX_QUERIED_PEERS;
            match self.peers.get_mut(id) {
                _ if self.ready => {}
                Some(asked) if asked.is_due(now) => {
                    asked.last = now;
                    due.push(*id);
                }
                None if has_room => {
                    self.peers.insert(*id, Asked::new(now));
                    due.push(*id);
                }
                Some(_) | None => {}
            }
        }
        due
    }

    /// Takes a peer's answer, see [`Witness::answer`](crate::Witness::answer).
    ///
    /// An answer of a peer that was not asked is ignored.
    pub fn on_peer_floor(&mut self, peer: NodeId, floor: Version) {
        if let Some(asked) = self.peers.get_mut(&peer) {
            asked.answer = asked.answer.max(Some(floor));
        }
    }

    /// Tells whether a node that is this far may serve.
    ///
    /// # Errors
    ///
    /// What the node still waits for.
    pub fn ready(
        &mut self,
        now: Instant,
        position: Offset,
        version: Version,
    ) -> Result<(), NotReady> {
        if !self.ready {
            self.judge(now, position, version)?;
            self.ready = true;
        }
        Ok(())
    }

    fn judge(&self, now: Instant, position: Offset, version: Version) -> Result<(), NotReady> {
        let waiting = self
            .peers
            .values()
            .filter(|asked| asked.is_open(now))
            .count();
        let answers = self.peers.values().filter_map(|asked| asked.answer);
        let floor = answers.max().unwrap_or_default();
        match self.head {
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

impl Asked {
    const fn new(now: Instant) -> Self {
        Self {
            first: now,
            last: now,
            answer: None,
        }
    }

    fn is_due(&self, now: Instant) -> bool {
        let answered = self.answer.is_some_and(|version| version > Version::NONE);
        !answered && now.since(self.last) >= FLOOR_REPLY_TIMEOUT
    }

    fn is_open(&self, now: Instant) -> bool {
        self.answer.is_none() && now.since(self.first) < FLOOR_REPLY_TIMEOUT
    }
}

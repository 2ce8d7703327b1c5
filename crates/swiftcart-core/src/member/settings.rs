//! Settings of the membership protocol.

use std::time::Duration;

/// Intervals, timeouts and limits of the membership protocol.
///
/// All nodes of a mesh should use the same values.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use swiftcart_core::Gossip;
///
/// let slow = Gossip { suspicion_timeout: Duration::from_secs(3), ..Gossip::new() };
/// assert_eq!(slow.probe_interval, Duration::from_millis(500));
/// ```
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Gossip {
    /// Interval between probes.
    pub probe_interval: Duration,
    /// Time to wait for an acknowledgement before other nodes are asked to probe the target.
    pub ack_timeout: Duration,
    /// Time in which a suspected node can refute the suspicion.
    pub suspicion_timeout: Duration,
    /// Number of nodes asked to probe a target indirectly.
    pub indirect: usize,
    /// One in this number of probes goes to another failure domain.
    pub cross_interval: u32,
    /// Maximum bytes of updates in one datagram.
    pub update_bytes: usize,
    /// Factor of the transmissions per update, which grow with the binary logarithm of the number
    /// of nodes.
    pub retransmit_factor: u32,
    /// Number of nodes to which an urgent update, such as a suspicion, is sent at once.
    pub fanout: usize,
    /// Time for which the tombstone of a dead or departed node is kept.
    pub tombstone_ttl: Duration,
    /// Maximum number of live entries, and of tombstones.
    pub max_entries: usize,
    /// Time without a tick after which the process is considered to have been paused.
    pub pause_threshold: Duration,
    /// Time after a pause in which the process declares no node suspected or dead.
    pub pause_grace: Duration,
    /// Time without datagrams after a missed probe until a failure domain is unreachable.
    ///
    /// A suspected failure domain is probed in every probe interval. Two more missed probes are
    /// sufficient evidence at a loss of one in twenty datagrams. A longer time would fail more of
    /// the requests that are routed there.
    pub unreachable_after: Duration,
    /// Time for which the member list hash may differ from that of peers before a pull.
    pub pull_after: Duration,
    /// Minimum interval between pulls.
    pub pull_interval: Duration,
    /// Interval between probes of seeds that are not live members and of dead nodes.
    pub rejoin_interval: Duration,
}

impl Gossip {
    /// Creates the default settings.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            probe_interval: Duration::from_millis(500),
            ack_timeout: Duration::from_millis(200),
            suspicion_timeout: Duration::from_millis(1500),
            indirect: 3,
            cross_interval: 4,
            update_bytes: 700,
            retransmit_factor: 1,
            fanout: 3,
            tombstone_ttl: Duration::from_secs(24 * 60 * 60),
            max_entries: 4096,
            pause_threshold: Duration::from_secs(1),
            pause_grace: Duration::from_secs(3),
            unreachable_after: Duration::from_millis(1200),
            pull_after: Duration::from_secs(2),
            pull_interval: Duration::from_secs(5),
            rejoin_interval: Duration::from_secs(10),
        }
    }
}

impl Default for Gossip {
    fn default() -> Self {
        Self::new()
    }
}

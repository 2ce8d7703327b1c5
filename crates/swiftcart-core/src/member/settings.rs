//! Settings of the membership.

use std::time::Duration;

/// Holds the times and bounds of the membership; all nodes of a mesh should agree.
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
    /// The time between two probes.
    pub probe_interval: Duration,
    /// How long a probe waits for its answer before others are asked to try.
    pub ack_timeout: Duration,
    /// How long a suspected node has to refute.
    pub suspicion_timeout: Duration,
    /// How many nodes are asked to probe in this node's place.
    pub indirect: usize,
    /// One probe in this many goes to another failure domain.
    pub cross_share: u32,
    /// The bytes of news in one datagram.
    pub news_bytes: usize,
    /// News is sent this many times the binary logarithm of the number of nodes.
    pub news_factor: u32,
    /// How many nodes hear at once of a suspicion, a death, a refutation or a departure.
    pub fanout: usize,
    /// How long a dead node is remembered.
    pub tombstone_ttl: Duration,
    /// The most live entries, and the most dead ones, that are kept.
    pub bound: usize,
    /// A tick that comes this much late tells that the process was paused.
    pub pause: Duration,
    /// How long a process accuses nobody after a pause.
    pub grace: Duration,
    /// How long a failure domain stays silent after a missed probe until it is unreachable. A
    /// domain in doubt is probed with every round; two more lost probes say enough where one
    /// in twenty is lost, and each second of waiting costs requests that are sent there.
    pub cut_after: Duration,
    /// How long the hash of the member list may differ from a peer's before a pull.
    pub pull_after: Duration,
    /// The least time between two pulls.
    pub pull_every: Duration,
    /// The time between two tries to find a forgotten or dead node again.
    pub retry_every: Duration,
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
            cross_share: 4,
            news_bytes: 700,
            news_factor: 1,
            fanout: 3,
            tombstone_ttl: Duration::from_secs(24 * 60 * 60),
            bound: 4096,
            pause: Duration::from_secs(1),
            grace: Duration::from_secs(3),
            cut_after: Duration::from_millis(1200),
            pull_after: Duration::from_secs(2),
            pull_every: Duration::from_secs(5),
            retry_every: Duration::from_secs(10),
        }
    }
}

impl Default for Gossip {
    fn default() -> Self {
        Self::new()
    }
}

//! Decides when a node reads the platform, by the time since its version was last confirmed to be
//! the newest.

use std::time::Duration;

use crate::Instant;

/// Age of a confirmation at which the next one is due.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(400);
/// Time without confirmation after which the first node in order reads the platform. The
/// confirmations of two reads in a row may be lost or late before nodes read without need.
const TAKEOVER_DELAY: Duration = Duration::from_millis(700);
/// Further delay for each doubling of the position in the order. In a mesh of 970 nodes the last
/// one reads 1.4 s after the last confirmation, which leaves half a second to distribute a version.
const TAKEOVER_STEP: Duration = Duration::from_millis(80);

/// Time between two ticks from which the process counts as paused.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(250);
/// Time after a pause in which confirmations are ignored, since they may have been waiting in the
/// socket's buffer.
const PAUSE_GRACE: Duration = Duration::from_millis(100);

/// Returns the time without confirmation after which the node at this position in the order reads
/// the platform.
///
/// The number of nodes that may read doubles with each step. Among many nodes, one that reaches the
/// platform is therefore found in time, and few nodes read if one of the first succeeds.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use swiftcart_core::takeover_delay;
///
/// assert_eq!(takeover_delay(0), Duration::from_millis(700));
/// assert_eq!(takeover_delay(1), Duration::from_millis(780));
/// assert_eq!(takeover_delay(2), takeover_delay(1));
/// assert_eq!(takeover_delay(969), Duration::from_millis(1_420));
/// ```
#[must_use]
pub fn takeover_delay(position: usize) -> Duration {
    TAKEOVER_DELAY + TAKEOVER_STEP * position.saturating_add(1).ilog2()
}

/// Age of the confirmation that the version of a node is the newest one.
///
/// An open read does not show whether the platform responds, and a node that receives no message
/// cannot distinguish an outage from a lack of changes. Only a completed read is therefore a
/// confirmation. The node that confirmed last continues to read and notifies all others. When its
/// confirmations stop, the other nodes read in order until one of them succeeds.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use swiftcart_core::{Freshness, Instant};
///
/// let at = Instant::from_millis;
/// let mut freshness = Freshness::new(at(400));
/// assert!(freshness.on_peer(at(500), Duration::from_millis(20), 7));
/// freshness.on_position(7);
/// assert_eq!(freshness.due(at(1_000), 0), None);
/// assert_eq!(freshness.due(at(1_200), 0), Some(Duration::ZERO));
/// assert!(freshness.on_confirmed(at(1_200), at(1_210)));
/// assert_eq!(freshness.due(at(1_220), 0), Some(Duration::from_millis(390)));
/// ```
#[derive(Debug, Clone)]
pub struct Freshness {
    /// Latest time at which the platform had no newer version.
    confirmed: Instant,
    /// Set if this node confirms the version for all others.
    confirms: bool,
    /// Time at which a later confirmation of another node arrived.
    superseded: Instant,
    /// Confirmation of a position that this node has not reached yet.
    pending: Option<Pending>,
    ticked: Instant,
    /// Time until which confirmations of other nodes are ignored.
    ignored_until: Instant,
}

#[derive(Debug, Clone, Copy)]
struct Pending {
    position: u64,
    at: Instant,
}

impl Freshness {
    /// Creates the state of a node whose version counts as confirmed at `now`.
    #[must_use]
    pub const fn new(now: Instant) -> Self {
        Self {
            confirmed: now,
            confirms: false,
            superseded: now,
            pending: None,
            ticked: now,
            ignored_until: now,
        }
    }

    /// Returns the time since the version was last confirmed.
    #[must_use]
    pub const fn age(&self, now: Instant) -> Duration {
        now.since(self.confirmed)
    }

    /// Returns `true` if this node confirms the version for all others.
    #[must_use]
    pub const fn confirms(&self) -> bool {
        self.confirms
    }

    /// Detects a pause of the process. Has to be called at least every 100 ms.
    pub fn on_tick(&mut self, now: Instant) {
        if now.since(self.ticked) >= PAUSE_THRESHOLD {
            self.ignored_until = now + PAUSE_GRACE;
        }
        self.ticked = now;
    }

    /// Records that a read of this node found nothing newer at `at`, or found a version that the
    /// node now has.
    pub fn on_read(&mut self, at: Instant) {
        self.confirmed = self.confirmed.max(at);
    }

    /// Records the same result of a confirming read that began at `began`.
    ///
    /// Returns `true` if the node notifies all others and continues to confirm. It does not if another
    /// node confirmed the version during the read, so that one of several nodes remains.
    #[must_use]
    pub fn on_confirmed(&mut self, began: Instant, at: Instant) -> bool {
        self.on_read(at);
        self.confirms = self.superseded <= began;
        self.confirms
    }

    /// Records that a confirming read of this node failed.
    pub const fn on_failed(&mut self) {
        self.confirms = false;
    }

    /// Records that `age` ago another node found that `position` was the newest one.
    ///
    /// It counts once this node has reached the position, see
    /// [`on_position`](Self::on_position). Returns `false` if the message is ignored: after a pause
    /// it may be older than it says.
    pub fn on_peer(&mut self, now: Instant, age: Duration, position: u64) -> bool {
        let paused = now.since(self.ticked) >= PAUSE_THRESHOLD;
        if paused || now < self.ignored_until {
            return false;
        }
        let at = Instant::new(now.elapsed().saturating_sub(age));
        if at > self.confirmed {
            self.superseded = now;
            self.confirms = false;
            self.pending = Some(Pending { position, at });
        }
        true
    }

    /// Records the position that this node has reached.
    pub fn on_position(&mut self, position: u64) {
        if let Some(reached) = self.pending.take_if(|pending| pending.position <= position) {
            self.on_read(reached.at);
        }
    }

    /// Returns the time for which a confirming read waits for a newer version, or `None` if the
    /// node at this position in the order has no confirming read to start.
    #[must_use]
    pub fn due(&self, now: Instant, position: usize) -> Option<Duration> {
        let age = self.age(now);
        let due = self.confirms || age >= takeover_delay(position);
        due.then(|| CONFIRM_INTERVAL.saturating_sub(age))
    }
}

//! The floor: a version is reported to witnesses before it is put in force.

use std::time::Duration;

use super::rank;
use crate::{Instant, NodeId, Version};

/// How long a node waits for one witness before it puts a version in force anyway.
pub const WITNESS_ACK_TIMEOUT: Duration = Duration::from_millis(300);
/// Witnesses in the node's own failure domain.
const NEAR: usize = 2;
/// Witnesses in other failure domains.
const FAR: usize = 1;

/// Asks the node to do something on behalf of the floor.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EnforcementAction {
    /// Report the version to these witnesses.
    Report {
        /// The version that is about to be put in force.
        version: Version,
        /// The witnesses.
        to: Vec<NodeId>,
    },
    /// Put the version in force now.
    Enforce(Version),
}

/// Holds back each version until a witness knows it, so that a restarted node can
/// learn how far it was.
///
/// # Examples
///
/// ```
/// use swiftcart_core::{EnforcementGate, EnforcementAction, Instant, NodeId, Version};
///
/// let witness = NodeId(([10, 0, 0, 2], 7000).into());
/// let mut floor = EnforcementGate::new();
/// let version = Version(4);
/// let report = EnforcementAction::Report { version, to: vec![witness] };
/// assert_eq!(floor.on_version(Instant::default(), version, &[witness]), [report]);
/// let enforce = EnforcementAction::Enforce(version);
/// assert_eq!(floor.on_ack(Instant::default(), witness, version, &[witness]), [enforce]);
/// ```
#[derive(Debug, Default, Clone)]
pub struct EnforcementGate {
    enforced: Version,
    open: Option<Report>,
    next: Version,
    unacknowledged: u64,
}

#[derive(Debug, Clone)]
struct Report {
    version: Version,
    until: Instant,
    to: Vec<NodeId>,
}

impl EnforcementGate {
    /// Creates the floor of a node that has put nothing in force.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the version in force.
    #[must_use]
    pub const fn enforced(&self) -> Version {
        self.enforced
    }

    /// Returns how many versions were put in force without an acknowledgement.
    #[must_use]
    pub const fn unacknowledged(&self) -> u64 {
        self.unacknowledged
    }

    /// Returns when [`on_tick`](Self::on_tick) has something to do.
    #[must_use]
    pub fn wake(&self) -> Option<Instant> {
        self.open.as_ref().map(|report| report.until)
    }

    /// Takes a version that the feed has reached; `witnesses` come from [`witnesses`].
    ///
    /// While a report is open, later versions wait together for the next one, so
    /// that a steady stream of publishes cannot postpone the change for ever.
    pub fn on_version(
        &mut self,
        now: Instant,
        version: Version,
        witnesses: &[NodeId],
    ) -> Vec<EnforcementAction> {
        self.next = self.next.max(version);
        match self.open {
            Some(_) => Vec::new(),
            None => self.report(now, witnesses),
        }
    }

    /// Takes a witness's acknowledgement.
    pub fn on_ack(
        &mut self,
        now: Instant,
        peer: NodeId,
        version: Version,
        witnesses: &[NodeId],
    ) -> Vec<EnforcementAction> {
        let acked = |r: &mut Report| r.version <= version && r.to.contains(&peer);
        match self.open.take_if(acked) {
            Some(report) => self.enforce(now, report.version, witnesses),
            None => Vec::new(),
        }
    }

    /// Puts a version in force for which no witness answered in time.
    pub fn on_tick(&mut self, now: Instant, witnesses: &[NodeId]) -> Vec<EnforcementAction> {
        match self.open.take_if(|report| now >= report.until) {
            Some(report) => {
                self.unacknowledged += 1;
                self.enforce(now, report.version, witnesses)
            }
            None => Vec::new(),
        }
    }

    fn enforce(
        &mut self,
        now: Instant,
        version: Version,
        witnesses: &[NodeId],
    ) -> Vec<EnforcementAction> {
        self.enforced = version;
        let mut actions = vec![EnforcementAction::Enforce(version)];
        actions.extend(self.report(now, witnesses));
        actions
    }

    fn report(&mut self, now: Instant, witnesses: &[NodeId]) -> Vec<EnforcementAction> {
        let version = self.next;
        match witnesses {
            _ if version <= self.enforced => Vec::new(),
            [] => {
                self.enforced = version;
                self.unacknowledged += 1;
                vec![EnforcementAction::Enforce(version)]
            }
            _ => {
                let to = witnesses.to_vec();
                self.open = Some(Report {
                    version,
                    until: now + WITNESS_ACK_TIMEOUT,
                    to: to.clone(),
                });
                vec![EnforcementAction::Report { version, to }]
            }
        }
    }
}

/// Returns the witnesses of `me`: two of its own failure domain and one of another.
///
/// They depend on the members alone, so that they rarely change.
#[must_use]
pub fn witnesses(me: NodeId, near: &[NodeId], far: &[NodeId]) -> Vec<NodeId> {
    let salt = me.to_string();
    let others = |ids| rank(ids, &salt).into_iter().filter(move |id| *id != me);
    others(near)
        .take(NEAR)
        .chain(others(far).take(FAR))
        .collect()
}

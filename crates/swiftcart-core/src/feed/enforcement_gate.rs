//! Gate that reports each version to witnesses before the node enforces it.

use std::time::Duration;

use super::rank;
use crate::{Instant, NodeId, Version};

/// Maximum time that a version waits for the first acknowledgement of a witness. The node enforces
/// the version after this time even without an acknowledgement.
pub const WITNESS_ACK_TIMEOUT: Duration = Duration::from_millis(300);
/// Number of witnesses in the node's own failure domain.
const OWN_DOMAIN_WITNESSES: usize = 2;
/// Number of witnesses in other failure domains.
const OTHER_DOMAIN_WITNESSES: usize = 1;

/// Action that the node performs on behalf of an [`EnforcementGate`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EnforcementAction {
    /// Report the version to these witnesses.
    Report {
        /// Version that is about to be enforced.
        version: Version,
        /// Witnesses that receive the report.
        to: Vec<NodeId>,
    },
    /// Enforce the version now.
    Enforce(Version),
}

/// Gate that holds back each version until a witness has acknowledged it or has not answered within
/// [`WITNESS_ACK_TIMEOUT`].
///
/// After a restart, a node can ask the witnesses for the greatest version that it had reported.
///
/// # Examples
///
/// ```
/// use swiftcart_core::{EnforcementAction, EnforcementGate, Instant, NodeId, Version};
///
/// let witness = NodeId(([10, 0, 0, 2], 7000).into());
/// let mut gate = EnforcementGate::new();
/// let version = Version(4);
/// let report = EnforcementAction::Report { version, to: vec![witness] };
/// assert_eq!(gate.on_version(Instant::default(), version, &[witness]), [report]);
/// let enforce = EnforcementAction::Enforce(version);
/// assert_eq!(gate.on_ack(Instant::default(), witness, version, &[witness]), [enforce]);
/// ```
#[derive(Debug, Default, Clone)]
pub struct EnforcementGate {
    enforced: Version,
    pending: Option<PendingReport>,
    latest: Version,
    unacknowledged: u64,
}

#[derive(Debug, Clone)]
struct PendingReport {
    version: Version,
    deadline: Instant,
    witnesses: Vec<NodeId>,
}

impl EnforcementGate {
    /// Creates the gate of a node that has not enforced any version.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the enforced version.
    #[must_use]
    pub const fn enforced(&self) -> Version {
        self.enforced
    }

    /// Returns the number of versions that were enforced without an acknowledgement.
    #[must_use]
    pub const fn unacknowledged(&self) -> u64 {
        self.unacknowledged
    }

    /// Returns the time at which [`on_tick`](Self::on_tick) has to be called.
    #[must_use]
    pub fn wake(&self) -> Option<Instant> {
        self.pending.as_ref().map(|report| report.deadline)
    }

    /// Handles a version that the feed has reached.
    ///
    /// `witnesses` are the nodes that [`witnesses`] returns. While a report is pending, newer
    /// versions wait for the next report. A steady stream of publishes therefore cannot postpone
    /// enforcement forever.
    pub fn on_version(
        &mut self,
        now: Instant,
        version: Version,
        witnesses: &[NodeId],
    ) -> Vec<EnforcementAction> {
        self.latest = self.latest.max(version);
        match self.pending {
            Some(_) => Vec::new(),
            None => self.start_report(now, witnesses),
        }
    }

    /// Handles the acknowledgement of a witness.
    pub fn on_ack(
        &mut self,
        now: Instant,
        peer: NodeId,
        version: Version,
        witnesses: &[NodeId],
    ) -> Vec<EnforcementAction> {
        let is_acknowledged =
            |r: &mut PendingReport| r.version <= version && r.witnesses.contains(&peer);
        match self.pending.take_if(is_acknowledged) {
            Some(report) => self.enforce(now, report.version, witnesses),
            None => Vec::new(),
        }
    }

    /// Enforces the reported version if no witness has acknowledged it in time.
    pub fn on_tick(&mut self, now: Instant, witnesses: &[NodeId]) -> Vec<EnforcementAction> {
        match self.pending.take_if(|report| now >= report.deadline) {
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
        actions.extend(self.start_report(now, witnesses));
        actions
    }

    fn start_report(&mut self, now: Instant, witnesses: &[NodeId]) -> Vec<EnforcementAction> {
        let version = self.latest;
        match witnesses {
            _ if version <= self.enforced => Vec::new(),
            [] => {
                self.enforced = version;
                self.unacknowledged += 1;
                vec![EnforcementAction::Enforce(version)]
            }
            _ => {
                let to = witnesses.to_vec();
                self.pending = Some(PendingReport {
                    version,
                    deadline: now + WITNESS_ACK_TIMEOUT,
                    witnesses: to.clone(),
                });
                vec![EnforcementAction::Report { version, to }]
            }
        }
    }
}

/// Returns the witnesses of `me`: two nodes of its own failure domain and one node of another.
///
/// `near` are members of the node's own failure domain, and `far` are members of other failure
/// domains. The choice depends only on `me` and these members, so that the choice rarely changes.
#[must_use]
pub fn witnesses(me: NodeId, near: &[NodeId], far: &[NodeId]) -> Vec<NodeId> {
    let salt = me.to_string();
    let others = |ids| rank(ids, &salt).into_iter().filter(move |id| *id != me);
    others(near)
        .take(OWN_DOMAIN_WITNESSES)
        .chain(others(far).take(OTHER_DOMAIN_WITNESSES))
        .collect()
}

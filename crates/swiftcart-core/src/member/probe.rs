//! Pending probes, which wait for an acknowledgement.

use std::collections::BTreeMap;

use crate::{Instant, NodeId, Seq};

/// Maximum number of pending probes on behalf of other nodes.
const MAX_RELAYS: usize = 256;

/// Kind of a probe, which decides the consequence of a missing acknowledgement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ProbeKind {
    /// The target is in the own failure domain and becomes suspected.
    SameDomain,
    /// The target is in another failure domain, whose reachability becomes doubtful.
    CrossDomain,
    /// The target is a seed, a departed node or a suspected node; a miss has no consequence.
    BestEffort,
}

/// Probe that waits for an acknowledgement.
#[derive(Debug, Clone, Copy)]
pub(super) struct Probe {
    pub target: NodeId,
    pub kind: ProbeKind,
    pub sent: Instant,
    pub deadline: Instant,
    /// `true` once other nodes were asked to probe the target.
    pub indirect_sent: bool,
}

/// Probe on behalf of another node.
#[derive(Debug, Clone, Copy)]
pub(super) struct RelayedProbe {
    pub requester: NodeId,
    /// Sequence number that the requester chose.
    pub seq: Seq,
    pub target: NodeId,
    pub deadline: Instant,
}

/// Pending probes by sequence number.
#[derive(Debug, Default, Clone)]
pub(super) struct PendingProbes {
    last_seq: Seq,
    own: BTreeMap<Seq, Probe>,
    relays: BTreeMap<Seq, RelayedProbe>,
}

impl PendingProbes {
    /// Adds a probe and returns its sequence number.
    pub fn add(&mut self, probe: Probe) -> Seq {
        let seq = self.next_seq();
        self.own.insert(seq, probe);
        seq
    }

    /// Adds a probe on behalf of another node, or returns `None` if too many are pending.
    pub fn add_relay(&mut self, relay: RelayedProbe) -> Option<Seq> {
        if self.relays.len() >= MAX_RELAYS {
            return None;
        }
        let seq = self.next_seq();
        self.relays.insert(seq, relay);
        Some(seq)
    }

    /// Removes and returns the probe of `target` with the sequence number `seq`.
    pub fn remove(&mut self, seq: Seq, target: NodeId) -> Option<Probe> {
        match self.own.get(&seq) {
            Some(probe) if probe.target == target => self.own.remove(&seq),
            _ => None,
        }
    }

    /// Removes and returns the relayed probe of `target` with the sequence number `seq`.
    pub fn remove_relay(&mut self, seq: Seq, target: NodeId) -> Option<RelayedProbe> {
        match self.relays.get(&seq) {
            Some(relay) if relay.target == target => self.relays.remove(&seq),
            _ => None,
        }
    }

    /// Returns `true` if a probe of `target` is pending.
    pub fn is_pending(&self, target: NodeId) -> bool {
        self.own.values().any(|p| p.target == target)
    }

    /// Removes and returns the expired probes; expired relayed probes are dropped.
    pub fn take_expired(&mut self, now: Instant) -> Vec<(Seq, Probe)> {
        self.relays.retain(|_, r| r.deadline > now);
        let due = |(_, p): &(&Seq, &Probe)| p.deadline <= now;
        let expired: Vec<_> = self.own.iter().filter(due).map(|(s, p)| (*s, *p)).collect();
        for (seq, _) in &expired {
            self.own.remove(seq);
        }
        expired
    }

    /// Adds a probe under its previous sequence number.
    pub fn reopen(&mut self, seq: Seq, probe: Probe) {
        self.own.insert(seq, probe);
    }

    /// Removes all probes.
    pub fn clear(&mut self) {
        self.own.clear();
        self.relays.clear();
    }

    const fn next_seq(&mut self) -> Seq {
        self.last_seq = self.last_seq.wrapping_add(1);
        self.last_seq
    }
}

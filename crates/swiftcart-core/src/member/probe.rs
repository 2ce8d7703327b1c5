//! Probes that wait for their answer.

use std::collections::BTreeMap;

use crate::{Instant, NodeId, Seq};

/// The most probes that a node carries out for others at once.
const MAX_RELAYS: usize = 256;

/// Tells what a missed answer means.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Kind {
    /// A node of the own failure domain, which is suspected.
    Own,
    /// A node of another failure domain, which is never accused.
    Cross,
    /// A seed or a dead node, of which no answer is expected.
    Stray,
}

/// Holds one open probe.
#[derive(Debug, Clone, Copy)]
pub(super) struct Probe {
    pub target: NodeId,
    pub kind: Kind,
    pub sent: Instant,
    pub deadline: Instant,
    /// Whether others have been asked to try.
    pub asked: bool,
}

/// Holds a probe that is carried out for another node.
#[derive(Debug, Clone, Copy)]
pub(super) struct Relay {
    pub asker: NodeId,
    pub seq: Seq,
    pub target: NodeId,
    pub deadline: Instant,
}

/// Holds all open probes by number.
#[derive(Debug, Default, Clone)]
pub(super) struct Probes {
    next: Seq,
    open: BTreeMap<Seq, Probe>,
    relays: BTreeMap<Seq, Relay>,
}

impl Probes {
    /// Adds a probe and returns its number.
    pub fn open(&mut self, probe: Probe) -> Seq {
        let seq = self.number();
        self.open.insert(seq, probe);
        seq
    }

    /// Adds a probe for another node, or returns `None` when too many are open.
    pub fn relay(&mut self, relay: Relay) -> Option<Seq> {
        if self.relays.len() >= MAX_RELAYS {
            return None;
        }
        let seq = self.number();
        self.relays.insert(seq, relay);
        Some(seq)
    }

    /// Closes the probe of `target` with this number.
    pub fn close(&mut self, seq: Seq, target: NodeId) -> Option<Probe> {
        match self.open.get(&seq) {
            Some(probe) if probe.target == target => self.open.remove(&seq),
            _ => None,
        }
    }

    /// Closes the relayed probe of `target` with this number.
    pub fn close_relay(&mut self, seq: Seq, target: NodeId) -> Option<Relay> {
        match self.relays.get(&seq) {
            Some(relay) if relay.target == target => self.relays.remove(&seq),
            _ => None,
        }
    }

    /// Tells whether a probe of `target` is open.
    pub fn awaits(&self, target: NodeId) -> bool {
        self.open.values().any(|p| p.target == target)
    }

    /// Takes the probes whose time is over; drops relayed ones without a word.
    pub fn expired(&mut self, now: Instant) -> Vec<(Seq, Probe)> {
        self.relays.retain(|_, r| r.deadline > now);
        let due = |(_, p): &(&Seq, &Probe)| p.deadline <= now;
        let expired: Vec<_> = self
            .open
            .iter()
            .filter(due)
            .map(|(s, p)| (*s, *p))
            .collect();
        for (seq, _) in &expired {
            self.open.remove(seq);
        }
        expired
    }

    /// Puts a probe back under its number.
    pub fn put_back(&mut self, seq: Seq, probe: Probe) {
        self.open.insert(seq, probe);
    }

    /// Forgets everything.
    pub fn clear(&mut self) {
        self.open.clear();
        self.relays.clear();
    }

    const fn number(&mut self) -> Seq {
        self.next = self.next.wrapping_add(1);
        self.next
    }
}

//! Selection of gossip and pull targets, which mostly stay inside the failure domain.
//!
//! Every node has to know every other node. With targets chosen from the whole mesh, nearly all
//! datagrams would cross failure domains. When all nodes start at once, that traffic would grow
//! with the square of the number of nodes. Updates about a node therefore spread inside its failure
//! domain. A few of its nodes forward them to other failure domains, where they spread again.

use rand::Rng;
use rand::seq::index::sample;
use rand::seq::{IndexedRandom, IteratorRandom};

use super::Membership;
use crate::{FailureDomain, Member, NodeId};

/// Number of nodes of the own failure domain that a leaving node notifies.
const LEAVE_FANOUT: usize = 8;

/// Number of rounds in which a node announces a change of its own entry to every other failure
/// domain. One of two datagrams nearly always arrives.
const ANNOUNCE_ROUNDS: u32 = 2;

/// Average number of nodes of a failure domain that send urgent updates to another one per round.
///
/// A node sends an update in 5 rounds among 30 nodes and in 9 rounds among 300 nodes. Each of four
/// other failure domains thus receives it about ten times, in addition to the announcement by the
/// node itself.
const CROSS_DOMAIN_SENDERS: f64 = 6.0;

/// Number of nodes of a failure domain that pull lists from other failure domains. Two delegates
/// tolerate one that is paused or has died undetected.
const DELEGATES: usize = 2;

impl Membership {
    /// Schedules announcements of the own entry to all other failure domains.
    pub(super) const fn schedule_cross_announcements(&mut self) {
        self.announce_rounds = ANNOUNCE_ROUNDS;
    }

    /// Returns random peers of the own failure domain, or of any failure domain if there are none.
    pub(super) fn domain_peers(&mut self, count: usize) -> Vec<NodeId> {
        let own = self.me.domain.clone();
        match self.list.ring(&own).len() {
            0 | 1 => self.random_peers(count),
            _ => {
                let ids = self.list.ring(&own).iter().map(|(_, id)| *id);
                let me = self.me.id;
                ids.filter(|id| *id != me)
                    .choose_multiple(&mut self.rng, count)
            }
        }
    }

    /// Returns the nodes of other failure domains to which the own entry is sent in this round.
    pub(super) fn announcement_targets(&mut self) -> Vec<NodeId> {
        match self.announce_rounds {
            0 => Vec::new(),
            left => {
                self.announce_rounds = left - 1;
                self.one_per_domain()
            }
        }
    }

    /// Returns the node of another failure domain to which updates are sent in this round, if any.
    ///
    /// [`CROSS_DOMAIN_SENDERS`] nodes of the own failure domain get a target, on average.
    pub(super) fn cross_domain_peer(&mut self) -> Option<NodeId> {
        let size = self.list.ring(&self.me.domain).len().max(1);
        let probability = (CROSS_DOMAIN_SENDERS / size as f64).min(1.0);
        let sends = self.rng.random_bool(probability);
        let targets = sends.then(|| self.one_per_domain())?;
        targets.choose(&mut self.rng).copied()
    }

    /// Returns `true` if the node is known and belongs to the own failure domain.
    pub(super) fn is_same_domain(&self, id: NodeId) -> bool {
        self.list
            .get(id)
            .is_some_and(|member| self.in_own_domain(member))
    }

    /// Returns `true` if this node pulls lists from other failure domains.
    pub(super) fn is_delegate(&self) -> bool {
        let ring = self.list.ring(&self.me.domain);
        ring.iter().take(DELEGATES).any(|(_, id)| *id == self.me.id)
    }

    /// Returns the nodes to notify that this node leaves.
    pub(super) fn leave_targets(&mut self) -> Vec<NodeId> {
        let mut targets = self.domain_peers(LEAVE_FANOUT);
        targets.extend(self.one_per_domain());
        targets
    }

    /// Returns random live nodes of reachable failure domains.
    pub(super) fn random_peers(&mut self, count: usize) -> Vec<NodeId> {
        let reachable = self
            .list
            .domains()
            .filter(|d| !self.reachability.is_unreachable(d));
        let rings: Vec<_> = reachable.map(|d| self.list.ring(d)).collect();
        let total = rings.iter().map(|r| r.len()).sum();
        let picks = sample(&mut self.rng, total, total.min(count + 1));
        let peers = picks.iter().filter_map(|at| nth_node(&rings, at));
        peers.filter(|id| *id != self.me.id).take(count).collect()
    }

    /// Returns a random node of every other failure domain.
    pub(super) fn one_per_domain(&mut self) -> Vec<NodeId> {
        let others = self.list.domains().filter(|d| **d != self.me.domain);
        let rings: Vec<_> = others.map(|d: &FailureDomain| self.list.ring(d)).collect();
        let rng = &mut self.rng;
        let one = |ring: &&[(u64, NodeId)]| ring.choose(rng).map(|(_, id)| *id);
        rings.iter().filter_map(one).collect()
    }

    pub(super) fn in_own_domain(&self, member: &Member) -> bool {
        member.domain == self.me.domain
    }
}

/// Returns the node at an index into the concatenated rings.
fn nth_node(rings: &[&[(u64, NodeId)]], mut at: usize) -> Option<NodeId> {
    for ring in rings {
        match ring.get(at) {
            Some((_, id)) => return Some(*id),
            None => at -= ring.len(),
        }
    }
    None
}

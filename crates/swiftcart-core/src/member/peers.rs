//! Whom a node tells news and whom it asks for lists: those of its failure domain, and few others.
//!
//! Every node has to know every other one, so that what goes to random nodes of the whole mesh
//! crosses failure domains in nearly all cases, and grows with the square of the nodes when all
//! of them start at once. News of a node therefore spreads inside its failure domain, and a few
//! of its nodes carry it to the others, where it spreads again.

use rand::Rng;
use rand::seq::index::sample;
use rand::seq::{IndexedRandom, IteratorRandom};

use super::Membership;
use crate::{FailureDomain, Member, NodeId};

/// How many nodes of the own failure domain hear of a departure from the leaving node.
const FAREWELLS: usize = 8;

/// The rounds in which a node tells each other failure domain of a change of its own: one of two
/// datagrams arrives nearly always.
const OWN_ROUNDS: u32 = 2;

/// The nodes of a failure domain that take urgent news to another one in each round, on average.
/// A node passes an item on in 5 rounds among 30 nodes and in 9 among 300, so that each of four other failure
/// domains hears of it about ten times besides the word of the node itself.
const CARRIERS: f64 = 6.0;

/// The nodes of a failure domain that pull lists from other ones; one may be paused or about to
/// be found dead.
const DELEGATES: usize = 2;

impl Membership {
    /// Notes that there is news of this node itself.
    pub(super) const fn announce_afar(&mut self) {
        self.own_rounds = OWN_ROUNDS;
    }

    /// Returns random nodes of the own failure domain; of any, where it has no other node.
    pub(super) fn near_peers(&mut self, count: usize) -> Vec<NodeId> {
        let own = self.me.domain.clone();
        match self.list.ring(&own).len() {
            0 | 1 => self.random_peers(count),
            _ => {
                let near = self.list.ring(&own).iter().map(|(_, id)| *id);
                let me = self.me.id;
                near.filter(|id| *id != me)
                    .choose_multiple(&mut self.rng, count)
            }
        }
    }

    /// Returns the nodes of other failure domains that hear of this node itself in this round.
    pub(super) fn own_round(&mut self) -> Vec<NodeId> {
        match self.own_rounds {
            0 => Vec::new(),
            left => {
                self.own_rounds = left - 1;
                self.one_of_each()
            }
        }
    }

    /// Returns the node of another failure domain that hears of this one's nodes in this round.
    pub(super) fn far_peer(&mut self) -> Option<NodeId> {
        let near = self.list.ring(&self.me.domain).len().max(1);
        let share = (CARRIERS / near as f64).min(1.0);
        let carries = self.rng.random_bool(share);
        let all = carries.then(|| self.one_of_each())?;
        all.choose(&mut self.rng).copied()
    }

    /// Tells whether a node is of this node's failure domain, as far as it is known.
    pub(super) fn is_near(&self, id: NodeId) -> bool {
        self.list.get(id).is_some_and(|member| self.is_own(member))
    }

    /// Tells whether this node pulls lists for its failure domain.
    pub(super) fn is_delegate(&self) -> bool {
        let ring = self.list.ring(&self.me.domain);
        ring.iter().take(DELEGATES).any(|(_, id)| *id == self.me.id)
    }

    /// Returns whom to tell that this node leaves.
    pub(super) fn farewell(&mut self) -> Vec<NodeId> {
        let mut told = self.near_peers(FAREWELLS);
        told.extend(self.one_of_each());
        told
    }

    /// Returns random live nodes that this node can reach.
    pub(super) fn random_peers(&mut self, count: usize) -> Vec<NodeId> {
        let reached = self.list.domains().filter(|d| !self.reach.is_cut(d));
        let rings: Vec<_> = reached.map(|d| self.list.ring(d)).collect();
        let total = rings.iter().map(|r| r.len()).sum();
        let picks = sample(&mut self.rng, total, total.min(count + 1));
        let peers = picks.iter().filter_map(|at| nth(&rings, at));
        peers.filter(|id| *id != self.me.id).take(count).collect()
    }

    /// Returns a random node of each other failure domain.
    pub(super) fn one_of_each(&mut self) -> Vec<NodeId> {
        let others = self.list.domains().filter(|d| **d != self.me.domain);
        let rings: Vec<_> = others.map(|d: &FailureDomain| self.list.ring(d)).collect();
        let rng = &mut self.rng;
        let one = |ring: &&[(u64, NodeId)]| ring.choose(rng).map(|(_, id)| *id);
        rings.iter().filter_map(one).collect()
    }

    pub(super) fn is_own(&self, member: &Member) -> bool {
        member.domain == self.me.domain
    }
}

/// Returns the node at a place counted over all rings.
fn nth(rings: &[&[(u64, NodeId)]], mut at: usize) -> Option<NodeId> {
    for ring in rings {
        match ring.get(at) {
            Some((_, id)) => return Some(*id),
            None => at -= ring.len(),
        }
    }
    None
}

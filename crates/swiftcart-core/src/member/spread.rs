//! How news enters a node, what the node makes of it, and how it goes on to others.

use std::time::Duration;

use rand::Rng;
use rand::seq::IteratorRandom;
use rand::seq::index::sample;

use super::{Action, Applied, Membership};
use crate::{
    Backend, Beat, Incarnation, Instant, Liveness, Member, News, NodeId, Readiness, Status,
};

/// How many nodes of the own failure domain hear of a departure from the leaving node.
const FAREWELLS: usize = 8;

/// The least time between two rounds of urgent news.
const URGENT_EVERY: Duration = Duration::from_millis(100);

/// The number of items beyond which news comes in faster than probes carry it on.
const FLOOD: usize = 32;

/// A list that differs this many times longer than allowed is pulled even while it changes.
const PATIENCE: u32 = 2;

/// Tells how long, and last from whose, the member list has differed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Difference {
    since: Instant,
    last: Instant,
    peer: NodeId,
}

impl Membership {
    /// Takes in news and returns what its sender should be told in turn.
    pub(super) fn learn(&mut self, now: Instant, news: Vec<News>) -> Vec<News> {
        let mut replies = Vec::new();
        for item in news {
            let id = item.id();
            match id == self.me.id {
                true => self.answer_news_of_me(now, &item),
                false if self.accept(now, item) == Applied::Older => {
                    replies.extend(self.known_of(id));
                }
                false => {}
            }
        }
        replies
    }

    /// Applies news of another node and passes it on when it is new.
    pub(super) fn accept(&mut self, now: Instant, news: News) -> Applied {
        let id = news.id();
        let before = self.list.get(id).map(|m| m.liveness);
        let applied = self.absorb(now, news.clone());
        match applied {
            Applied::Changed => {
                self.urgent |= is_urgent(before, &news);
                self.news.push(news);
            }
            Applied::Known if self.is_flooded() => self.news.known(id, self.limit()),
            Applied::Known | Applied::Older | Applied::Ignored | Applied::Full => {}
        }
        applied
    }

    /// Applies news of another node without passing it on.
    pub(super) fn absorb(&mut self, now: Instant, news: News) -> Applied {
        let id = news.id();
        let applied = self.apply(now, news);
        if applied == Applied::Changed {
            self.watch(now, id);
        }
        applied
    }

    /// Refutes what others wrongly hold of this node.
    pub(super) fn answer_news_of_me(&mut self, now: Instant, news: &News) {
        let (incarnation, wrong) = match news {
            News::Entry(entry) => (entry.incarnation, *entry != self.me),
            News::Status(status) => (status.incarnation, status.liveness != Liveness::Alive),
        };
        match self.me.liveness.is_live() {
            true if incarnation > self.me.incarnation => self.refute(now, incarnation),
            true if incarnation == self.me.incarnation && wrong => self.refute(now, incarnation),
            _ => {}
        }
    }

    /// Announces this node's entry under an incarnation above `incarnation`.
    pub(super) fn step_over(&mut self, now: Instant, incarnation: Incarnation) {
        let Incarnation(number) = incarnation.max(self.me.incarnation);
        self.me.incarnation = Incarnation(number.saturating_add(1));
        self.list.put(now, self.me.clone());
        self.last_change = now;
        self.out.push(Action::Changed(self.me.id));
        self.news.push(News::Entry(self.me.clone()));
        self.urgent = true;
    }

    /// Tells a few random nodes at once what should not wait for the next probe.
    pub(super) fn send_urgent(&mut self, now: Instant) {
        if now < self.next_urgent || !(self.urgent || self.is_flooded()) {
            return;
        }
        self.urgent = false;
        self.next_urgent = now + URGENT_EVERY;
        for id in self.random_peers(self.settings.fanout) {
            let limit = self.limit();
            let news = self.news.fill(Vec::new(), self.settings.news_bytes, limit);
            self.reply(id, news);
        }
    }

    /// Returns a beat for `to`, with what it should know of itself or of this node first.
    pub(super) fn beat(&mut self, to: NodeId, mut first: Vec<News>) -> Beat {
        match self.list.get(to) {
            Some(m) if m.liveness != Liveness::Alive => first.insert(0, status_of(m)),
            Some(_) => {}
            None if first.is_empty() => first.push(News::Entry(self.me.clone())),
            None => {}
        }
        let limit = self.limit();
        Beat {
            head: self.head,
            hash: self.list.hash(),
            news: self.news.fill(first, self.settings.news_bytes, limit),
        }
    }

    /// Notes whether a peer's list differs from this node's.
    ///
    /// An agreeing peer says nothing: nodes may have fallen into two equal camps.
    pub(super) fn compare(&mut self, now: Instant, peer: NodeId, hash: u32) {
        if hash == self.list.hash() {
            return;
        }
        let gap = self.settings.pull_after * 2;
        let since = match self.differs {
            Some(before) if now.since(before.last) <= gap => before.since,
            Some(_) | None => now,
        };
        self.differs = Some(Difference {
            since,
            last: now,
            peer,
        });
    }

    /// Asks for a pull when the list has differed for long enough, or is not there yet.
    pub(super) fn ask_pull(&mut self, now: Instant) {
        if now < self.next_pull {
            return;
        }
        let after = self.settings.pull_after;
        let quiet = now.since(self.last_change) >= after / 2 || self.is_flooded();
        let peer = match self.differs {
            _ if !self.synced => self.random_peers(1).pop(),
            Some(d) if quiet && d.last.since(d.since) >= after => Some(d.peer),
            Some(d) if d.last.since(d.since) >= after * PATIENCE => Some(d.peer),
            _ => None,
        };
        if let Some(id) = peer {
            self.counts.pulls += 1;
            self.out.push(Action::Pull(id));
            self.put_off_pull(now);
        }
    }

    /// Sets the time before which no further pull is asked for.
    fn put_off_pull(&mut self, now: Instant) {
        let every = match self.synced {
            true if !self.is_flooded() => self.settings.pull_every,
            true => self.settings.pull_after,
            // Who was asked may be gone, and without the members there is nobody to route to.
            false => self.settings.pull_after / 4,
        };
        self.next_pull = now + every.mul_f64(self.rng.random_range(1.0..1.5));
    }

    /// Returns whom to tell that this node leaves.
    pub(super) fn farewell(&mut self) -> Vec<NodeId> {
        let own = self.list.ring(&self.me.domain).iter().map(|(_, id)| *id);
        let own = own.filter(|id| *id != self.me.id);
        let mut told = own.choose_multiple(&mut self.rng, FAREWELLS);
        for domain in self.list.domains().filter(|d| **d != self.me.domain) {
            let one = self.list.ring(domain).iter().choose(&mut self.rng);
            told.extend(one.map(|(_, id)| *id));
        }
        told
    }

    /// Returns how often one item is sent.
    pub(super) fn limit(&self) -> u32 {
        let log = usize::BITS - self.list.live().leading_zeros();
        log.saturating_mul(self.settings.news_factor).max(1)
    }

    /// Tells whether so much has changed that lists are better compared as a whole.
    fn is_flooded(&self) -> bool {
        self.news.len() > FLOOD
    }

    fn refute(&mut self, now: Instant, incarnation: Incarnation) {
        self.counts.refuted += 1;
        self.step_over(now, incarnation);
    }

    /// Returns what is known of a node, without its addresses when it is not alive.
    fn known_of(&self, id: NodeId) -> Option<News> {
        let member = self.list.get(id)?;
        Some(match member.liveness {
            Liveness::Alive => News::Entry(member.clone()),
            Liveness::Suspect | Liveness::Dead | Liveness::Left => status_of(member),
        })
    }

    /// Returns random live nodes that this node can reach.
    fn random_peers(&mut self, count: usize) -> Vec<NodeId> {
        let reached = self.list.domains().filter(|d| !self.reach.is_cut(d));
        let rings: Vec<_> = reached.map(|d| self.list.ring(d)).collect();
        let total = rings.iter().map(|r| r.len()).sum();
        let picks = sample(&mut self.rng, total, total.min(count + 1));
        let peers = picks.iter().filter_map(|at| nth(&rings, at));
        peers.filter(|id| *id != self.me.id).take(count).collect()
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

/// Returns the short form of an entry.
pub(super) fn status_of(member: &Member) -> News {
    News::Status(Status {
        id: member.id,
        incarnation: member.incarnation,
        liveness: member.liveness,
    })
}

/// Tells whether news should not wait: a node is in doubt, gone, back, or drains.
fn is_urgent(before: Option<Liveness>, news: &News) -> bool {
    let drains = |b: &Backend| b.readiness == Readiness::Draining;
    match news {
        News::Status(_) => true,
        News::Entry(_) if before.is_some_and(|l| l != Liveness::Alive) => true,
        News::Entry(member) => member.backend.as_ref().is_some_and(drains),
    }
}

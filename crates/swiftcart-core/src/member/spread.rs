//! How news enters a node, what the node makes of it, and how it goes on to others.

use std::time::Duration;

use rand::Rng;

use super::{Action, Applied, Membership};
use crate::{
    Backend, Heartbeat, Incarnation, Instant, Liveness, Member, MemberUpdate, NodeId, Readiness,
    Status,
};

/// The least time between two rounds of urgent news.
const URGENT_EVERY: Duration = Duration::from_millis(100);

/// The number of items beyond which news comes in faster than probes carry it on.
const FLOOD: usize = 32;

/// A list that differs this many times longer than allowed is pulled even while it changes.
const PATIENCE: u32 = 2;

/// A list that differs this many times longer than allowed from those of other failure domains is
/// pulled by any node, since the delegates seem to fail.
const FAR_PATIENCE: u32 = 2;

/// Tells how long, and last from whose, the member list has differed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Difference {
    since: Instant,
    last: Instant,
    peer: NodeId,
}

impl Membership {
    /// Takes in news and returns what its sender should be told in turn.
    pub(super) fn learn(&mut self, now: Instant, news: Vec<MemberUpdate>) -> Vec<MemberUpdate> {
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
    pub(super) fn accept(&mut self, now: Instant, news: MemberUpdate) -> Applied {
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
    pub(super) fn absorb(&mut self, now: Instant, news: MemberUpdate) -> Applied {
        let id = news.id();
        let applied = self.apply(now, news);
        if applied == Applied::Changed {
            self.watch(now, id);
        }
        applied
    }

    /// Refutes what others wrongly hold of this node.
    pub(super) fn answer_news_of_me(&mut self, now: Instant, news: &MemberUpdate) {
        let (incarnation, wrong) = match news {
            MemberUpdate::Entry(entry) => (entry.incarnation, *entry != self.me),
            MemberUpdate::Status(status) => {
                (status.incarnation, status.liveness != Liveness::Alive)
            }
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
        self.news.push(MemberUpdate::Entry(self.me.clone()));
        self.announce_afar();
        self.urgent = true;
    }

    /// Tells a few random nodes at once what should not wait for the next probe.
    pub(super) fn send_urgent(&mut self, now: Instant) {
        if now < self.next_urgent || !(self.urgent || self.is_flooded()) {
            return;
        }
        self.urgent = false;
        self.next_urgent = now + URGENT_EVERY;
        for id in self.own_round() {
            let news = vec![MemberUpdate::Entry(self.me.clone())];
            self.reply(id, news);
        }
        let near = self.near_peers(self.settings.fanout);
        for id in near.into_iter().chain(self.far_peer()) {
            let news = self.pick_news(id, Vec::new());
            self.reply(id, news);
        }
    }

    /// Returns what to tell `to`: `first`, and news that is still to be passed on.
    ///
    /// Another failure domain hears of this one's nodes only. What it has to know of its own
    /// nodes and of third ones spreads there, or comes from theirs.
    fn pick_news(&mut self, to: NodeId, first: Vec<MemberUpdate>) -> Vec<MemberUpdate> {
        let (budget, limit) = (self.settings.news_bytes, self.limit());
        let list = &self.list;
        let own = &self.me.domain;
        let theirs = list.get(to).map_or(own, |member| &member.domain);
        let concerns = |m: &Member| m.domain == *own || m.domain == *theirs;
        let tells = |id: NodeId| theirs == own || list.get(id).is_some_and(concerns);
        self.news.fill(first, budget, limit, tells)
    }

    /// Returns a beat for `to`, with what it should know of itself or of this node first.
    pub(super) fn beat(&mut self, to: NodeId, mut first: Vec<MemberUpdate>) -> Heartbeat {
        match self.list.get(to) {
            Some(m) if m.liveness != Liveness::Alive => first.insert(0, status_of(m)),
            Some(_) => {}
            None if first.is_empty() => first.push(MemberUpdate::Entry(self.me.clone())),
            None => {}
        }
        Heartbeat {
            head: self.head,
            hash: self.list.hash(),
            news: self.pick_news(to, first),
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
        // Where the delegates fail, others pull in their place.
        let far = !self.is_near(peer) && !self.is_delegate();
        let differs = match far {
            true => &mut self.far_differs,
            false => &mut self.differs,
        };
        let since = match *differs {
            Some(before) if now.since(before.last) <= gap => before.since,
            Some(_) | None => now,
        };
        *differs = Some(Difference {
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
        let lasts = |d: Difference| d.last.since(d.since);
        let peer = match (self.differs, self.far_differs) {
            _ if !self.synced => self.near_peers(1).pop(),
            (Some(d), _) if quiet && lasts(d) >= after => Some(d.peer),
            (Some(d), _) if lasts(d) >= after * PATIENCE => Some(d.peer),
            (_, Some(d)) if lasts(d) >= after * FAR_PATIENCE => Some(d.peer),
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
    fn known_of(&self, id: NodeId) -> Option<MemberUpdate> {
        let member = self.list.get(id)?;
        Some(match member.liveness {
            Liveness::Alive => MemberUpdate::Entry(member.clone()),
            Liveness::Suspect | Liveness::Dead | Liveness::Left => status_of(member),
        })
    }
}

/// Returns the short form of an entry.
pub(super) fn status_of(member: &Member) -> MemberUpdate {
    MemberUpdate::Status(Status {
        id: member.id,
        incarnation: member.incarnation,
        liveness: member.liveness,
    })
}

/// Tells whether news should not wait: a node is in doubt, gone, back, or drains.
fn is_urgent(before: Option<Liveness>, news: &MemberUpdate) -> bool {
    let drains = |b: &Backend| b.readiness == Readiness::Draining;
    match news {
        MemberUpdate::Status(_) => true,
        MemberUpdate::Entry(_) if before.is_some_and(|l| l != Liveness::Alive) => true,
        MemberUpdate::Entry(member) => member.backend.as_ref().is_some_and(drains),
    }
}

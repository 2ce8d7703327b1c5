//! Dissemination of updates: processing, refutation, gossip and anti-entropy pulls.

use std::time::Duration;

use rand::Rng;

use super::{Action, ApplyOutcome, Membership};
use crate::{
    Backend, Heartbeat, Incarnation, Instant, Liveness, Member, MemberUpdate, NodeId, Readiness,
    Status,
};

/// Minimum interval between two rounds of urgent updates.
const URGENT_INTERVAL: Duration = Duration::from_millis(100);

/// Number of queued updates above which updates arrive faster than probes can carry them.
const BACKLOG_ITEMS: usize = 32;

/// Multiple of `pull_after` after which a differing list is pulled even while it is changing.
const UNSETTLED_DELAY_FACTOR: u32 = 2;

/// Multiple of `pull_after` after which any node pulls a differing list from another failure
/// domain, since the delegates appear to have failed.
const CROSS_DOMAIN_DELAY_FACTOR: u32 = 2;

/// Period in which the member list differed from those of peers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct ListMismatch {
    since: Instant,
    last_seen: Instant,
    /// Peer whose list differed last.
    peer: NodeId,
}

impl Membership {
    /// Applies updates and returns newer updates that their sender lacks.
    pub(super) fn apply_all(
        &mut self,
        now: Instant,
        updates: Vec<MemberUpdate>,
    ) -> Vec<MemberUpdate> {
        let mut replies = Vec::new();
        for update in updates {
            let id = update.id();
            match id == self.me.id {
                true => self.refute_if_wrong(now, &update),
                false if self.apply_and_queue(now, update) == ApplyOutcome::Stale => {
                    replies.extend(self.known_update(id));
                }
                false => {}
            }
        }
        replies
    }

    /// Applies an update about another node and queues it for gossip if it is new.
    pub(super) fn apply_and_queue(&mut self, now: Instant, update: MemberUpdate) -> ApplyOutcome {
        let id = update.id();
        let before = self.list.get(id).map(|m| m.liveness);
        let outcome = self.apply_and_track(now, update.clone());
        match outcome {
            ApplyOutcome::Changed => {
                self.urgent |= is_urgent(before, &update);
                self.updates.push(update);
            }
            ApplyOutcome::Duplicate if self.is_backlogged() => {
                self.updates.record_duplicate(id, self.transmit_limit());
            }
            ApplyOutcome::Duplicate
            | ApplyOutcome::Stale
            | ApplyOutcome::Incomplete
            | ApplyOutcome::ListFull => {}
        }
        outcome
    }

    /// Applies an update about another node without queueing it for gossip.
    pub(super) fn apply_and_track(&mut self, now: Instant, update: MemberUpdate) -> ApplyOutcome {
        let id = update.id();
        let outcome = self.apply(now, update);
        if outcome == ApplyOutcome::Changed {
            self.track_suspicion(now, id);
        }
        outcome
    }

    /// Refutes an update about this node that contradicts its own entry.
    pub(super) fn refute_if_wrong(&mut self, now: Instant, update: &MemberUpdate) {
        let (incarnation, wrong) = match update {
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

    /// Announces the own entry with an incarnation above `incarnation` and above its own.
    pub(super) fn raise_incarnation(&mut self, now: Instant, incarnation: Incarnation) {
        let Incarnation(number) = incarnation.max(self.me.incarnation);
        self.me.incarnation = Incarnation(number.saturating_add(1));
        self.list.insert(now, self.me.clone());
        self.last_change = now;
        self.actions.push(Action::Changed(self.me.id));
        self.updates.push(MemberUpdate::Entry(self.me.clone()));
        self.schedule_cross_announcements();
        self.urgent = true;
    }

    /// Sends urgent updates to a few random nodes without waiting for the next probe.
    pub(super) fn send_urgent_updates(&mut self, now: Instant) {
        if now < self.next_urgent || !(self.urgent || self.is_backlogged()) {
            return;
        }
        self.urgent = false;
        self.next_urgent = now + URGENT_INTERVAL;
        for id in self.announcement_targets() {
            let news = vec![MemberUpdate::Entry(self.me.clone())];
            self.reply(id, news);
        }
        let peers = self.domain_peers(self.settings.fanout);
        for id in peers.into_iter().chain(self.cross_domain_peer()) {
            let news = self.select_updates(id, Vec::new());
            self.reply(id, news);
        }
    }

    /// Selects the updates to send to `to`: `first`, followed by queued updates.
    ///
    /// A node of another failure domain receives only updates about nodes of the own failure domain
    /// and of its own. Updates about nodes of a third failure domain reach it from there.
    fn select_updates(&mut self, to: NodeId, first: Vec<MemberUpdate>) -> Vec<MemberUpdate> {
        let (budget, transmit_limit) = (self.settings.update_bytes, self.transmit_limit());
        let list = &self.list;
        let own = &self.me.domain;
        let target = list.get(to).map_or(own, |member| &member.domain);
        let in_either = |m: &Member| m.domain == *own || m.domain == *target;
        let wanted = |id: NodeId| target == own || list.get(id).is_some_and(in_either);
        self.updates.fill(first, budget, transmit_limit, wanted)
    }

    /// Returns a heartbeat for `to`.
    ///
    /// The heartbeat begins with the status of `to` unless `to` is alive, so that `to` can refute
    /// it, or with the own entry if `to` is unknown.
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
            news: self.select_updates(to, first),
        }
    }

    /// Compares the list hash of a peer and records a mismatch.
    ///
    /// An equal hash does not clear a recorded mismatch, since the mesh may be split into two
    /// groups that each agree internally.
    pub(super) fn compare_hash(&mut self, now: Instant, peer: NodeId, hash: u32) {
        if hash == self.list.hash() {
            return;
        }
        let max_gap = self.settings.pull_after * 2;
        // Nodes that are not delegates pull from other failure domains only if the delegates fail.
        let cross_domain = !self.is_same_domain(peer) && !self.is_delegate();
        let mismatch = match cross_domain {
            true => &mut self.cross_mismatch,
            false => &mut self.mismatch,
        };
        let since = match *mismatch {
            Some(before) if now.since(before.last_seen) <= max_gap => before.since,
            Some(_) | None => now,
        };
        *mismatch = Some(ListMismatch {
            since,
            last_seen: now,
            peer,
        });
    }

    /// Requests a pull if this node is not synced or its list has differed for long enough.
    pub(super) fn request_pull(&mut self, now: Instant) {
        if now < self.next_pull {
            return;
        }
        let after = self.settings.pull_after;
        let settled = now.since(self.last_change) >= after / 2 || self.is_backlogged();
        let duration = |d: ListMismatch| d.last_seen.since(d.since);
        let peer = match (self.mismatch, self.cross_mismatch) {
            _ if !self.synced => self.domain_peers(1).pop(),
            (Some(d), _) if settled && duration(d) >= after => Some(d.peer),
            (Some(d), _) if duration(d) >= after * UNSETTLED_DELAY_FACTOR => Some(d.peer),
            (_, Some(d)) if duration(d) >= after * CROSS_DOMAIN_DELAY_FACTOR => Some(d.peer),
            _ => None,
        };
        if let Some(id) = peer {
            self.counts.pulls += 1;
            self.actions.push(Action::Pull(id));
            self.schedule_next_pull(now);
        }
    }

    /// Sets the earliest time of the next pull.
    fn schedule_next_pull(&mut self, now: Instant) {
        let interval = match self.synced {
            true if !self.is_backlogged() => self.settings.pull_interval,
            true => self.settings.pull_after,
            // The peer may have stopped, and this node cannot route requests without members.
            false => self.settings.pull_after / 4,
        };
        self.next_pull = now + interval.mul_f64(self.rng.random_range(1.0..1.5));
    }

    /// Returns the number of transmissions per update.
    pub(super) fn transmit_limit(&self) -> u32 {
        let log = usize::BITS - self.list.live().leading_zeros();
        log.saturating_mul(self.settings.retransmit_factor).max(1)
    }

    /// Returns `true` if so many updates are queued that a pull is more efficient than gossip.
    fn is_backlogged(&self) -> bool {
        self.updates.len() > BACKLOG_ITEMS
    }

    fn refute(&mut self, now: Instant, incarnation: Incarnation) {
        self.counts.refuted += 1;
        self.raise_incarnation(now, incarnation);
    }

    /// Returns the update about a node: its entry if it is alive, otherwise its status.
    fn known_update(&self, id: NodeId) -> Option<MemberUpdate> {
        let member = self.list.get(id)?;
        Some(match member.liveness {
            Liveness::Alive => MemberUpdate::Entry(member.clone()),
            Liveness::Suspect | Liveness::Dead | Liveness::Left => status_of(member),
        })
    }
}

/// Returns the status update of an entry.
pub(super) fn status_of(member: &Member) -> MemberUpdate {
    MemberUpdate::Status(Status {
        id: member.id,
        incarnation: member.incarnation,
        liveness: member.liveness,
    })
}

/// Returns `true` if an update is urgent: a node is suspected, gone, back or draining.
fn is_urgent(before: Option<Liveness>, update: &MemberUpdate) -> bool {
    let drains = |b: &Backend| b.readiness == Readiness::Draining;
    match update {
        MemberUpdate::Status(_) => true,
        MemberUpdate::Entry(_) if before.is_some_and(|l| l != Liveness::Alive) => true,
        MemberUpdate::Entry(member) => member.backend.as_ref().is_some_and(drains),
    }
}

//! Which roll-outs a node knows of, and how far they are.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{OrderId, Release, RolloutOrder, RolloutStage, RolloutStatus, RolloutStatuses, Side};
use crate::{Instant, ServiceName};

/// The most services whose roll-outs are known; five times those of the largest mesh to design for.
const SERVICES_MOST: usize = 256;

/// The most releases that are kept out of a service. Backend servers of a release that was taken
/// back are gone some seconds later.
const BARRED_MOST: usize = 4;

/// The rounds in which a node passes a word on. With three peers in each, a node that hears of
/// none is one in 8,000; the rest learns it by comparing.
const ROUNDS: u32 = 3;

/// What is known of one service's roll-out.
#[derive(Debug, Clone, PartialEq, Eq)]
struct RolloutEntry {
    order: OrderId,
    target: Release,
    stage: RolloutStage,
    duration: Duration,
    deadline: Instant,
    barred: Vec<Release>,
    /// The release that was brought in last before this order, where this node knows of it.
    in_use: Option<Release>,
    /// The rounds in which it is still passed on.
    rounds: u32,
}

/// A roll-out that a node knows of.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rollout<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// The newest order for it.
    pub order: OrderId,
    /// The release that the order names.
    pub target: &'a Release,
    /// How far it is.
    pub stage: RolloutStage,
    /// The time from the order to its deadline.
    pub duration: Duration,
    /// The deadline.
    pub deadline: Instant,
}

impl Rollout<'_> {
    /// Returns the time left until the deadline.
    #[must_use]
    pub const fn remaining(&self, now: Instant) -> Duration {
        self.deadline.since(now)
    }
}

/// Keeps the newest order of each service, and the latest stage of it that anybody knows.
///
/// Orders and stages only go forward, so that it does not matter in which order a node hears
/// of them, nor how often.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use swiftcart_core::{Instant, OrderId, Release, RolloutOrder, Rollouts, ServiceName, Side};
///
/// let order = RolloutOrder {
///     id: OrderId(7),
///     service: ServiceName::new("sensor"),
///     target: Release::new("v2"),
///     duration: Duration::from_secs(12),
/// };
/// let mut rollouts = Rollouts::default();
/// assert!(rollouts.order(Instant::from_millis(0), &order));
/// let (_, side) = rollouts.side(&order.service, Some(&Release::new("v1"))).expect("known");
/// assert_eq!(side, Side::Old);
/// ```
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Rollouts {
    entries: BTreeMap<ServiceName, RolloutEntry>,
}

impl Rollouts {
    /// Tells whether no roll-out is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Takes an order; returns whether it is a new one.
    pub fn order(&mut self, now: Instant, order: &RolloutOrder) -> bool {
        let before = self.entries.get(&order.service);
        let full = before.is_none() && self.entries.len() >= SERVICES_MOST;
        if full || before.is_some_and(|entry| entry.order >= order.id) {
            return false;
        }
        let entry = RolloutEntry {
            order: order.id,
            target: order.target.clone(),
            // What is in use already needs no trial, and nothing else may be there to serve.
            stage: match before {
                Some(entry) if entry.is_in_use(&order.target) => RolloutStage::Completed,
                _ => RolloutStage::Ordered,
            },
            duration: order.duration,
            deadline: now + order.duration,
            barred: before.map_or_else(Vec::new, |entry| entry.barred_for(&order.target)),
            in_use: before.and_then(RolloutEntry::release_in_use),
            rounds: ROUNDS,
        };
        self.entries.insert(order.service.clone(), entry);
        true
    }

    /// Takes what another node knows; returns whether any of it is news.
    pub fn merge(&mut self, now: Instant, statuses: &[RolloutStatus]) -> bool {
        let mut news = false;
        for status in statuses {
            news |= self.merge_one(now, status);
        }
        news
    }

    /// Moves on to `stage`; returns whether that was a step forward.
    pub fn advance(&mut self, service: &ServiceName, order: OrderId, stage: RolloutStage) -> bool {
        match self.entries.get_mut(service) {
            Some(entry) if entry.order == order && entry.stage < stage => {
                entry.stage = stage;
                entry.rounds = ROUNDS;
                true
            }
            _ => false,
        }
    }

    /// Sets the deadline of an order as the platform remembers it.
    pub fn set_deadline(&mut self, service: &ServiceName, order: OrderId, deadline: Instant) {
        if let Some(entry) = self.entries.get_mut(service).filter(|k| k.order == order) {
            entry.deadline = deadline;
        }
    }

    /// Returns the roll-out of a service.
    #[must_use]
    pub fn get(&self, service: &ServiceName) -> Option<Rollout<'_>> {
        let (service, entry) = self.entries.get_key_value(service)?;
        Some(entry.shown(service))
    }

    /// Returns the roll-outs that have not ended.
    pub fn running(&self) -> impl Iterator<Item = Rollout<'_>> {
        let all = self
            .entries
            .iter()
            .map(|(service, entry)| entry.shown(service));
        all.filter(|rollout| !rollout.stage.is_over())
    }

    /// Returns the roll-out that concerns a backend server, and its side.
    ///
    /// One that does not tell its release is an old one.
    #[must_use]
    pub fn side(
        &self,
        service: &ServiceName,
        release: Option<&Release>,
    ) -> Option<(Rollout<'_>, Side)> {
        let (service, entry) = self.entries.get_key_value(service)?;
        let side = match release {
            Some(release) if *release == entry.target => Side::New,
            Some(release) if entry.barred.contains(release) => Side::Barred,
            Some(_) | None => Side::Old,
        };
        Some((entry.shown(service), side))
    }

    /// Returns what is to be passed on in this round.
    pub fn gossip_round(&mut self, now: Instant) -> Vec<RolloutStatus> {
        let pending = self
            .entries
            .iter_mut()
            .filter(|(_, entry)| entry.rounds > 0);
        pending
            .map(|(service, entry)| {
                entry.rounds -= 1;
                entry.status(service, now)
            })
            .collect()
    }

    /// Returns everything that is known.
    #[must_use]
    pub fn all(&self, now: Instant) -> Vec<RolloutStatus> {
        let all = self.entries.iter();
        all.map(|(service, entry)| entry.status(service, now))
            .collect()
    }

    /// Stands for everything that is known: equal where two nodes know the same.
    #[must_use]
    pub fn digest(&self) -> u64 {
        let parts = self.entries.iter().map(|(service, entry)| {
            let mut hasher = blake3::Hasher::new();
            hasher.update(service.as_str().as_bytes());
            hasher.update(&entry.order.0.to_be_bytes());
            hasher.update(&[entry.stage.number()]);
            for release in &entry.barred {
                hasher.update(release.as_str().as_bytes());
            }
            let hash = hasher.finalize();
            hash.as_bytes()[..8]
                .iter()
                .fold(0, |sum, byte| sum << 8 | u64::from(*byte))
        });
        parts.fold(0, |digest, part| digest ^ part)
    }

    /// Returns what a node says that compares itself with another one.
    #[must_use]
    pub fn digest_message(&self) -> RolloutStatuses {
        RolloutStatuses {
            digest: self.digest(),
            ..RolloutStatuses::default()
        }
    }

    /// Returns the question for everything that the receiver knows.
    #[must_use]
    pub fn request_all(&self) -> RolloutStatuses {
        RolloutStatuses {
            asks: true,
            ..self.digest_message()
        }
    }

    /// Returns that question where `statuses` show that the sender knows something else.
    #[must_use]
    pub fn sync_request(&self, statuses: &RolloutStatuses) -> Option<RolloutStatuses> {
        let compares = statuses.list.is_empty() && !statuses.asks;
        (compares && self.digest() != statuses.digest).then(|| self.request_all())
    }

    fn merge_one(&mut self, now: Instant, status: &RolloutStatus) -> bool {
        let deadline = now + Duration::from_millis(status.left_ms.into());
        let full = self.entries.len() >= SERVICES_MOST;
        match self.entries.get_mut(&status.service) {
            Some(entry) if entry.order == status.order => {
                let barred = entry.bar(&status.barred);
                let further = entry.stage < status.stage;
                entry.stage = entry.stage.max(status.stage);
                let news = barred || further;
                if news {
                    entry.rounds = ROUNDS;
                }
                news
            }
            Some(entry) if entry.order > status.order => false,
            None if full => false,
            before @ (Some(_) | None) => {
                let before = before.as_deref();
                let mut entry = RolloutEntry {
                    order: status.order,
                    target: status.target.clone(),
                    stage: status.stage,
                    duration: Duration::from_millis(status.duration_ms.into()),
                    deadline,
                    barred: before.map_or_else(Vec::new, |entry| entry.barred_for(&status.target)),
                    in_use: before.and_then(RolloutEntry::release_in_use),
                    rounds: ROUNDS,
                };
                entry.bar(&status.barred);
                self.entries.insert(status.service.clone(), entry);
                true
            }
        }
    }
}

impl RolloutEntry {
    fn is_in_use(&self, release: &Release) -> bool {
        self.stage == RolloutStage::Completed && self.target == *release
    }

    /// Returns the releases that stay out while a later order names `target`.
    fn barred_for(&self, target: &Release) -> Vec<Release> {
        let unproven = Some(&self.target).filter(|_| self.stage != RolloutStage::Completed);
        let barred = unproven.into_iter().chain(&self.barred);
        let barred = barred.filter(|release| *release != target);
        let mut barred: Vec<Release> = barred.take(BARRED_MOST).cloned().collect();
        barred.sort();
        barred
    }

    /// Returns the release that was brought in last.
    fn release_in_use(&self) -> Option<Release> {
        match self.stage {
            RolloutStage::Completed => Some(self.target.clone()),
            _ => self.in_use.clone(),
        }
    }

    /// Keeps out what another node keeps out; returns whether any of it is news. Who missed that a
    /// release was brought in would keep it out.
    fn bar(&mut self, releases: &[Release]) -> bool {
        let mut news = false;
        for release in releases {
            let stays = *release == self.target || Some(release) == self.in_use.as_ref();
            let entry = stays || self.barred.contains(release);
            if !entry && self.barred.len() < BARRED_MOST {
                self.barred.push(release.clone());
                news = true;
            }
        }
        self.barred.sort();
        news
    }

    const fn shown<'a>(&'a self, service: &'a ServiceName) -> Rollout<'a> {
        Rollout {
            service,
            order: self.order,
            target: &self.target,
            stage: self.stage,
            duration: self.duration,
            deadline: self.deadline,
        }
    }

    fn status(&self, service: &ServiceName, now: Instant) -> RolloutStatus {
        RolloutStatus {
            service: service.clone(),
            order: self.order,
            target: self.target.clone(),
            stage: self.stage,
            duration_ms: millis(self.duration),
            left_ms: millis(self.deadline.since(now)),
            barred: self.barred.clone(),
        }
    }
}

fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

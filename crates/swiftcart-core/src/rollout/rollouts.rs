//! Roll-outs known to a node, and their stages.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{OrderId, Release, RolloutOrder, RolloutStage, RolloutStatus, RolloutStatuses, Side};
use crate::{Instant, ServiceName};

/// Maximum number of services with a known roll-out: five times the number in the largest supported
/// mesh.
const MAX_SERVICES: usize = 256;

/// Maximum number of barred releases of a service. A few are enough, because the backend servers of
/// a release that was rolled back are stopped within seconds.
const MAX_BARRED_RELEASES: usize = 4;

/// Number of rounds in which a node gossips a changed status. With three peers in each round, one
/// node in 8,000 receives no copy. That node catches up by comparing digests.
const GOSSIP_ROUNDS: u32 = 3;

/// State of one service's roll-out.
#[derive(Debug, Clone, PartialEq, Eq)]
struct RolloutEntry {
    order: OrderId,
    target: Release,
    stage: RolloutStage,
    duration: Duration,
    deadline: Instant,
    barred: Vec<Release>,
    /// Release that was in use before this order, if this node knows it.
    in_use: Option<Release>,
    /// Gossip rounds left for this status.
    rounds: u32,
}

/// View of a roll-out known to a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rollout<'a> {
    /// Service being rolled out.
    pub service: &'a ServiceName,
    /// Newest order for the service.
    pub order: OrderId,
    /// Release named by the order.
    pub target: &'a Release,
    /// Current stage.
    pub stage: RolloutStage,
    /// Time from the order to its deadline.
    pub duration: Duration,
    /// Deadline of the order.
    pub deadline: Instant,
}

impl Rollout<'_> {
    /// Returns the time left until the deadline.
    #[must_use]
    pub const fn remaining(&self, now: Instant) -> Duration {
        self.deadline.since(now)
    }
}

/// Newest order of each service and its latest known stage.
///
/// Orders and stages only move forward. Statuses can therefore be merged in any order and any
/// number of times.
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
    /// Returns `true` if no roll-out is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Adds an order that is newer than the known order of its service. Returns `true` if the order
    /// was added.
    pub fn order(&mut self, now: Instant, order: &RolloutOrder) -> bool {
        let previous = self.entries.get(&order.service);
        let full = previous.is_none() && self.entries.len() >= MAX_SERVICES;
        if full || previous.is_some_and(|entry| entry.order >= order.id) {
            return false;
        }
        let entry = RolloutEntry {
            order: order.id,
            target: order.target.clone(),
            // A release that is in use needs no trial, and may be the only release with backend
            // servers.
            stage: match previous {
                Some(entry) if entry.is_in_use(&order.target) => RolloutStage::Completed,
                _ => RolloutStage::Ordered,
            },
            duration: order.duration,
            deadline: now + order.duration,
            barred: previous.map_or_else(Vec::new, |entry| entry.barred_for(&order.target)),
            in_use: previous.and_then(RolloutEntry::release_in_use),
            rounds: GOSSIP_ROUNDS,
        };
        self.entries.insert(order.service.clone(), entry);
        true
    }

    /// Merges statuses received from another node. Returns `true` if any of them changed the state.
    pub fn merge(&mut self, now: Instant, statuses: &[RolloutStatus]) -> bool {
        let mut changed = false;
        for status in statuses {
            changed |= self.merge_one(now, status);
        }
        changed
    }

    /// Advances a roll-out to `stage`. Returns `true` if the stage is later than the current one.
    pub fn advance(&mut self, service: &ServiceName, order: OrderId, stage: RolloutStage) -> bool {
        match self.entries.get_mut(service) {
            Some(entry) if entry.order == order && entry.stage < stage => {
                entry.stage = stage;
                entry.rounds = GOSSIP_ROUNDS;
                true
            }
            _ => false,
        }
    }

    /// Sets the deadline of an order to the one that the platform has recorded.
    pub fn set_due(&mut self, service: &ServiceName, order: OrderId, deadline: Instant) {
        if let Some(entry) = self
            .entries
            .get_mut(service)
            .filter(|entry| entry.order == order)
        {
            entry.deadline = deadline;
        }
    }

    /// Returns the roll-out of a service.
    #[must_use]
    pub fn get(&self, service: &ServiceName) -> Option<Rollout<'_>> {
        let (service, entry) = self.entries.get_key_value(service)?;
        Some(entry.view(service))
    }

    /// Returns the roll-outs that have not ended.
    pub fn running(&self) -> impl Iterator<Item = Rollout<'_>> {
        let all = self
            .entries
            .iter()
            .map(|(service, entry)| entry.view(service));
        all.filter(|rollout| !rollout.stage.is_over())
    }

    /// Returns the roll-out of a service, and the side of a backend server of `release`.
    ///
    /// A backend server that does not report its release counts as an old one.
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
        Some((entry.view(service), side))
    }

    /// Returns the statuses to gossip in this round.
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

    /// Returns the status of every known roll-out.
    #[must_use]
    pub fn all(&self, now: Instant) -> Vec<RolloutStatus> {
        let all = self.entries.iter();
        all.map(|(service, entry)| entry.status(service, now))
            .collect()
    }

    /// Returns a digest of the state, which is equal at two nodes with the same state.
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

    /// Returns a message for comparing the digest with that of another node.
    #[must_use]
    pub fn digest_message(&self) -> RolloutStatuses {
        RolloutStatuses {
            digest: self.digest(),
            ..RolloutStatuses::default()
        }
    }

    /// Returns a request for all statuses that the receiver knows.
    #[must_use]
    pub fn request_all(&self) -> RolloutStatuses {
        RolloutStatuses {
            asks: true,
            ..self.digest_message()
        }
    }

    /// Returns a request for all statuses if `statuses` only compares digests and its digest
    /// differs from the local one.
    #[must_use]
    pub fn sync_request(&self, statuses: &RolloutStatuses) -> Option<RolloutStatuses> {
        let compares = statuses.list.is_empty() && !statuses.asks;
        (compares && self.digest() != statuses.digest).then(|| self.request_all())
    }

    fn merge_one(&mut self, now: Instant, status: &RolloutStatus) -> bool {
        let deadline = now + Duration::from_millis(status.left_ms.into());
        let full = self.entries.len() >= MAX_SERVICES;
        match self.entries.get_mut(&status.service) {
            Some(entry) if entry.order == status.order => {
                let barred = entry.merge_barred(&status.barred);
                let advanced = entry.stage < status.stage;
                entry.stage = entry.stage.max(status.stage);
                let changed = barred || advanced;
                if changed {
                    entry.rounds = GOSSIP_ROUNDS;
                }
                changed
            }
            Some(entry) if entry.order > status.order => false,
            None if full => false,
            previous @ (Some(_) | None) => {
                let previous = previous.as_deref();
                let mut entry = RolloutEntry {
                    order: status.order,
                    target: status.target.clone(),
                    stage: status.stage,
                    duration: Duration::from_millis(status.duration_ms.into()),
                    deadline,
                    barred: previous
                        .map_or_else(Vec::new, |entry| entry.barred_for(&status.target)),
                    in_use: previous.and_then(RolloutEntry::release_in_use),
                    rounds: GOSSIP_ROUNDS,
                };
                entry.merge_barred(&status.barred);
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

    /// Returns the releases to bar under a later order for `target`: those barred so far, and the
    /// release of this order unless it is in use.
    fn barred_for(&self, target: &Release) -> Vec<Release> {
        let unfinished = Some(&self.target).filter(|_| self.stage != RolloutStage::Completed);
        let barred = unfinished.into_iter().chain(&self.barred);
        let barred = barred.filter(|release| *release != target);
        let mut barred: Vec<Release> = barred.take(MAX_BARRED_RELEASES).cloned().collect();
        barred.sort();
        barred
    }

    /// Returns the release that is in use, if this node knows it.
    fn release_in_use(&self) -> Option<Release> {
        match self.stage {
            RolloutStage::Completed => Some(self.target.clone()),
            _ => self.in_use.clone(),
        }
    }

    /// Merges the releases that another node bars. Returns `true` if any of them was added.
    ///
    /// A node that did not learn that a release came into use still bars that release. A release
    /// that this node knows to be in use is therefore skipped.
    fn merge_barred(&mut self, releases: &[Release]) -> bool {
        let mut changed = false;
        for release in releases {
            let in_use = *release == self.target || Some(release) == self.in_use.as_ref();
            let skipped = in_use || self.barred.contains(release);
            if !skipped && self.barred.len() < MAX_BARRED_RELEASES {
                self.barred.push(release.clone());
                changed = true;
            }
        }
        self.barred.sort();
        changed
    }

    const fn view<'a>(&'a self, service: &'a ServiceName) -> Rollout<'a> {
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

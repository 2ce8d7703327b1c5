//! Which roll-outs a node knows of, and how far they are.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{OrderId, Release, RolloutOrder, RolloutStage, RolloutWord, RolloutWords, Side};
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
struct Known {
    order: OrderId,
    target: Release,
    stage: RolloutStage,
    duration: Duration,
    due: Instant,
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
    pub due: Instant,
}

impl Rollout<'_> {
    /// Returns the time left until the deadline.
    #[must_use]
    pub const fn left(&self, now: Instant) -> Duration {
        self.due.since(now)
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
    known: BTreeMap<ServiceName, Known>,
}

impl Rollouts {
    /// Tells whether no roll-out is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Takes an order; returns whether it is a new one.
    pub fn order(&mut self, now: Instant, order: &RolloutOrder) -> bool {
        let before = self.known.get(&order.service);
        let full = before.is_none() && self.known.len() >= SERVICES_MOST;
        if full || before.is_some_and(|known| known.order >= order.id) {
            return false;
        }
        let known = Known {
            order: order.id,
            target: order.target.clone(),
            // What is in use already needs no trial, and nothing else may be there to serve.
            stage: match before {
                Some(known) if known.is_in_use(&order.target) => RolloutStage::Completed,
                _ => RolloutStage::Ordered,
            },
            duration: order.duration,
            due: now + order.duration,
            barred: before.map_or_else(Vec::new, |known| known.barred_for(&order.target)),
            in_use: before.and_then(Known::release_in_use),
            rounds: ROUNDS,
        };
        self.known.insert(order.service.clone(), known);
        true
    }

    /// Takes what another node knows; returns whether any of it is news.
    pub fn hear(&mut self, now: Instant, words: &[RolloutWord]) -> bool {
        let mut news = false;
        for word in words {
            news |= self.hear_one(now, word);
        }
        news
    }

    /// Moves on to `stage`; returns whether that was a step forward.
    pub fn advance(&mut self, service: &ServiceName, order: OrderId, stage: RolloutStage) -> bool {
        match self.known.get_mut(service) {
            Some(known) if known.order == order && known.stage < stage => {
                known.stage = stage;
                known.rounds = ROUNDS;
                true
            }
            _ => false,
        }
    }

    /// Sets the deadline of an order as the platform remembers it.
    pub fn set_due(&mut self, service: &ServiceName, order: OrderId, due: Instant) {
        if let Some(known) = self.known.get_mut(service).filter(|k| k.order == order) {
            known.due = due;
        }
    }

    /// Returns the roll-out of a service.
    #[must_use]
    pub fn get(&self, service: &ServiceName) -> Option<Rollout<'_>> {
        let (service, known) = self.known.get_key_value(service)?;
        Some(known.shown(service))
    }

    /// Returns the roll-outs that have not ended.
    pub fn running(&self) -> impl Iterator<Item = Rollout<'_>> {
        let all = self
            .known
            .iter()
            .map(|(service, known)| known.shown(service));
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
        let (service, known) = self.known.get_key_value(service)?;
        let side = match release {
            Some(release) if *release == known.target => Side::New,
            Some(release) if known.barred.contains(release) => Side::Barred,
            Some(_) | None => Side::Old,
        };
        Some((known.shown(service), side))
    }

    /// Returns what is to be passed on in this round.
    pub fn round(&mut self, now: Instant) -> Vec<RolloutWord> {
        let due = self.known.iter_mut().filter(|(_, known)| known.rounds > 0);
        due.map(|(service, known)| {
            known.rounds -= 1;
            known.word(service, now)
        })
        .collect()
    }

    /// Returns everything that is known.
    #[must_use]
    pub fn all(&self, now: Instant) -> Vec<RolloutWord> {
        let all = self.known.iter();
        all.map(|(service, known)| known.word(service, now))
            .collect()
    }

    /// Stands for everything that is known: equal where two nodes know the same.
    #[must_use]
    pub fn digest(&self) -> u64 {
        let parts = self.known.iter().map(|(service, known)| {
            let mut hasher = blake3::Hasher::new();
            hasher.update(service.as_str().as_bytes());
            hasher.update(&known.order.0.to_be_bytes());
            hasher.update(&[known.stage.number()]);
            for release in &known.barred {
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
    pub fn word(&self) -> RolloutWords {
        RolloutWords {
            digest: self.digest(),
            ..RolloutWords::default()
        }
    }

    /// Returns the question for everything that the receiver knows.
    #[must_use]
    pub fn ask(&self) -> RolloutWords {
        RolloutWords {
            asks: true,
            ..self.word()
        }
    }

    /// Returns that question where `words` show that the sender knows something else.
    #[must_use]
    pub fn question(&self, words: &RolloutWords) -> Option<RolloutWords> {
        let compares = words.list.is_empty() && !words.asks;
        (compares && self.digest() != words.digest).then(|| self.ask())
    }

    fn hear_one(&mut self, now: Instant, word: &RolloutWord) -> bool {
        let due = now + Duration::from_millis(word.left_ms.into());
        let full = self.known.len() >= SERVICES_MOST;
        match self.known.get_mut(&word.service) {
            Some(known) if known.order == word.order => {
                let barred = known.bar(&word.barred);
                let further = known.stage < word.stage;
                known.stage = known.stage.max(word.stage);
                let news = barred || further;
                if news {
                    known.rounds = ROUNDS;
                }
                news
            }
            Some(known) if known.order > word.order => false,
            None if full => false,
            before @ (Some(_) | None) => {
                let before = before.as_deref();
                let mut known = Known {
                    order: word.order,
                    target: word.target.clone(),
                    stage: word.stage,
                    duration: Duration::from_millis(word.duration_ms.into()),
                    due,
                    barred: before.map_or_else(Vec::new, |known| known.barred_for(&word.target)),
                    in_use: before.and_then(Known::release_in_use),
                    rounds: ROUNDS,
                };
                known.bar(&word.barred);
                self.known.insert(word.service.clone(), known);
                true
            }
        }
    }
}

impl Known {
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
            let known = stays || self.barred.contains(release);
            if !known && self.barred.len() < BARRED_MOST {
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
            due: self.due,
        }
    }

    fn word(&self, service: &ServiceName, now: Instant) -> RolloutWord {
        RolloutWord {
            service: service.clone(),
            order: self.order,
            target: self.target.clone(),
            stage: self.stage,
            duration_ms: millis(self.duration),
            left_ms: millis(self.due.since(now)),
            barred: self.barred.clone(),
        }
    }
}

fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

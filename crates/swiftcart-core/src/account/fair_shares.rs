//! Fair shares of client accounts in a service that has less room than its callers ask for.

use std::collections::HashMap;
use std::time::Duration;

use rand::Rng;

use super::{AccountTag, ShareStanding};
use crate::Instant;
use crate::decay::decay_factor;

/// Time constant over which requests are counted.
const COUNTING_TIME: Duration = Duration::from_secs(10);

/// Time for which shares apply after a refusal for want of room.
const CONTENTION_TIME: Duration = Duration::from_secs(3);

/// Interval at which the share of an account of weight one is computed again.
const LEVEL_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum number of accounts that are counted apart, so that the memory stays bounded.
const MAX_ACCOUNTS: usize = 1024;

/// Minimum number of counted requests from which shares are computed.
const MIN_REQUESTS: f64 = 10.0;

/// Part of the room that is divided into shares. The rest leaves room for a few more requests within
/// a share than usual.
const SHARED_PART: f64 = 0.9;

/// Decayed count below which an account is forgotten.
const MIN_ASKED: f64 = 0.05;

/// Part of an account's requests within its share below which the account counts as beyond it.
const BEYOND_PART: f64 = 0.8;

/// Shares of client accounts in the room that the callers of one node get, by weighted max-min
/// fairness.
///
/// An account that asks for less than its share gets all that it asks for. The rest is divided among
/// the others by weight. The room is estimated as the requests served lately, so that nodes exchange
/// no messages. For an account that asks for more than its share, each request counts as beyond the
/// share with the matching probability. Such a request is not refused for it, but placed behind the
/// requests within a share.
///
/// One value covers the requests of one service and one priority, since shares hold among requests
/// of the same priority only.
///
/// # Examples
///
/// ```
/// use rand::{SeedableRng, rngs::SmallRng};
/// use swiftcart_core::{AccountTag, FairShares, Instant, ShareStanding};
///
/// let mut rng = SmallRng::seed_from_u64(1);
/// let mut shares = FairShares::new();
/// let now = Instant::from_millis(0);
/// let decision = shares.ask(now, AccountTag(7), 1.0, true, &mut rng);
/// assert_eq!(decision.standing, ShareStanding::Within);
/// ```
#[derive(Debug, Default, Clone)]
pub struct FairShares {
    accounts: HashMap<AccountTag, Demand>,
    served: DecayedCount,
    /// Share of an account of weight one, as the number of its requests in the counting time, or
    /// `None` without a limit.
    level: Option<f64>,
    /// Time at which the level was computed.
    computed: Option<Instant>,
    /// Time of the last refusal for want of room.
    refused: Option<Instant>,
}

/// Decision about one request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ShareDecision {
    /// Standing of the request.
    pub standing: ShareStanding,
    /// Standing of the account, if it has just changed.
    pub turned: Option<ShareStanding>,
    /// Part of the account's requests that lies within its share.
    pub part: f64,
}

/// Requests of an account.
#[derive(Debug, Default, Clone, Copy)]
struct Demand {
    weight: f64,
    asked: DecayedCount,
    standing: ShareStanding,
}

/// Count of requests over the counting time, decayed until `updated`.
#[derive(Debug, Default, Clone, Copy)]
struct DecayedCount {
    count: f64,
    updated: Instant,
}

impl DecayedCount {
    /// Returns the count decayed to the present.
    fn at(self, now: Instant) -> f64 {
        self.count * decay_factor(now.since(self.updated), COUNTING_TIME)
    }

    fn add(&mut self, now: Instant, requests: f64) {
        self.count = self.at(now) + requests;
        self.updated = self.updated.max(now);
    }
}

impl FairShares {
    /// Creates shares without any counts.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts a request, and returns its standing.
    ///
    /// `is_first` is `false` for a caller that returns after a refusal. Such a request was counted
    /// before, and is not counted again: an account whose callers return at once would otherwise seem
    /// to ask for more.
    pub fn ask<R: Rng + ?Sized>(
        &mut self,
        now: Instant,
        account: AccountTag,
        weight: f64,
        is_first: bool,
        rng: &mut R,
    ) -> ShareDecision {
        self.refresh_level(now);
        let share = self.share(now);
        let is_full = self.accounts.len() >= MAX_ACCOUNTS;
        let demand = match self.accounts.get_mut(&account) {
            Some(demand) => demand,
            None if is_full => return ShareDecision::within(),
            None => self.accounts.entry(account).or_default(),
        };
        demand.weight = weight;
        demand.asked.add(now, if is_first { 1.0 } else { 0.0 });
        let part = share.map_or(1.0, |share| demand.part_within(now, share));
        ShareDecision {
            standing: match rng.random::<f64>() < part {
                true => ShareStanding::Within,
                false => ShareStanding::Beyond,
            },
            turned: demand.turn(part),
            part,
        }
    }

    /// Counts a request that was served.
    pub fn served(&mut self, now: Instant) {
        self.served.add(now, 1.0);
    }

    /// Records a refusal for want of room.
    pub const fn refused(&mut self, now: Instant) {
        self.refused = Some(now);
    }

    /// Returns the share of an account of weight one while the service lacks room.
    fn share(&self, now: Instant) -> Option<f64> {
        let is_recent = |at| now.since(at) < CONTENTION_TIME;
        let is_contended = self.refused.is_some_and(is_recent);
        self.level.filter(|_| is_contended)
    }

    /// Computes the share of an account of weight one again after [`LEVEL_INTERVAL`].
    fn refresh_level(&mut self, now: Instant) {
        let is_recent = |at| now.since(at) < LEVEL_INTERVAL;
        if self.computed.is_some_and(is_recent) {
            return;
        }
        self.accounts
            .retain(|_, demand| demand.asked.at(now) > MIN_ASKED);
        self.level = self.fill(now);
        self.computed = Some(now);
    }

    /// Returns the level at which the accounts use up what was served, or `None` if they asked for
    /// no more, or for too little to tell.
    fn fill(&self, now: Instant) -> Option<f64> {
        let demands = self.accounts.values();
        let mut demands: Vec<(f64, f64)> = demands
            .map(|demand| (demand.asked.at(now), demand.weight))
            .collect();
        if demands.iter().map(|(asked, _)| asked).sum::<f64>() < MIN_REQUESTS {
            return None;
        }
        // The level at which an account's share equals what the account asks for.
        let level = |(asked, weight): &(f64, f64)| asked / weight;
        demands.sort_by(|a, b| level(a).total_cmp(&level(b)));
        let mut room = SHARED_PART * self.served.at(now);
        let mut weights: f64 = demands.iter().map(|(_, weight)| weight).sum();
        for demand in &demands {
            if level(demand) * weights > room {
                return Some(room / weights);
            }
            room -= demand.0;
            weights -= demand.1;
        }
        None
    }
}

impl ShareDecision {
    /// Creates the decision about a request of an account without a limiting share.
    const fn within() -> Self {
        Self {
            standing: ShareStanding::Within,
            turned: None,
            part: 1.0,
        }
    }
}

impl Demand {
    /// Returns the part of the requests that lies within the share at `level`.
    ///
    /// Counts of a few requests vary by chance. An account may exceed its share by one standard
    /// deviation, so that small accounts are not placed behind others for one request too many.
    fn part_within(&self, now: Instant, level: f64) -> f64 {
        let share = self.weight * level;
        let asked = self.asked.at(now).max(f64::MIN_POSITIVE);
        ((share + share.sqrt()) / asked).min(1.0)
    }

    /// Updates the account's standing, and returns it if it has changed.
    fn turn(&mut self, part: f64) -> Option<ShareStanding> {
        let standing = match part {
            part if part < BEYOND_PART => ShareStanding::Beyond,
            part if part >= 1.0 => ShareStanding::Within,
            _ => self.standing,
        };
        let has_turned = standing != self.standing;
        self.standing = standing;
        has_turned.then_some(standing)
    }
}

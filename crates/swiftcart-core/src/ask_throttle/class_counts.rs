//! Decayed counts of the requests of one class and of the guards' answers.

use std::time::Duration;

use rand::Rng;

use super::refusing_guards::RefusingGuards;
use super::{AskClass, AskCounts, Proximity};
use crate::decay::decay_factor;
use crate::rate::RetryScheduler;
use crate::{Instant, NodeId};

/// Number of asks by which the counts have to exceed a limit, since single asks depend on chance.
const ASK_ALLOWANCE: f64 = 1.0;

/// Share of accepted requests from which a search is worth its asks.
///
/// Where most requests find a place, several guards may still refuse before one accepts, because
/// slots are taken unevenly.
const MOSTLY_ACCEPTED: f64 = 0.8;

/// Minimum number of asks by which the guards at one proximity are judged.
const MIN_ASKS: f64 = 4.0;

/// Counts of one class, decayed to the time of the last update.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct ClassCounts {
    pub(super) class: AskClass,
    /// Requests that wanted a place.
    pub(super) wanted: f64,
    near: Asks,
    far: Asks,
    refusing: RefusingGuards,
    retry_scheduler: RetryScheduler,
    updated: Instant,
}

/// Asks at the guards of the own failure domain, or of the other ones.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
struct Asks {
    asked: f64,
    accepted: f64,
}

impl ClassCounts {
    pub(super) fn new(now: Instant, class: AskClass) -> Self {
        Self {
            class,
            wanted: 0.0,
            near: Asks::default(),
            far: Asks::default(),
            refusing: RefusingGuards::default(),
            retry_scheduler: RetryScheduler::new(now),
            updated: now,
        }
    }

    /// Decays the counts to the present, with the time constant `decay_time`.
    pub(super) fn decay(&mut self, now: Instant, decay_time: Duration) {
        let elapsed = now.since(self.updated);
        if elapsed.is_zero() {
            return;
        }
        let factor = decay_factor(elapsed, decay_time);
        self.updated = now;
        self.wanted *= factor;
        self.near.decay(factor);
        self.far.decay(factor);
        self.refusing.expire(now, decay_time);
    }

    /// Counts an ask, which counts as accepted until it fails.
    pub(super) fn record_ask(&mut self, proximity: Proximity) {
        let asks = self.asks_mut(proximity);
        asks.asked += 1.0;
        asks.accepted += 1.0;
    }

    /// Records that `guard` refused an ask for want of room.
    pub(super) fn record_refusal(&mut self, now: Instant, guard: NodeId, proximity: Proximity) {
        let asks = self.asks_mut(proximity);
        asks.accepted = (asks.accepted - 1.0).max(0.0);
        self.refusing.record(now, guard);
    }

    /// Removes an ask on which no guard has decided.
    pub(super) fn withdraw(&mut self, proximity: Proximity) {
        let asks = self.asks_mut(proximity);
        asks.asked = (asks.asked - 1.0).max(0.0);
        asks.accepted = (asks.accepted - 1.0).max(0.0);
    }

    /// Returns the share of new requests to refuse, so that about `asks_per_accept` requests are
    /// passed on for each accepted one.
    pub(super) fn refused_share(&self, asks_per_accept: f64) -> f64 {
        match self.refusing.are_enough() {
            true => (self.wanted - asks_per_accept * self.accepted()) / (self.wanted + 1.0),
            false => 0.0,
        }
    }

    /// Returns `true` if guards at this proximity may be asked again.
    ///
    /// They may if enough of their asks are accepted, if most requests find a place in the end, or
    /// if too little is known.
    pub(super) fn is_open(&self, proximity: Proximity, asks_per_accept: f64) -> bool {
        let asks = match proximity {
            Proximity::Near => self.near,
            Proximity::Far => self.far,
        };
        !self.refusing.are_enough()
            || asks.asked < MIN_ASKS
            || asks.asked < asks_per_accept * asks.accepted + ASK_ALLOWANCE
            || self.accepted() + ASK_ALLOWANCE >= MOSTLY_ACCEPTED * self.wanted
    }

    /// Returns the retry delay of the next refused caller.
    ///
    /// One accepted request is assumed on top of the count, because few recent ones tell little
    /// about the rate.
    pub(super) fn retry_delay<R: Rng + ?Sized>(
        &mut self,
        now: Instant,
        decay_time: Duration,
        rng: &mut R,
    ) -> Duration {
        let rate = (self.accepted() + 1.0) / decay_time.as_secs_f64();
        self.retry_scheduler.next(now, Duration::ZERO, rate, rng)
    }

    pub(super) fn summary(&self, now: Instant) -> AskCounts {
        AskCounts {
            wanted: self.wanted,
            asked: self.near.asked + self.far.asked,
            accepted: self.accepted(),
            refusal_age: self.refusing.latest().map(|at| now.since(at)),
        }
    }

    fn accepted(&self) -> f64 {
        self.near.accepted + self.far.accepted
    }

    const fn asks_mut(&mut self, proximity: Proximity) -> &mut Asks {
        match proximity {
            Proximity::Near => &mut self.near,
            Proximity::Far => &mut self.far,
        }
    }
}

impl Asks {
    fn decay(&mut self, factor: f64) {
        self.asked *= factor;
        self.accepted *= factor;
    }
}

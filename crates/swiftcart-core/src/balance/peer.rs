//! What a node has seen of one backend server.

use std::time::Duration;

use super::{BalanceSettings, CallResult, Pace, Sample};
use crate::{DomainTag, Instant};

/// The lowest share of its picks that a newly seen backend server gets.
const SLOW_FLOOR: f64 = 0.1;

/// The weight of one result in the failure rate.
const FAILURE_WEIGHT: f64 = 0.1;

/// How much a failure rate of 1 raises the score.
const FAILURE_COST: f64 = 10.0;

/// How late the usage begins to count against a backend server whose pace is known: at
/// half of its slots it adds a sixteenth, at nine tenths two thirds.
const USAGE_POWER: i32 = 4;

/// The usage that a refusal stands for: its guard has no place and no queue left.
const REFUSED_USAGE: f64 = 1.5;

/// How long a link that had no room for a long answer is left aside for others like it: about
/// four answers of 90 kB over 15 Mbit/s, after which a place is likely again.
const LINK_MEMORY: Duration = Duration::from_millis(200);

/// How long a guard that takes a bounded rate is left alone at most. Longer, and a rate that has risen
/// would be found late.
const LONGEST_HELD: Duration = Duration::from_secs(2);

/// The failures that a failed connection stands for: two in a row eject by default. It says
/// more than a missing answer, and a trial costs no more than the time to connect.
const UNREACHABLE: u32 = 3;

/// The doublings of the ejection time that are counted.
const MOST_DOUBLINGS: u32 = 16;

/// Holds what a node has seen of one backend server.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct Peer {
    pub(super) service: usize,
    /// Its failure domain, unless it is the node's own.
    pub(super) domain: Option<DomainTag>,
    pub(super) running: u32,
    /// Whether it has left the view while calls to it are still running.
    pub(super) departed: bool,
    /// When it was first seen; `None` for those that were there from the start.
    since: Option<Instant>,
    latency: Option<f64>,
    heard: Instant,
    usage: f64,
    loaded: Instant,
    /// The last pace heard of.
    pace: Option<Pace>,
    /// The last one that was told to all nodes.
    told: Option<Pace>,
    /// When it last had no room for a long answer.
    link_busy: Option<Instant>,
    /// Until when it takes nothing of this node, since a rate bounds what it takes.
    held: Option<Instant>,
    failing: f64,
    judged: Instant,
    streak: u32,
    ejections: u32,
    until: Option<Instant>,
}

impl Peer {
    pub(super) const fn new(now: Instant, service: usize, since: Option<Instant>) -> Self {
        Self {
            service,
            domain: None,
            running: 0,
            departed: false,
            since,
            latency: None,
            heard: now,
            usage: 0.0,
            loaded: now,
            pace: None,
            told: None,
            link_busy: None,
            held: None,
            failing: 0.0,
            judged: now,
            streak: 0,
            ejections: 0,
            until: None,
        }
    }

    /// Takes in one finished call; returns whether its failures call for an ejection.
    pub(super) fn finish(&mut self, now: Instant, sample: &Sample, s: &BalanceSettings) -> bool {
        self.running = self.running.saturating_sub(1);
        if let Some(load) = sample.load {
            self.usage = load.usage();
            self.loaded = now;
        }
        self.pace = sample.pace.or(self.pace);
        match sample.result {
            CallResult::Success => {
                self.learn(now, sample.latency, s.memory);
                self.judge(now, 0.0, s.memory);
                self.recover(now, s.longest);
                false
            }
            CallResult::Failure => {
                self.judge(now, 1.0, s.memory);
                self.streak = self.streak.saturating_add(1);
                self.streak >= s.failures && !self.ejected(now)
            }
            CallResult::Unreachable => {
                self.judge(now, 1.0, s.memory);
                self.streak = self.streak.saturating_add(UNREACHABLE);
                self.streak >= s.failures && !self.ejected(now)
            }
            CallResult::Refused => {
                self.usage = self.usage(now, s.load_decay).max(REFUSED_USAGE);
                self.loaded = now;
                self.held = sample.again.map(|again| now + again.min(LONGEST_HELD));
                false
            }
            // It counts in the choice, where others fare better, and ejects nobody: what all
            // of them call may be at fault.
            CallResult::ErrorResponse => {
                self.judge(now, 1.0, s.memory);
                false
            }
            CallResult::LinkBusy => {
                self.link_busy = Some(now);
                false
            }
            CallResult::Cancelled => false,
        }
    }

    /// Takes the pace that its node has told all others, unless it is known already.
    ///
    /// A node withdraws it when another process has taken its backend server's place: what was
    /// learnt is void then, ejections too. Calls that still run are counted on.
    pub(super) fn hear(&mut self, now: Instant, told: Option<Pace>) {
        match (self.told, told) {
            (old, new) if old == new => return,
            (Some(_), None) => {
                *self = Self {
                    domain: self.domain,
                    running: self.running,
                    since: self.since,
                    ..Self::new(now, self.service, None)
                }
            }
            (_, Some(pace)) => self.pace = Some(pace),
            (None, None) => {}
        }
        self.told = told;
    }

    /// Takes it out of the choice, for twice as long as the last time.
    pub(super) fn eject(&mut self, now: Instant, s: &BalanceSettings) {
        let factor = 1 << self.ejections.min(MOST_DOUBLINGS);
        let time = s.ejection.saturating_mul(factor).min(s.longest);
        self.ejections = self.ejections.saturating_add(1);
        self.until = Some(now + time);
    }

    /// Takes it out of the choice for the time of a first ejection, since a connection that
    /// heals should be found soon.
    pub(super) fn avoid(&mut self, now: Instant, s: &BalanceSettings) {
        self.until = Some(now + s.ejection);
    }

    /// Leaves it in the choice, since too many are out already; its failures count anew.
    pub(super) const fn spare(&mut self) {
        self.streak = 0;
    }

    pub(super) fn ejected(&self, now: Instant) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    /// Tells whether it may be picked: after an ejection, one call at a time until one succeeds.
    pub(super) fn usable(&self, now: Instant, failures: u32) -> bool {
        let trial = self.until.is_some() && self.streak >= failures;
        !self.ejected(now) && (!trial || self.running == 0)
    }

    /// Returns the share of its picks that it gets, rising over the slow start.
    pub(super) fn warmth(&self, now: Instant, slow_start: Duration) -> f64 {
        match self.since {
            Some(since) if now.since(since) < slow_start => {
                let share = now.since(since).as_secs_f64() / slow_start.as_secs_f64();
                share.max(SLOW_FLOOR)
            }
            _ => 1.0,
        }
    }

    /// Returns the last usage heard of, decayed by its age.
    pub(super) fn usage(&self, now: Instant, age: Duration) -> f64 {
        self.usage * decay(now.since(self.loaded), age)
    }

    /// Tells whether it had no room for a long answer of late.
    pub(super) fn is_link_busy(&self, now: Instant) -> bool {
        self.link_busy
            .is_some_and(|then| now.since(then) < LINK_MEMORY)
    }

    /// Tells whether it has said that it takes nothing of this node yet.
    pub(super) fn is_held(&self, now: Instant) -> bool {
        self.held.is_some_and(|until| now < until)
    }

    /// Returns the latency, decayed so that a slow one is looked at again.
    pub(super) fn latency(&self, now: Instant, s: &BalanceSettings) -> Option<f64> {
        let fresh = decay(now.since(self.heard), s.memory);
        self.latency.map(|latency| latency * fresh)
    }

    /// Returns the cost of one more call that takes `latency`.
    pub(super) fn score(&self, now: Instant, latency: f64, s: &BalanceSettings) -> f64 {
        let waiting = f64::from(self.running) + 1.0;
        let usage = 1.0 + s.load_weight * self.usage(now, s.load_decay);
        let failing = 1.0 + FAILURE_COST * self.failing(now, s.memory);
        waiting * latency * usage * failing
    }

    /// Returns the time to expect for one more call in targets; `mean_pace` stands in for a pace
    /// that was not told yet.
    ///
    /// Calls run side by side until the slots are taken, so the load counts little before.
    pub(super) fn expected(
        &self,
        now: Instant,
        slots: u32,
        mean_pace: f64,
        s: &BalanceSettings,
    ) -> f64 {
        let pace = self.pace.map_or(mean_pace, Pace::quotient);
        let own = f64::from(self.running) / f64::from(slots.max(1));
        let usage = self.usage(now, s.load_decay).max(own);
        let failing = 1.0 + FAILURE_COST * self.failing(now, s.memory);
        pace * (1.0 + usage.powi(USAGE_POWER)) * failing
    }

    /// Returns the share of failed calls, decayed so that a failing one is tried again.
    fn failing(&self, now: Instant, memory: Duration) -> f64 {
        self.failing * decay(now.since(self.judged), memory)
    }

    fn judge(&mut self, now: Instant, failed: f64, memory: Duration) {
        let old = self.failing(now, memory);
        self.failing = old + FAILURE_WEIGHT * (failed - old);
        self.judged = now;
    }

    fn learn(&mut self, now: Instant, latency: Duration, memory: Duration) {
        let new = latency.as_secs_f64();
        let old = self.latency.unwrap_or(new);
        let keep = decay(now.since(self.heard), memory).min(1.0 - FAILURE_WEIGHT);
        self.latency = Some(old * keep + new * (1.0 - keep));
        self.heard = now;
    }

    fn recover(&mut self, now: Instant, longest: Duration) {
        self.streak = 0;
        if self.until.is_some_and(|until| now.since(until) >= longest) {
            self.until = None;
            self.ejections = 0;
        }
    }
}

/// Returns what is left of 1 after `age`, when `constant` leaves 1/e.
fn decay(age: Duration, constant: Duration) -> f64 {
    let constant = constant.as_secs_f64().max(f64::MIN_POSITIVE);
    (-age.as_secs_f64() / constant).exp()
}

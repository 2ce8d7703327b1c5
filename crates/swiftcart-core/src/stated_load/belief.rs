//! Belief of a guard in the load that its backend server states.

use std::time::Duration;

use super::slowdown::{believed_excess, work_secs};
use super::{Level, StatedLoad, Trust};
use crate::Instant;

/// Maximum slowdown that is believed. An even slower host serves nobody in time. With this bound, a
/// backend server that states an absurd figure keeps a share of its requests.
const MAX_FACTOR: f64 = 4.0;

/// Stated excess of the service time from which the time of a call confirms or refutes the
/// statement. A smaller excess cannot be told from the usual differences between calls.
const MIN_EVIDENCE_EXCESS: f64 = 0.25;

/// Excess of the service time that confirms that the slots were in use by others: the request had
/// to wait for one at the backend server.
const FULL_EXCESS: f64 = 0.5;

/// Time for which others are believed to use slots. It is about the time that a call takes.
const OTHERS_PERIOD: Duration = Duration::from_millis(300);

/// Weight of one call in the moving average of the usual service time.
const CALL_WEIGHT: f64 = 1.0 / 32.0;

/// Belief of a guard in the load that its backend server states.
///
/// Backend servers share their hosts, so their speed changes within moments. A moving average of
/// finished calls shows a slow moment only after it has passed, while a statement is about the
/// present. A statement counts relative to what the backend server usually states, so a figure that
/// is repeated without end loses its effect. It counts less with its age. The time that calls take
/// confirms or refutes the statements.
///
/// Statements without a pace are ignored.
///
/// # Examples
///
/// ```
/// use swiftcart_core::{Instant, LoadBelief};
///
/// let at = Instant::from_millis;
/// let mut belief = LoadBelief::default();
/// belief.observe(at(0), "5,0,9,100".parse()?, 5);
/// belief.observe(at(50), "5,0,9,250".parse()?, 5);
/// assert_eq!(belief.slowdown(at(50)), 2.5);
/// assert!(belief.slowdown(at(350)) < 1.6);
/// assert_eq!(belief.slowdown(at(1_050)), 1.0);
/// # Ok::<(), swiftcart_core::StatedLoadError>(())
/// ```
#[derive(Debug, Default, Clone, PartialEq)]
pub struct LoadBelief {
    /// Last statement with a pace.
    last: Option<StatedLoad>,
    /// Time of the last statement.
    at: Instant,
    /// Stated excess of the service time over the usual one, as a multiple of the usual one.
    excess: f64,
    /// Work that the server has done up to the last statement, in seconds of usual service time.
    work_secs: f64,
    /// Slots that others use beyond the usual number, according to the last statement.
    others: u32,
    usual_pace: Level,
    usual_others: Level,
    /// Moving average of the service time outside of slow moments, in seconds.
    usual_secs: Option<f64>,
    pace_trust: Trust,
    others_trust: Trust,
}

/// Start of a run, by which the slowdown during the run is found at its end.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
pub struct RunStart {
    at: Instant,
    work_secs: f64,
    /// `true` if the backend server stated that others use all slots.
    is_full: bool,
}

impl LoadBelief {
    /// Applies a statement of the backend server, which runs `own` requests of this guard.
    pub fn observe(&mut self, now: Instant, stated: StatedLoad, own: u32) {
        let Some(pace) = stated.slowdown() else {
            return;
        };
        self.work_secs = self.work_secs(now);
        let elapsed = now.since(self.at);
        let usual_pace = self.usual_pace.update(elapsed, pace);
        self.excess = (pace / usual_pace).clamp(1.0, MAX_FACTOR) - 1.0;
        let others = stated.running.saturating_sub(own).min(stated.slots);
        let others = f64::from(others);
        let usual_others = self.usual_others.update(elapsed, others);
        self.others = (others - usual_others).round() as u32;
        self.at = now;
        self.last = Some(stated);
    }

    /// Returns the last statement with a pace.
    #[must_use]
    pub const fn last(&self) -> Option<StatedLoad> {
        self.last
    }

    /// Returns the believed service time as a multiple of the usual one, at least 1.
    #[must_use]
    pub fn slowdown(&self, now: Instant) -> f64 {
        1.0 + self.pace_trust.share() * believed_excess(self.excess, now.since(self.at))
    }

    /// Returns the number of slots that are believed to be used by others.
    #[must_use]
    pub fn others(&self, now: Instant) -> u32 {
        match now < self.others_until() {
            true => (f64::from(self.others) * self.others_trust.share()).round() as u32,
            false => 0,
        }
    }

    /// Returns the time from which no slots are believed to be used by others.
    #[must_use]
    pub fn others_until(&self) -> Instant {
        self.at + OTHERS_PERIOD
    }

    /// Returns the start of a run that begins now.
    #[must_use]
    pub fn begin(&self, now: Instant) -> RunStart {
        let slots = self.last.map_or(u32::MAX, |stated| stated.slots.max(1));
        RunStart {
            at: now,
            work_secs: self.work_secs(now),
            is_full: self.others >= slots && now < self.others_until(),
        }
    }

    /// Records a successful run that took `time`, and returns the time that it usually takes.
    pub fn finish(&mut self, start: &RunStart, now: Instant, time: Duration) -> Duration {
        if self.last.is_none() {
            return time;
        }
        let excess = self.excess_during(start, now);
        self.record(start.is_full, excess, time.as_secs_f64());
        time.div_f64(1.0 + self.pace_trust.share() * excess)
    }

    /// Compares the time of a run with the statements that were in force.
    fn record(&mut self, is_full: bool, excess: f64, secs: f64) {
        let usual_secs = self.usual_secs.get_or_insert(secs);
        let seen = secs / usual_secs.max(f64::MIN_POSITIVE) - 1.0;
        match excess {
            _ if is_full => self.others_trust.record(FULL_EXCESS, seen),
            excess if excess >= MIN_EVIDENCE_EXCESS => self.pace_trust.record(excess, seen),
            _ => *usual_secs += CALL_WEIGHT * (secs - *usual_secs),
        }
    }

    /// Returns the mean stated excess during a run.
    fn excess_during(&self, start: &RunStart, now: Instant) -> f64 {
        let work = self.work_secs(now) - start.work_secs;
        match now.since(start.at).as_secs_f64() {
            elapsed if elapsed > 0.0 && work > 0.0 => (elapsed / work - 1.0).max(0.0),
            _ => believed_excess(self.excess, now.since(self.at)),
        }
    }

    /// Returns the work that the server has done up to `now`, in seconds of usual service time.
    fn work_secs(&self, now: Instant) -> f64 {
        self.work_secs + work_secs(self.excess, now.since(self.at))
    }
}

//! Usage of one failure domain by one service.

use std::time::Duration;

use crate::decay::decay_factor;
use crate::{Instant, NodeId};

/// Time constant of the mean usage: a report of this age counts 1/e.
const DECAY_TIME: Duration = Duration::from_millis(300);

/// Maximum age of reports. Demand can change by a third of the slots in this time.
const MAX_AGE: Duration = Duration::from_secs(2);

/// Usage of one failure domain by one service, from the reports of its guards.
#[derive(Debug, Default, Clone, PartialEq)]
pub(super) struct DomainLoad {
    slots: u32,
    /// Requests of this node.
    running: u32,
    /// Sum of the reports' weights, decayed until `updated`.
    weight: f64,
    /// Sum of the reported usages multiplied by their weights, decayed until `updated`.
    weighted_usage: f64,
    updated: Instant,
    latest: Option<Report>,
    /// Latest report of any other guard than the sender of `latest`.
    second: Option<Report>,
}

/// Sender and time of a report.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Report {
    guard: NodeId,
    at: Instant,
}

impl DomainLoad {
    pub(super) const fn set_slots(&mut self, slots: u32, running: u32) {
        self.slots = slots;
        self.running = running;
    }

    pub(super) const fn started(&mut self) {
        self.running = self.running.saturating_add(1);
    }

    pub(super) const fn finished(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Records the usage that `guard` reports.
    pub(super) fn record(&mut self, now: Instant, guard: NodeId, usage: f64) {
        let keep = decay_factor(now.since(self.updated), DECAY_TIME);
        self.weight = self.weight * keep + 1.0;
        self.weighted_usage = self.weighted_usage * keep + usage;
        self.updated = now;
        if self.latest.is_some_and(|latest| latest.guard != guard) {
            self.second = self.latest;
        }
        self.latest = Some(Report { guard, at: now });
    }

    /// Returns the mean usage, or `None` unless two guards have reported recently. A single guard
    /// may be mistaken.
    pub(super) fn usage(&self, now: Instant) -> Option<f64> {
        let second = self.second?;
        if self.slots == 0 || now.since(second.at) > MAX_AGE {
            return None;
        }
        let own = f64::from(self.running) / f64::from(self.slots);
        Some((self.weighted_usage / self.weight).max(own))
    }

    /// Returns the number of free slots below a usage of `ceiling`, or 0 if the usage is unknown.
    pub(super) fn room(&self, now: Instant, ceiling: f64) -> f64 {
        let unused = self.usage(now).map(|usage| ceiling - usage);
        unused.unwrap_or(0.0).max(0.0) * f64::from(self.slots)
    }

    /// Returns the age of the latest report.
    pub(super) fn age(&self, now: Instant) -> Option<Duration> {
        self.latest.map(|latest| now.since(latest.at))
    }
}

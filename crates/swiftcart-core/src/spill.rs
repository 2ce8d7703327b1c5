//! Spill-over: the share of a service's requests that leaves the node's failure domain.

mod advice;
mod domain_load;

use std::time::Duration;

pub use advice::*;
use domain_load::DomainLoad;

use crate::{DomainTag, Instant, NodeId};

/// Usage of the node's own failure domain that the share maintains. It leaves a guard of ten slots
/// one or two free ones for requests that arrive together.
const TARGET_USAGE: f64 = 0.85;

/// Usage of the node's own failure domain from which a request leaves it after one refusal, and from
/// which unknown domains are tried.
const CROWDED_USAGE: f64 = 0.95;

/// Difference in usage from which another failure domain has room for requests. Two domains whose
/// reports disagree by less never send requests to each other at the same time.
const USAGE_MARGIN: f64 = 0.15;

/// Change of the share per second and unit of excess usage. With the decay time of the reports, the
/// share settles within two seconds of a change of demand.
const GAIN_PER_SEC: f64 = 3.0;

/// Maximum time that one report accounts for. After a longer pause, the usage in between is
/// unknown.
const MAX_STEP: Duration = Duration::from_millis(500);

/// Maximum share. The rest keeps the reports of the own failure domain fresh.
const MAX_SHARE: f64 = 0.9;

/// Number of refusals after which a request leaves a crowded failure domain.
const MAX_REFUSALS: usize = 1;

/// Number of refusals after which a request may leave a crowded failure domain while the usage of
/// all other domains is unknown.
const MAX_REFUSALS_UNKNOWN: usize = 2;

/// Share of the requests that may leave after [`MAX_REFUSALS_UNKNOWN`] refusals. The responses to
/// them report the usage of the other failure domains.
const REFUSED_PROBE_SHARE: f64 = 0.2;

/// Share of the requests that leaves a crowded failure domain for one whose usage is unknown.
const PROBE_SHARE: f64 = 0.005;

/// Share of one service's requests that leaves the node's failure domain for lack of room.
///
/// The share follows the usage of whole failure domains, as reported in responses, rather than that
/// of a few guards. The share rises while the own domain is used beyond a target and another domain
/// is used clearly less. Otherwise it falls. All nodes of a domain receive samples of the same usage, so they
/// converge to about the same share without exchanging messages.
///
/// # Examples
///
/// ```
/// use swiftcart_core::{DomainSlots, DomainTag, FailureDomain, Instant, NodeId};
/// use swiftcart_core::{SpillCause, SpillDraw, SpillPlan, SpillTarget};
///
/// let sur = DomainTag::new(&FailureDomain::new("sur"));
/// let guard = |n| NodeId(([10, 0, 0, n], 7000).into());
/// let mut plan = SpillPlan::default();
/// plan.set_domains(&[DomainSlots::near(90), DomainSlots::far(sur, 90)]);
/// let mut now = Instant::from_millis(0);
/// for n in 0..200 {
///     now = Instant::from_millis(10 * n);
///     plan.record(now, None, guard(n as u8 % 4), 1.1);
///     plan.record(now, Some(sur), guard(100 + n as u8 % 4), 0.5);
/// }
/// assert!(plan.share() > 0.3);
/// let advice = plan.advise(now, SpillDraw::new(0.1), |_| true).expect("fresh reports");
/// assert_eq!(advice.leaves, Some(SpillCause::NoRoom));
/// assert_eq!(advice.target, SpillTarget::Domain(sur));
/// ```
#[derive(Debug, Default, Clone, PartialEq)]
pub struct SpillPlan {
    near: DomainLoad,
    far: Vec<(DomainTag, DomainLoad)>,
    share: f64,
    updated: Instant,
}

/// Slots of a service in one failure domain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DomainSlots {
    /// Failure domain, or `None` for the node's own one.
    pub domain: Option<DomainTag>,
    /// Sum of the slots of all candidates.
    pub slots: u32,
    /// Requests of this node that the candidates are running.
    pub running: u32,
}

impl DomainSlots {
    /// Creates the slots of the node's own failure domain, without requests of this node.
    #[must_use]
    pub const fn near(slots: u32) -> Self {
        Self {
            domain: None,
            slots,
            running: 0,
        }
    }

    /// Creates the slots of another failure domain, without requests of this node.
    #[must_use]
    pub const fn far(domain: DomainTag, slots: u32) -> Self {
        Self {
            domain: Some(domain),
            slots,
            running: 0,
        }
    }
}

/// Figures on which a plan decides, for operators.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SpillStatus {
    /// Usage of the own failure domain, or `None` without fresh reports.
    pub near: Option<f64>,
    /// Lowest usage of another failure domain, or `None` without fresh reports.
    pub far: Option<f64>,
    /// Share of the requests that leaves the own failure domain.
    pub share: f64,
    /// Age of the latest report from the own failure domain.
    pub age: Option<Duration>,
}

impl SpillPlan {
    /// Replaces the failure domains and their slots. The reports of domains that remain are kept.
    pub fn set_domains(&mut self, domains: &[DomainSlots]) {
        let mut old = std::mem::take(&mut self.far);
        self.near.set_slots(0, 0);
        for slots in domains {
            let Some(domain) = slots.domain else {
                self.near.set_slots(slots.slots, slots.running);
                continue;
            };
            let known = old.iter().position(|(tag, _)| *tag == domain);
            let mut load = known.map_or_else(DomainLoad::default, |at| old.swap_remove(at).1);
            load.set_slots(slots.slots, slots.running);
            self.far.push((domain, load));
        }
    }

    /// Records the usage that `guard` reports, in requests per slot, and updates the share.
    ///
    /// `domain` is `None` for the node's own failure domain. Reports from a domain of another region
    /// are ignored.
    pub fn record(&mut self, now: Instant, domain: Option<DomainTag>, guard: NodeId, usage: f64) {
        match self.load_mut(domain) {
            Some(load) => load.record(now, guard, usage),
            None => return,
        }
        let step = now.since(self.updated).min(MAX_STEP).as_secs_f64();
        self.updated = now;
        self.share = match (self.near.usage(now), self.lowest_far_usage(now)) {
            (Some(near), Some(far)) => {
                let excess = near - TARGET_USAGE.max(far + USAGE_MARGIN);
                (self.share + GAIN_PER_SEC * step * excess).clamp(0.0, MAX_SHARE)
            }
            _ => 0.0,
        };
    }

    /// Records the start of a request of this node in `domain`.
    pub fn started(&mut self, domain: Option<DomainTag>) {
        if let Some(load) = self.load_mut(domain) {
            load.started();
        }
    }

    /// Records the end of a request of this node in `domain`.
    pub fn finished(&mut self, domain: Option<DomainTag>) {
        if let Some(load) = self.load_mut(domain) {
            load.finished();
        }
    }

    /// Returns the advice for one request, or `None` without fresh reports from the own failure
    /// domain or without another domain.
    ///
    /// `is_reachable` tells which other failure domains can be reached at the moment.
    #[must_use]
    pub fn advise(
        &self,
        now: Instant,
        draw: SpillDraw,
        is_reachable: impl Fn(DomainTag) -> bool,
    ) -> Option<SpillAdvice> {
        let near = self.near.usage(now).filter(|_| !self.far.is_empty())?;
        let fraction = draw.fraction();
        let is_crowded = near >= CROWDED_USAGE;
        let ceiling = near - USAGE_MARGIN;
        let reachable = self.far.iter().filter(|(tag, _)| is_reachable(*tag));
        let with_room = reachable.clone();
        let rooms = with_room.map(|(tag, load)| (*tag, load.room(now, ceiling)));
        let target = SpillTarget::in_proportion(rooms, self.position(fraction));
        if let SpillTarget::Domain(_) = target {
            return Some(SpillAdvice {
                leaves: (fraction < self.share).then_some(SpillCause::NoRoom),
                max_refusals: is_crowded.then_some(MAX_REFUSALS),
                target,
            });
        }
        let usages = reachable.map(|(tag, load)| (*tag, load.usage(now)));
        Some(Self::probe_advice(usages, is_crowded, fraction))
    }

    /// Returns the advice for a request when no domain of `usages` is known to have room.
    ///
    /// A few requests leave a crowded failure domain for one whose usage is unknown.
    fn probe_advice(
        mut usages: impl Iterator<Item = (DomainTag, Option<f64>)> + Clone,
        is_crowded: bool,
        fraction: f64,
    ) -> SpillAdvice {
        let is_any_known = usages.clone().any(|(_, usage)| usage.is_some());
        let unknown = usages.find(|(_, usage)| usage.is_none());
        match unknown {
            Some((tag, _)) if is_crowded && fraction < PROBE_SHARE => SpillAdvice {
                leaves: Some(SpillCause::Probe),
                max_refusals: None,
                target: SpillTarget::Domain(tag),
            },
            _ if is_any_known => SpillAdvice {
                leaves: None,
                max_refusals: None,
                target: SpillTarget::Nowhere,
            },
            _ => SpillAdvice {
                leaves: None,
                max_refusals: (is_crowded && fraction < REFUSED_PROBE_SHARE)
                    .then_some(MAX_REFUSALS_UNKNOWN),
                target: SpillTarget::Any,
            },
        }
    }

    /// Returns the position of a draw among those that leave, or among those that stay.
    fn position(&self, fraction: f64) -> f64 {
        match fraction < self.share {
            true => fraction / self.share,
            false => (fraction - self.share) / (1.0 - self.share),
        }
    }

    /// Returns the share of the requests that leaves the own failure domain.
    #[must_use]
    pub const fn share(&self) -> f64 {
        self.share
    }

    /// Returns the figures on which the plan decides.
    #[must_use]
    pub fn status(&self, now: Instant) -> SpillStatus {
        SpillStatus {
            near: self.near.usage(now),
            far: self.lowest_far_usage(now),
            share: self.share,
            age: self.near.age(now),
        }
    }

    /// Returns the lowest known usage of another failure domain.
    fn lowest_far_usage(&self, now: Instant) -> Option<f64> {
        let usages = self.far.iter().filter_map(|(_, load)| load.usage(now));
        usages.min_by(f64::total_cmp)
    }

    /// Returns the load of `domain`, or `None` if the service has no candidates there.
    fn load_mut(&mut self, domain: Option<DomainTag>) -> Option<&mut DomainLoad> {
        match domain {
            None => Some(&mut self.near),
            Some(domain) => {
                let mut far = self.far.iter_mut();
                far.find(|(tag, _)| *tag == domain).map(|(_, load)| load)
            }
        }
    }
}

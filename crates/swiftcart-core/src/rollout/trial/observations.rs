//! Evidence received about the backend servers of a service during a roll-out.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::{
    Evidence, Exposure, Instant, NodeId, RolloutFinding, RolloutMetric, RouteComparison,
    RouteStats, RouteTag, Side,
};

/// Age beyond which evidence no longer shows that its sender is reachable.
const STALE_AFTER: Duration = Duration::from_millis(1_500);

/// Length of the recent window, over which the releases are compared in addition to the whole
/// trial. Without this window, ten good seconds would hide a release that turns bad later.
const RECENT_WINDOW: Duration = Duration::from_millis(2_500);

/// Share of failures of the old release above which the trial is paused. The cause of the failures
/// may affect the new release as well, and the comparison would be meaningless.
const MAX_OLD_FAILURE_SHARE: f64 = 0.08;

/// Last evidence of one node, with the counts that later evidence is compared to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct ServerRecord {
    received: Instant,
    pub(super) evidence: Evidence,
    /// Requests given to the backend server in earlier epochs.
    earlier_arrivals: u64,
    /// Counts at the start of the trial.
    baseline: Counts,
    /// Counts at two recent points in time, the earlier first.
    recent: [Counts; 2],
}

/// Counts of a backend server at one point in time.
type Counts = BTreeMap<RouteTag, RouteStats>;

/// Period over which the releases are compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Window {
    /// Whole trial.
    Whole,
    /// Last seconds of the trial.
    Recent,
}

/// Last evidence of each node that is the guard of a backend server of the service.
///
/// All counts are cumulative, so lost and repeated messages do no harm. A node that starts to
/// evaluate the trial catches up within moments.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub(super) struct Observations {
    records: BTreeMap<NodeId, ServerRecord>,
    last_rotation: Instant,
}

impl Observations {
    /// Records the evidence of a node.
    ///
    /// If the first evidence of a node arrives while a trial is `under_way`, its current counts
    /// become its baseline. Earlier requests of this node are not comparable, because the other
    /// nodes' counts may not cover that time.
    pub(super) fn record(
        &mut self,
        now: Instant,
        from: NodeId,
        evidence: Evidence,
        under_way: bool,
    ) {
        let new = |evidence: Evidence, earlier_arrivals, baseline: Counts| ServerRecord {
            received: now,
            evidence,
            earlier_arrivals,
            recent: [baseline.clone(), baseline.clone()],
            baseline,
        };
        let record = match self.records.remove(&from) {
            Some(record) if record.evidence.epoch == evidence.epoch => ServerRecord {
                received: now,
                evidence,
                ..record
            },
            Some(record) => new(
                evidence,
                record.earlier_arrivals + record.evidence.arrived,
                Counts::new(),
            ),
            None if under_way => {
                let baseline = evidence.routes.iter().cloned().collect();
                new(evidence, 0, baseline)
            }
            None => new(evidence, 0, Counts::new()),
        };
        self.records.insert(from, record);
    }

    /// Returns the number of nodes that have sent evidence.
    pub(super) fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns the number of nodes that have sent evidence recently.
    pub(super) fn fresh_count(&self, now: Instant) -> usize {
        let fresh = self.records.values().filter(|record| record.is_fresh(now));
        fresh.count()
    }

    /// Makes the current counts the baseline of all comparisons.
    pub(super) fn reset_baseline(&mut self, now: Instant) {
        self.last_rotation = now;
        for record in self.records.values_mut() {
            record.baseline = record.counts();
            record.recent = [record.counts(), record.counts()];
        }
    }

    /// Returns the last evidence of a node.
    pub(super) fn evidence(&self, id: NodeId) -> Option<&Evidence> {
        self.records.get(&id).map(|record| &record.evidence)
    }

    /// Returns the number of requests since the order, in total and at the new release.
    pub(super) fn exposure(&self) -> Exposure {
        let count = |record: &ServerRecord| record.earlier_arrivals + record.evidence.arrived;
        Exposure {
            all: self.records.values().map(count).sum(),
            new: self
                .servers(Side::New)
                .map(|(_, record)| count(record))
                .sum(),
        }
    }

    /// Rotates the counts at which the recent window starts.
    pub(super) fn rotate_recent(&mut self, now: Instant) {
        if now.since(self.last_rotation) < RECENT_WINDOW / 2 {
            return;
        }
        self.last_rotation = now;
        for record in self.records.values_mut() {
            record.recent.swap(0, 1);
            record.recent[1] = record.counts();
        }
    }

    /// Returns a finding that shows a bad release, over the whole trial or the recent window.
    ///
    /// `moving` is set while the service is being moved.
    pub(super) fn regression(&self, moving: bool) -> Option<RolloutFinding> {
        let windows = [Window::Whole, Window::Recent].into_iter();
        let comparisons = windows.map(|window| self.comparisons(window, &BTreeSet::new()));
        let found = comparisons.flat_map(|comparisons| findings(&comparisons.all()));
        // During a move, old and new backend servers have different loads. The difference shows
        // first in the tail latency, which is therefore ignored.
        let mut usable =
            found.filter(|finding| !moving || finding.metric != RolloutMetric::TailLatency);
        usable
            .find(RolloutFinding::is_regression)
            .or_else(|| self.bad_limit_exceeded(moving))
    }

    /// Returns a finding if the new release has exceeded its limit of bad requests on all routes
    /// together.
    fn bad_limit_exceeded(&self, moving: bool) -> Option<RolloutFinding> {
        let mut totals = (BTreeMap::new(), BTreeMap::new());
        for route in self.routes() {
            merge_stats(&mut totals.0, self.counts(route, Side::Old, Window::Whole));
            merge_stats(&mut totals.1, self.counts(route, Side::New, Window::Whole));
        }
        let comparison = RouteComparison {
            route: RouteTag::OTHERS,
            old: totals.0.into_values().collect(),
            new: totals.1.into_values().collect(),
        };
        let mut found = comparison.findings().into_iter();
        found.find(|finding| match finding.metric {
            RolloutMetric::Failures => finding.exceeds_bad_limit(),
            RolloutMetric::Latency => false,
            RolloutMetric::TailLatency => !moving && finding.exceeds_bad_limit(),
        })
    }

    /// Returns `true` if the recent failures of the old release make a comparison meaningless.
    pub(super) fn is_baseline_failing(&self) -> bool {
        let comparisons = self.comparisons(Window::Recent, &BTreeSet::new()).all();
        let old = comparisons.iter().flat_map(|comparison| &comparison.old);
        let (runs, failed) = old.fold((0, 0), |(runs, failed), stats| {
            (runs + stats.runs, failed + stats.failed)
        });
        f64::from(failed) > MAX_OLD_FAILURE_SHARE * f64::from(runs.max(1))
    }

    /// Returns the nodes whose new backend server counts as a regression by itself. A single new
    /// backend server is never an outlier.
    pub(super) fn outliers(&self) -> BTreeSet<NodeId> {
        let mut bad = BTreeSet::new();
        let new: Vec<NodeId> = self.servers(Side::New).map(|(id, _)| id).collect();
        for comparison in self.comparisons(Window::Whole, &BTreeSet::new()).routes {
            let by_itself = |stats: &RouteStats| RouteComparison {
                new: vec![stats.clone()],
                ..comparison.clone()
            };
            for (id, stats) in self.stats_by_node(comparison.route, Side::New, Window::Whole) {
                let is_outlier = by_itself(&stats)
                    .findings()
                    .iter()
                    .any(RolloutFinding::is_regression);
                if is_outlier && new.len() > 1 {
                    bad.insert(id);
                }
            }
        }
        bad
    }

    /// Returns the comparisons by route, excluding the backend servers of the nodes in `without`.
    pub(super) fn comparisons(&self, window: Window, without: &BTreeSet<NodeId>) -> Comparisons {
        let counts = |route, side| {
            let mut counts = self.counts(route, side, window);
            counts.retain(|id, _| !without.contains(id));
            counts
        };
        let mut comparisons = Comparisons::default();
        let mut rest = (BTreeMap::new(), BTreeMap::new());
        for route in self.routes() {
            let (old, new) = (counts(route, Side::Old), counts(route, Side::New));
            let comparison = RouteComparison {
                route,
                old: old.values().cloned().collect(),
                new: new.values().cloned().collect(),
            };
            match comparison.has_enough_requests() && route != RouteTag::OTHERS {
                true => comparisons.routes.push(comparison),
                false => {
                    merge_stats(&mut rest.0, old);
                    merge_stats(&mut rest.1, new);
                }
            }
        }
        comparisons.rest = RouteComparison {
            route: RouteTag::OTHERS,
            old: rest.0.into_values().collect(),
            new: rest.1.into_values().collect(),
        };
        comparisons
    }

    fn routes(&self) -> BTreeSet<RouteTag> {
        let reported = self
            .records
            .values()
            .flat_map(|record| &record.evidence.routes);
        reported.map(|(route, _)| *route).collect()
    }

    fn counts(&self, route: RouteTag, side: Side, window: Window) -> BTreeMap<NodeId, RouteStats> {
        self.stats_by_node(route, side, window).collect()
    }

    fn stats_by_node(
        &self,
        route: RouteTag,
        side: Side,
        window: Window,
    ) -> impl Iterator<Item = (NodeId, RouteStats)> {
        self.servers(side).filter_map(move |(id, record)| {
            let mut routes = record.evidence.routes.iter();
            let (_, stats) = routes.find(|(tag, _)| *tag == route)?;
            let stats = match record.window_start(window).get(&route) {
                Some(start) => stats.since(start),
                None => stats.clone(),
            };
            (stats.runs > 0).then_some((id, stats))
        })
    }

    pub(super) fn servers(&self, side: Side) -> impl Iterator<Item = (NodeId, &ServerRecord)> {
        let all = self.records.iter().map(|(id, record)| (*id, record));
        all.filter(move |(_, record)| record.evidence.side == side)
    }
}

/// Comparisons of one period.
#[derive(Debug, Default)]
pub(super) struct Comparisons {
    /// Routes with enough requests at the new release.
    pub(super) routes: Vec<RouteComparison>,
    /// All other routes, merged into one comparison.
    pub(super) rest: RouteComparison,
}

impl Comparisons {
    fn all(self) -> Vec<RouteComparison> {
        let mut all = self.routes;
        all.push(self.rest);
        all
    }
}

impl ServerRecord {
    fn counts(&self) -> Counts {
        self.evidence.routes.iter().cloned().collect()
    }

    /// Returns the counts at the start of a window.
    const fn window_start(&self, window: Window) -> &Counts {
        match window {
            Window::Whole => &self.baseline,
            Window::Recent => &self.recent[0],
        }
    }

    pub(super) fn is_ready(&self, now: Instant) -> bool {
        self.evidence.ready && self.is_fresh(now)
    }

    fn is_fresh(&self, now: Instant) -> bool {
        now.since(self.received) < STALE_AFTER
    }
}

pub(super) fn findings(comparisons: &[RouteComparison]) -> Vec<RolloutFinding> {
    comparisons
        .iter()
        .flat_map(RouteComparison::findings)
        .collect()
}

fn merge_stats(sums: &mut BTreeMap<NodeId, RouteStats>, counts: BTreeMap<NodeId, RouteStats>) {
    for (id, stats) in counts {
        sums.entry(id).or_default().merge(&stats);
    }
}

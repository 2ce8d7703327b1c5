//! What is known of a service's backend servers while it is rolled out.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::{
    Evidence, Exposure, Instant, NodeId, RolloutFinding, RolloutMetric, RouteComparison,
    RouteStats, RouteTag, Side,
};

/// The age at which evidence counts no more as a sign that its sender is there.
const STALE: Duration = Duration::from_millis(1_500);

/// The time over which old and new are compared once more, by what happened of late. A release that
/// turns bad after ten good seconds would else hide behind them.
const RECENT: Duration = Duration::from_millis(2_500);

/// The part of failures of the old release at which nothing is tried: what strikes it may strike
/// those that are tried just as well, and says nothing of the release.
const TROUBLED: f64 = 0.08;

/// The last evidence of one node, and what counts before it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Seen {
    at: Instant,
    pub(super) evidence: Evidence,
    /// What its backend server was handed in earlier epochs.
    past: u64,
    /// The counts when the trial began, and those of late: two marks that are moved on in turn.
    from: Counts,
    recent: [Counts; 2],
}

/// The counts of a backend server at one point in time.
type Counts = BTreeMap<RouteTag, RouteStats>;

/// The time over which old and new ones are compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Span {
    /// All of the trial.
    Whole,
    /// The last seconds of it.
    Recent,
}

/// Keeps the last evidence of each node beside one of the service's backend servers.
///
/// All counts in it are sums, so that lost and repeated messages do no harm, and a node that starts to
/// watch knows as much as any other a moment later.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub(super) struct Observed {
    seen: BTreeMap<NodeId, Seen>,
    marked: Instant,
}

impl Observed {
    /// Takes what a node has seen; one that is first heard of while a trial is `under_way` is compared
    /// by what happens from now on, since its counts may reach back to a time of which others know nothing.
    pub(super) fn record(
        &mut self,
        now: Instant,
        from: NodeId,
        evidence: Evidence,
        under_way: bool,
    ) {
        let new = |evidence: Evidence, past, from: Counts| Seen {
            at: now,
            evidence,
            past,
            recent: [from.clone(), from.clone()],
            from,
        };
        let seen = match self.seen.remove(&from) {
            Some(seen) if seen.evidence.epoch == evidence.epoch => Seen {
                at: now,
                evidence,
                ..seen
            },
            Some(seen) => new(evidence, seen.past + seen.evidence.arrived, Counts::new()),
            None if under_way => {
                let from = evidence.routes.iter().cloned().collect();
                new(evidence, 0, from)
            }
            None => new(evidence, 0, Counts::new()),
        };
        self.seen.insert(from, seen);
    }

    /// Returns how many nodes were ever heard from.
    pub(super) fn len(&self) -> usize {
        self.seen.len()
    }

    /// Returns how many nodes were heard from lately.
    pub(super) fn heard(&self, now: Instant) -> usize {
        let fresh = self.seen.values().filter(|seen| seen.is_fresh(now));
        fresh.count()
    }

    /// Compares from now on.
    pub(super) fn begin(&mut self, now: Instant) {
        self.marked = now;
        for seen in self.seen.values_mut() {
            seen.from = seen.counts();
            seen.recent = [seen.counts(), seen.counts()];
        }
    }

    /// Returns the last evidence of a node.
    pub(super) fn evidence(&self, id: NodeId) -> Option<&Evidence> {
        self.seen.get(&id).map(|seen| &seen.evidence)
    }

    /// Returns the requests that the service had since the order, and those at the new release.
    pub(super) fn exposure(&self) -> Exposure {
        let count = |seen: &Seen| seen.past + seen.evidence.arrived;
        Exposure {
            all: self.seen.values().map(count).sum(),
            new: self.on(Side::New).map(|(_, seen)| count(seen)).sum(),
        }
    }

    /// Moves the marks on from which on the last seconds are counted.
    pub(super) fn mark(&mut self, now: Instant) {
        if now.since(self.marked) < RECENT / 2 {
            return;
        }
        self.marked = now;
        for seen in self.seen.values_mut() {
            seen.recent.swap(0, 1);
            seen.recent[1] = seen.counts();
        }
    }

    /// Returns what shows that the release is bad, over the whole trial or its last seconds; `moves`
    /// tells that the service is being moved.
    pub(super) fn blamed(&self, moves: bool) -> Option<RolloutFinding> {
        let spans = [Span::Whole, Span::Recent].into_iter();
        let cases = spans.map(|span| self.cases(span, &BTreeSet::new()));
        let found = cases.flat_map(|cases| findings(&cases.all()));
        // While the service moves, old and new ones have different loads, which shows in the slowest
        // requests first.
        let mut fair = found.filter(|finding| !moves || finding.metric != RolloutMetric::Tail);
        fair.find(RolloutFinding::blames)
            .or_else(|| self.spent(moves))
    }

    /// Returns what shows that no more bad answers can be borne, over all routes together.
    fn spent(&self, moves: bool) -> Option<RolloutFinding> {
        let mut together = (BTreeMap::new(), BTreeMap::new());
        for route in self.routes() {
            add(&mut together.0, self.counts(route, Side::Old, Span::Whole));
            add(&mut together.1, self.counts(route, Side::New, Span::Whole));
        }
        let case = RouteComparison {
            route: RouteTag::OTHERS,
            old: together.0.into_values().collect(),
            new: together.1.into_values().collect(),
        };
        let mut found = case.findings().into_iter();
        found.find(|finding| match finding.metric {
            RolloutMetric::Failures => finding.is_spent(),
            RolloutMetric::Times => false,
            RolloutMetric::Tail => !moves && finding.is_spent(),
        })
    }

    /// Tells whether the old release fails so often of late that a trial would say nothing.
    pub(super) fn is_troubled(&self) -> bool {
        let cases = self.cases(Span::Recent, &BTreeSet::new()).all();
        let old = cases.iter().flat_map(|case| &case.old);
        let (runs, failed) = old.fold((0, 0), |(runs, failed), tally| {
            (runs + tally.runs, failed + tally.failed)
        });
        f64::from(failed) > TROUBLED * f64::from(runs.max(1))
    }

    /// Returns the nodes whose backend servers are much worse than their release.
    pub(super) fn bad_ones(&self) -> BTreeSet<NodeId> {
        let mut bad = BTreeSet::new();
        let new: Vec<NodeId> = self.on(Side::New).map(|(id, _)| id).collect();
        for case in self.cases(Span::Whole, &BTreeSet::new()).seen {
            let alone = |tally: &RouteStats| RouteComparison {
                new: vec![tally.clone()],
                ..case.clone()
            };
            for (id, tally) in self.tallies(case.route, Side::New, Span::Whole) {
                let is_bad = alone(&tally).findings().iter().any(RolloutFinding::blames);
                if is_bad && new.len() > 1 {
                    bad.insert(id);
                }
            }
        }
        bad
    }

    /// Returns what is to be judged, route by route, but for the backend servers `without`.
    pub(super) fn cases(&self, span: Span, without: &BTreeSet<NodeId>) -> Cases {
        let counts = |route, side| {
            let mut counts = self.counts(route, side, span);
            counts.retain(|id, _| !without.contains(id));
            counts
        };
        let mut cases = Cases::default();
        let mut rest = (BTreeMap::new(), BTreeMap::new());
        for route in self.routes() {
            let (old, new) = (counts(route, Side::Old), counts(route, Side::New));
            let case = RouteComparison {
                route,
                old: old.values().cloned().collect(),
                new: new.values().cloned().collect(),
            };
            match case.is_seen() && route != RouteTag::OTHERS {
                true => cases.seen.push(case),
                false => {
                    add(&mut rest.0, old);
                    add(&mut rest.1, new);
                }
            }
        }
        cases.rest = RouteComparison {
            route: RouteTag::OTHERS,
            old: rest.0.into_values().collect(),
            new: rest.1.into_values().collect(),
        };
        cases
    }

    fn routes(&self) -> BTreeSet<RouteTag> {
        let told = self.seen.values().flat_map(|seen| &seen.evidence.routes);
        told.map(|(route, _)| *route).collect()
    }

    fn counts(&self, route: RouteTag, side: Side, span: Span) -> BTreeMap<NodeId, RouteStats> {
        self.tallies(route, side, span).collect()
    }

    fn tallies(
        &self,
        route: RouteTag,
        side: Side,
        span: Span,
    ) -> impl Iterator<Item = (NodeId, RouteStats)> {
        self.on(side).filter_map(move |(id, seen)| {
            let mut routes = seen.evidence.routes.iter();
            let (_, tally) = routes.find(|(tag, _)| *tag == route)?;
            let tally = match seen.since(span).get(&route) {
                Some(from) => tally.since(from),
                None => tally.clone(),
            };
            (tally.runs > 0).then_some((id, tally))
        })
    }

    pub(super) fn on(&self, side: Side) -> impl Iterator<Item = (NodeId, &Seen)> {
        let all = self.seen.iter().map(|(id, seen)| (*id, seen));
        all.filter(move |(_, seen)| seen.evidence.side == side)
    }
}

/// What is to be judged.
#[derive(Debug, Default)]
pub(super) struct Cases {
    /// Routes that the new release has run often enough.
    pub(super) seen: Vec<RouteComparison>,
    /// The others together.
    pub(super) rest: RouteComparison,
}

impl Cases {
    fn all(self) -> Vec<RouteComparison> {
        let mut all = self.seen;
        all.push(self.rest);
        all
    }
}

impl Seen {
    fn counts(&self) -> Counts {
        self.evidence.routes.iter().cloned().collect()
    }

    /// Returns the counts at the beginning of a span.
    const fn since(&self, span: Span) -> &Counts {
        match span {
            Span::Whole => &self.from,
            Span::Recent => &self.recent[0],
        }
    }

    pub(super) fn is_ready(&self, now: Instant) -> bool {
        self.evidence.ready && self.is_fresh(now)
    }

    fn is_fresh(&self, now: Instant) -> bool {
        now.since(self.at) < STALE
    }
}

pub(super) fn findings(cases: &[RouteComparison]) -> Vec<RolloutFinding> {
    cases.iter().flat_map(RouteComparison::findings).collect()
}

fn add(sums: &mut BTreeMap<NodeId, RouteStats>, counts: BTreeMap<NodeId, RouteStats>) {
    for (id, tally) in counts {
        sums.entry(id).or_default().add(&tally);
    }
}

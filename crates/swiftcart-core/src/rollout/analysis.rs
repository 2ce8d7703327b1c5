//! Whether the requests of one route show that a new release is bad.
//!
//! Old and new backend servers are compared over the same moments, so that what befalls the whole
//! service is not laid to the release. What befalls single backend servers may hit one of the new
//! ones as well: a release is blamed when most of its backend servers are worse than the old ones,
//! and when it is unlikely that just these were drawn from all of them.

use super::{RouteStats, RouteTag};

/// The weight of evidence beyond which chance is left out: one in a thousand.
const CERTAIN: f64 = 6.9;

/// The weight of evidence beyond which chance is unlikely: one in twenty.
const LIKELY: f64 = 3.0;

/// The part of failures that is allowed to any release, on top of twice that of the old one:
/// backend servers fail at one request in 250 by themselves.
const FAILURES_ALLOWED: f64 = 0.02;

/// How many more failures a bad release is expected to have. Of those that were made to fail at
/// three to five requests in ten each shows within 20 requests.
const FAILURES_MORE: f64 = 0.15;

/// What counts as slow: the part of the old release's requests that takes longer, the part that is
/// allowed to any release, and the part that a bad one is expected to have.
///
/// The slowest third of the backend servers of one service takes twice as long as the others, and
/// has two to three times its part of the slow requests, which is what is allowed.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Slowness {
    tail: f64,
    shares: Shares,
}

/// The part of bad requests that is allowed to any release, and the part that a bad one is expected
/// to have.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Shares {
    allowed: f64,
    expected: f64,
}

/// The greatest parts that are told apart, where the old release fails at most of its requests.
const ALLOWED_MOST: f64 = 0.6;
const EXPECTED_MOST: f64 = 0.75;

/// Where a third to a half of the requests takes four to five times as long as it should, some four
/// in ten of all are beyond the old release's slowest tenth.
const SLOW: Slowness = Slowness {
    tail: 0.1,
    shares: Shares {
        allowed: 0.2,
        expected: 0.35,
    },
};

/// Where one in eight or more takes eight times as long, more than one in ten is beyond the old
/// release's slowest fiftieth.
const VERY_SLOW: Slowness = Slowness {
    tail: 0.02,
    shares: Shares {
        allowed: 0.06,
        expected: 0.15,
    },
};

/// The requests of the old release without which nothing can be said of a route.
const OLD_LEAST: u32 = 50;

/// The requests of one backend server without which it is not looked at alone.
const EACH_LEAST: u32 = 6;

/// The part of the new release's bad requests from which on one backend server is as bad. Slow ones
/// of the old release have two thirds of what a release has that takes four times as long.
const AS_BAD: f64 = 0.7;

/// The chance below which it is left out that just the new backend servers were affected by what
/// strikes any.
const CHANCE: f64 = 0.03;

/// The bad answers after which a release is given up without being certain. Its bad answers are
/// bounded to 50 before it has to be given up, however they are told from ordinary ones.
const BAD_MOST: u32 = 35;

/// The requests without which a new release is not taken for as good as the old one: if half of them
/// failed, one in 300 such samples would have a single failure at most.
const NEW_LEAST: u32 = 12;

/// What is looked at.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RolloutMetric {
    /// How many requests failed.
    Failures,
    /// How many took longer than most of the old release.
    Times,
    /// How many took longer than nearly all of the old release.
    Tail,
}

impl RolloutMetric {
    /// Returns the name used in logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Failures => "failures",
            Self::Times => "times",
            Self::Tail => "tail",
        }
    }
}

/// The requests of one route, by backend server.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct RouteComparison {
    /// The route.
    pub route: RouteTag,
    /// Those of the old release.
    pub old: Vec<RouteStats>,
    /// Those of the new release.
    pub new: Vec<RouteStats>,
}

/// What one measure of one route says.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Finding {
    /// The route.
    pub route: RouteTag,
    /// What was looked at.
    pub metric: RolloutMetric,
    /// Requests of the old release.
    pub old: RequestCounts,
    /// Requests of the new release.
    pub new: RequestCounts,
    /// How much more likely it is that the release is bad, as a natural logarithm.
    pub log_ratio: f64,
    /// Backend servers of the new release that are as bad as all of it.
    pub affected: ServerCounts,
    /// Backend servers of the old release that are as bad.
    pub old_affected: ServerCounts,
}

/// Requests, and how many of them were bad.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Hash)]
pub struct RequestCounts {
    /// All of them.
    pub all: u32,
    /// The bad ones.
    pub bad: u32,
}

/// Backend servers that can be judged, and how many of them are bad.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ServerCounts {
    /// All of them.
    pub all: usize,
    /// The bad ones.
    pub bad: usize,
}

impl RequestCounts {
    fn share(self) -> f64 {
        f64::from(self.bad) / f64::from(self.all.max(1))
    }

    const fn plus(self, other: Self) -> Self {
        Self {
            all: self.all.saturating_add(other.all),
            bad: self.bad.saturating_add(other.bad),
        }
    }
}

impl ServerCounts {
    const fn is_most(self) -> bool {
        2 * self.bad > self.all
    }
}

impl RouteComparison {
    /// Returns what each measure says; nothing where the old release has too few requests.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use swiftcart_core::{RouteComparison, RouteStats};
    ///
    /// let server = |failed: u32| {
    ///     let mut tally = RouteStats::default();
    ///     (0..40).for_each(|i| tally.count(i < failed, Duration::from_millis(100)));
    ///     tally
    /// };
    /// let case = RouteComparison {
    ///     old: vec![server(0), server(1), server(0), server(0)],
    ///     new: vec![server(16), server(21)],
    ///     ..RouteComparison::default()
    /// };
    /// assert!(case.findings().iter().any(|finding| finding.blames()));
    /// ```
    #[must_use]
    pub fn findings(&self) -> Vec<Finding> {
        let old = sum(&self.old);
        if old.runs < OLD_LEAST {
            return Vec::new();
        }
        let failed = |tally: &RouteStats| tally.failed;
        let allowed = FAILURES_ALLOWED + 2.0 * failures(&old);
        let expected = allowed + FAILURES_MORE;
        let failures = self.weigh(
            RolloutMetric::Failures,
            Shares { allowed, expected },
            failed,
        );
        let slow = |metric, slow: Slowness| {
            let limit = slow_limit(&old, slow.tail);
            self.weigh(metric, slow.shares, |tally| tally.above(limit))
        };
        let times = slow(RolloutMetric::Times, SLOW);
        let tail = slow(RolloutMetric::Tail, VERY_SLOW);
        vec![failures, times, tail]
    }

    /// Returns the requests of the old release.
    #[must_use]
    pub fn old_runs(&self) -> u32 {
        self.old.iter().map(|tally| tally.runs).sum()
    }

    /// Tells whether the new release has run enough of the route for it to be judged by itself.
    #[must_use]
    pub fn is_seen(&self) -> bool {
        let new: u32 = self.new.iter().map(|tally| tally.runs).sum();
        new >= NEW_LEAST
    }

    fn weigh(
        &self,
        metric: RolloutMetric,
        shares: Shares,
        bad: impl Fn(&RouteStats) -> u32,
    ) -> Finding {
        let runs = |tally: &RouteStats| RequestCounts {
            all: tally.runs,
            bad: bad(tally),
        };
        let count = |all: &[RouteStats]| {
            all.iter()
                .map(runs)
                .fold(RequestCounts::default(), RequestCounts::plus)
        };
        let new = count(&self.new);
        let as_bad = AS_BAD * new.share();
        let judge = |all: &[RouteStats]| {
            let each = || all.iter().map(runs).filter(|runs| runs.all >= EACH_LEAST);
            let is_bad = |runs: &RequestCounts| runs.bad > 0 && runs.share() >= as_bad;
            ServerCounts {
                all: each().count(),
                bad: each().filter(is_bad).count(),
            }
        };
        Finding {
            route: self.route,
            metric,
            old: count(&self.old),
            new,
            log_ratio: shares.log_ratio(new),
            affected: judge(&self.new),
            old_affected: judge(&self.old),
        }
    }
}

impl Finding {
    /// Tells whether the release is bad.
    #[must_use]
    pub fn blames(&self) -> bool {
        let alone = self.old_affected.bad == 0 || self.chance() <= CHANCE;
        self.affected.is_most() && self.log_ratio >= CERTAIN && alone
    }

    /// Tells whether the release is as good as the old one.
    #[must_use]
    pub fn clears(&self) -> bool {
        self.log_ratio <= -CERTAIN
    }

    /// Tells whether the release is more likely bad than not.
    #[must_use]
    pub fn warns(&self) -> bool {
        self.log_ratio >= LIKELY
    }

    /// Tells whether nothing speaks against the release, although it is not certain.
    #[must_use]
    pub fn passes(&self) -> bool {
        self.new.all >= NEW_LEAST && self.log_ratio <= 0.0
    }

    /// Tells whether no more bad answers can be borne, and the old release has fewer.
    #[must_use]
    pub fn is_spent(&self) -> bool {
        let worse = self.new.share() > 2.0 * self.old.share();
        self.new.bad >= BAD_MOST && self.log_ratio > 0.0 && worse && self.affected.is_most()
    }

    /// Returns how likely it is that just these were affected, if all are alike.
    fn chance(&self) -> f64 {
        let bad = self.old_affected.bad + self.affected.bad;
        let all = self.old_affected.all + self.affected.all;
        let step = |i: usize| (bad - i) as f64 / (all - i) as f64;
        (0..self.affected.bad).map(step).product()
    }
}

impl Shares {
    /// Returns how much more likely these requests are under the expected share than under the
    /// allowed one, as a natural logarithm.
    fn log_ratio(self, runs: RequestCounts) -> f64 {
        let low = self.allowed.min(ALLOWED_MOST);
        let high = self.expected.min(EXPECTED_MOST);
        let sound = f64::from(runs.all - runs.bad.min(runs.all));
        f64::from(runs.bad) * (high / low).ln() + sound * ((1.0 - high) / (1.0 - low)).ln()
    }
}

/// Returns the class of times that few requests of the old release exceed.
fn slow_limit(old: &RouteStats, tail: f64) -> usize {
    let most = (f64::from(old.runs) * tail) as u32;
    let classes = 0..old.times.len();
    classes
        .into_iter()
        .find(|class| old.above(*class) <= most)
        .unwrap_or(0)
}

fn sum(all: &[RouteStats]) -> RouteStats {
    let mut sum = RouteStats::default();
    all.iter().for_each(|tally| sum.add(tally));
    sum
}

fn failures(tally: &RouteStats) -> f64 {
    let runs = RequestCounts {
        all: tally.runs,
        bad: tally.failed,
    };
    runs.share()
}

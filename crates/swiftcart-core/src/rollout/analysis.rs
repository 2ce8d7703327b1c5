//! Statistical comparison of two releases by the requests of one route.
//!
//! Old and new backend servers are compared over the same period, so that a fault of the whole
//! service is not attributed to the release. A fault of single backend servers may also hit new
//! ones by chance. A release therefore counts as a regression only if most of its backend servers
//! are worse than the old ones, and if a fault that hits backend servers at random is unlikely to
//! hit all those that are worse.

use super::{RouteStats, RouteTag};

/// Log-likelihood ratio beyond which a finding counts as certain. The chance of error is one in a
/// thousand.
const STRONG_LOG_RATIO: f64 = 6.9;

/// Log-likelihood ratio beyond which a finding counts as likely. The chance of error is one in
/// twenty.
const WEAK_LOG_RATIO: f64 = 3.0;

/// Share of failures allowed to any release, in addition to twice the share of the old release.
/// Healthy backend servers fail one request in 250.
const ALLOWED_FAILURE_SHARE: f64 = 0.02;

/// Share of failures expected of a bad release, in addition to the allowed share. A release that
/// fails three to five requests in ten is detected within 20 requests.
const EXCESS_FAILURE_SHARE: f64 = 0.15;

/// Latency threshold of one metric, with the shares of requests allowed and expected beyond it.
///
/// `tail` is the share of the old release's requests that are slower than the threshold. The
/// slowest third of a service's backend servers takes twice as long as the others and has two to
/// three times its part of the slow requests. The allowed share covers this spread.
#[derive(Debug, Clone, Copy, PartialEq)]
struct LatencyThreshold {
    tail: f64,
    shares: BadShares,
}

/// Shares of bad requests: allowed to any release, and expected of a bad release.
#[derive(Debug, Clone, Copy, PartialEq)]
struct BadShares {
    allowed: f64,
    expected: f64,
}

/// Upper bounds of the allowed and the expected share, so that the two shares still differ if most
/// requests of the old release fail.
const MAX_ALLOWED_SHARE: f64 = 0.6;
const MAX_EXPECTED_SHARE: f64 = 0.75;

/// Threshold for a release that is often slow. If a third to a half of the requests takes four to
/// five times as long as normal, about four in ten exceed the slowest tenth of the old release.
const SLOW_REQUESTS: LatencyThreshold = LatencyThreshold {
    tail: 0.1,
    shares: BadShares {
        allowed: 0.2,
        expected: 0.35,
    },
};

/// Threshold for a release that is rarely but very slow. If one request in eight or more takes
/// eight times as long as normal, more than one in ten exceeds the slowest fiftieth of the old
/// release.
const VERY_SLOW_REQUESTS: LatencyThreshold = LatencyThreshold {
    tail: 0.02,
    shares: BadShares {
        allowed: 0.06,
        expected: 0.15,
    },
};

/// Minimum number of requests of the old release for comparing a route.
const MIN_OLD_REQUESTS: u32 = 50;

/// Minimum number of requests of a backend server for judging it separately.
const MIN_SERVER_REQUESTS: u32 = 6;

/// Minimum share of bad requests of an affected backend server, relative to the share of the whole
/// new release. The ratio excludes slow backend servers of the old release: their share of slow
/// requests is two thirds of the share of a release that takes four times as long.
const AFFECTED_RATIO: f64 = 0.7;

/// Maximum probability that a fault that may hit any backend server hits all affected new ones. A
/// finding with a greater probability is attributed to chance if any old backend server is
/// affected.
const MAX_P_VALUE: f64 = 0.03;

/// Number of bad requests after which a release is rejected even if the finding is not certain. The
/// number leaves a margin to the bound of 50 bad requests, which holds for any way of classifying
/// requests as bad.
const MAX_BAD_REQUESTS: u32 = 35;

/// Minimum number of requests for accepting a new release. If half of the requests failed, only one
/// sample of this size in 300 would have a single failure at most.
const MIN_NEW_REQUESTS: u32 = 12;

/// Property of the requests that is compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RolloutMetric {
    /// Share of failed requests.
    Failures,
    /// Share of requests slower than most requests of the old release.
    Latency,
    /// Share of requests slower than nearly all requests of the old release.
    TailLatency,
}

impl RolloutMetric {
    /// Returns the name used in logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Failures => "failures",
            Self::Latency => "times",
            Self::TailLatency => "tail",
        }
    }
}

/// Statistics of one route, by backend server.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct RouteComparison {
    /// Compared route.
    pub route: RouteTag,
    /// Backend servers of the old release.
    pub old: Vec<RouteStats>,
    /// Backend servers of the new release.
    pub new: Vec<RouteStats>,
}

/// Result of comparing one metric of one route.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Finding {
    /// Compared route.
    pub route: RouteTag,
    /// Compared metric.
    pub metric: RolloutMetric,
    /// Requests of the old release.
    pub old: RequestCounts,
    /// Requests of the new release.
    pub new: RequestCounts,
    /// Natural logarithm of the likelihood ratio between a bad and a good release. Positive values
    /// indicate a bad release.
    pub log_ratio: f64,
    /// Backend servers of the new release. Those with about the share of bad requests of the whole
    /// release, or a greater one, count as bad.
    pub affected: ServerCounts,
    /// Backend servers of the old release. Those with about the share of bad requests of the new
    /// release, or a greater one, count as bad.
    pub old_affected: ServerCounts,
}

/// Number of requests, and of the bad ones among them.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Hash)]
pub struct RequestCounts {
    /// All requests.
    pub all: u32,
    /// Bad requests.
    pub bad: u32,
}

/// Number of backend servers with enough requests, and of the bad ones among them.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ServerCounts {
    /// All backend servers with enough requests.
    pub all: usize,
    /// Bad backend servers.
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
    const fn is_mostly_bad(self) -> bool {
        2 * self.bad > self.all
    }
}

impl RouteComparison {
    /// Returns a finding for each metric, or none if the old release has too few requests.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use swiftcart_core::{RouteComparison, RouteStats};
    ///
    /// let server = |failed: u32| {
    ///     let mut stats = RouteStats::default();
    ///     (0..40).for_each(|i| stats.record(i < failed, Duration::from_millis(100)));
    ///     stats
    /// };
    /// let comparison = RouteComparison {
    ///     old: vec![server(0), server(1), server(0), server(0)],
    ///     new: vec![server(16), server(21)],
    ///     ..RouteComparison::default()
    /// };
    /// assert!(comparison.findings().iter().any(|finding| finding.is_regression()));
    /// ```
    #[must_use]
    pub fn findings(&self) -> Vec<Finding> {
        let old = sum(&self.old);
        if old.runs < MIN_OLD_REQUESTS {
            return Vec::new();
        }
        let failed = |stats: &RouteStats| stats.failed;
        let allowed = ALLOWED_FAILURE_SHARE + 2.0 * failure_share(&old);
        let expected = allowed + EXCESS_FAILURE_SHARE;
        let failures = self.evaluate_metric(
            RolloutMetric::Failures,
            BadShares { allowed, expected },
            failed,
        );
        let slow = |metric, threshold: LatencyThreshold| {
            let bucket = slow_bucket(&old, threshold.tail);
            self.evaluate_metric(metric, threshold.shares, |stats| stats.slower_than(bucket))
        };
        let latency = slow(RolloutMetric::Latency, SLOW_REQUESTS);
        let tail_latency = slow(RolloutMetric::TailLatency, VERY_SLOW_REQUESTS);
        vec![failures, latency, tail_latency]
    }

    /// Returns the number of requests of the old release.
    #[must_use]
    pub fn old_requests(&self) -> u32 {
        self.old.iter().map(|stats| stats.runs).sum()
    }

    /// Returns `true` if the new release has enough requests for comparing the route separately.
    #[must_use]
    pub fn has_enough_requests(&self) -> bool {
        let new: u32 = self.new.iter().map(|stats| stats.runs).sum();
        new >= MIN_NEW_REQUESTS
    }

    fn evaluate_metric(
        &self,
        metric: RolloutMetric,
        shares: BadShares,
        bad: impl Fn(&RouteStats) -> u32,
    ) -> Finding {
        let runs = |stats: &RouteStats| RequestCounts {
            all: stats.runs,
            bad: bad(stats),
        };
        let count = |all: &[RouteStats]| {
            all.iter()
                .map(runs)
                .fold(RequestCounts::default(), RequestCounts::plus)
        };
        let new = count(&self.new);
        let affected_share = AFFECTED_RATIO * new.share();
        let count_affected = |all: &[RouteStats]| {
            let servers = || {
                all.iter()
                    .map(runs)
                    .filter(|runs| runs.all >= MIN_SERVER_REQUESTS)
            };
            let is_affected = |runs: &RequestCounts| runs.bad > 0 && runs.share() >= affected_share;
            ServerCounts {
                all: servers().count(),
                bad: servers().filter(is_affected).count(),
            }
        };
        Finding {
            route: self.route,
            metric,
            old: count(&self.old),
            new,
            log_ratio: shares.log_ratio(new),
            affected: count_affected(&self.new),
            old_affected: count_affected(&self.old),
        }
    }
}

impl Finding {
    /// Returns `true` if the new release is certain to be bad, most of its backend servers are
    /// affected, and either no old backend server is affected or chance is an unlikely cause.
    #[must_use]
    pub fn is_regression(&self) -> bool {
        let not_by_chance = self.old_affected.bad == 0 || self.p_value() <= MAX_P_VALUE;
        self.affected.is_mostly_bad() && self.log_ratio >= STRONG_LOG_RATIO && not_by_chance
    }

    /// Returns `true` if the new release is certainly as good as the old one.
    #[must_use]
    pub fn is_equivalent(&self) -> bool {
        self.log_ratio <= -STRONG_LOG_RATIO
    }

    /// Returns `true` if the new release is likely to be bad.
    #[must_use]
    pub fn is_suspect(&self) -> bool {
        self.log_ratio >= WEAK_LOG_RATIO
    }

    /// Returns `true` if nothing indicates a bad release, even if it is not certain to be good.
    #[must_use]
    pub fn is_acceptable(&self) -> bool {
        self.new.all >= MIN_NEW_REQUESTS && self.log_ratio <= 0.0
    }

    /// Returns `true` if the new release has reached its limit of bad requests and is more likely
    /// bad than good, its share of bad requests is more than twice that of the old release, and
    /// most of its backend servers are affected.
    #[must_use]
    pub fn exceeds_bad_limit(&self) -> bool {
        let worse = self.new.share() > 2.0 * self.old.share();
        self.new.bad >= MAX_BAD_REQUESTS
            && self.log_ratio > 0.0
            && worse
            && self.affected.is_mostly_bad()
    }

    /// Returns the probability that all affected new backend servers are affected by chance, if the
    /// release makes no difference and the number of affected backend servers on both sides
    /// together is given.
    fn p_value(&self) -> f64 {
        let bad = self.old_affected.bad + self.affected.bad;
        let all = self.old_affected.all + self.affected.all;
        let step = |i: usize| (bad - i) as f64 / (all - i) as f64;
        (0..self.affected.bad).map(step).product()
    }
}

impl BadShares {
    /// Returns the log-likelihood ratio of `runs` between the expected and the allowed share.
    fn log_ratio(self, runs: RequestCounts) -> f64 {
        let allowed = self.allowed.min(MAX_ALLOWED_SHARE);
        let expected = self.expected.min(MAX_EXPECTED_SHARE);
        let good = f64::from(runs.all - runs.bad.min(runs.all));
        f64::from(runs.bad) * (expected / allowed).ln()
            + good * ((1.0 - expected) / (1.0 - allowed)).ln()
    }
}

/// Returns the lowest latency bucket that at most a share `tail` of the old release's requests
/// exceeds.
fn slow_bucket(old: &RouteStats, tail: f64) -> usize {
    let max_slower = (f64::from(old.runs) * tail) as u32;
    let buckets = 0..old.times.len();
    buckets
        .into_iter()
        .find(|bucket| old.slower_than(*bucket) <= max_slower)
        .unwrap_or(0)
}

fn sum(all: &[RouteStats]) -> RouteStats {
    let mut sum = RouteStats::default();
    all.iter().for_each(|stats| sum.merge(stats));
    sum
}

fn failure_share(stats: &RouteStats) -> f64 {
    let runs = RequestCounts {
        all: stats.runs,
        bad: stats.failed,
    };
    runs.share()
}

//! Request statistics that the guards of a service report during a roll-out.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{OrderId, Side};
use crate::{RouteKey, ServiceName};

/// Number of latency buckets. The bounds of a bucket differ by a factor of 1.41. All buckets
/// together cover 1 ms to 3 s and more.
const LATENCY_BUCKETS: usize = 24;

/// Maximum number of routes with separate statistics. Further routes are counted together.
const MAX_ROUTES: usize = 64;

/// Maximum number of routes that one message reports separately; the busiest routes are chosen.
/// Seven routes with 24 latency buckets each fit one datagram.
const MAX_REPORTED_ROUTES: usize = 7;

/// Short identifier of a route in evidence, equal at all nodes that run the same release of
/// Swiftcart.
#[derive(
    Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct RouteTag(pub u32);

impl RouteTag {
    /// Tag of all routes that are not reported separately.
    pub const OTHERS: Self = Self(0);
}

impl From<RouteKey> for RouteTag {
    fn from(route: RouteKey) -> Self {
        // 0 is reserved for `OTHERS`. Two routes of one service collide with a probability of two
        // in four billion.
        Self((route.number() >> 32) as u32 | 1)
    }
}

/// Request statistics of one route.
#[derive(Debug, Default, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RouteStats {
    /// Completed requests.
    pub runs: u32,
    /// Failed requests.
    pub failed: u32,
    /// Latency histogram: requests per latency bucket, without the empty buckets at the end.
    pub times: Vec<u32>,
}

impl RouteStats {
    /// Records a completed request that took `time`.
    pub fn record(&mut self, failed: bool, time: Duration) {
        self.runs = self.runs.saturating_add(1);
        self.failed = self.failed.saturating_add(u32::from(failed));
        let bucket = latency_bucket(time);
        if self.times.len() <= bucket {
            self.times.resize(bucket + 1, 0);
        }
        self.times[bucket] = self.times[bucket].saturating_add(1);
    }

    /// Returns the number of requests in latency buckets above `bucket`.
    #[must_use]
    pub fn slower_than(&self, bucket: usize) -> u32 {
        self.times.iter().skip(bucket + 1).sum()
    }

    /// Adds the counts of `other`.
    pub fn merge(&mut self, other: &Self) {
        self.runs = self.runs.saturating_add(other.runs);
        self.failed = self.failed.saturating_add(other.failed);
        if self.times.len() < other.times.len() {
            self.times.resize(other.times.len(), 0);
        }
        for (sum, more) in self.times.iter_mut().zip(&other.times) {
            *sum = sum.saturating_add(*more);
        }
    }

    /// Returns the difference between these counts and the `earlier` ones.
    #[must_use]
    pub fn since(&self, earlier: &Self) -> Self {
        let earlier_count = |bucket: usize| earlier.times.get(bucket).copied().unwrap_or(0);
        let times = self.times.iter().enumerate();
        Self {
            runs: self.runs.saturating_sub(earlier.runs),
            failed: self.failed.saturating_sub(earlier.failed),
            times: times
                .map(|(i, count)| count.saturating_sub(earlier_count(i)))
                .collect(),
        }
    }
}

/// Report of a guard about its backend server. All counts are cumulative since the start of
/// `epoch`.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Evidence {
    /// Service of the backend server.
    pub service: ServiceName,
    /// Order that the report belongs to.
    pub order: OrderId,
    /// Side of the backend server in the roll-out.
    pub side: Side,
    /// Identifier of the counting period. All counts restart at zero with a new epoch.
    pub epoch: u32,
    /// Set if the backend server is ready and has warmed up.
    pub ready: bool,
    /// Set if the backend server is given new requests.
    pub open: bool,
    /// Requests that the backend server was given.
    pub arrived: u64,
    /// Requests in flight at the backend server.
    pub running: u32,
    /// Statistics of the completed requests by route.
    pub routes: Vec<(RouteTag, RouteStats)>,
}

/// Request counters of one backend server during a roll-out.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct TrialStats {
    arrived: u64,
    routes: BTreeMap<RouteTag, RouteStats>,
}

impl TrialStats {
    /// Counts a request that is handed to the backend server.
    pub const fn arrived(&mut self) {
        self.arrived = self.arrived.saturating_add(1);
    }

    /// Returns the number of requests that were handed to the backend server.
    #[must_use]
    pub const fn arrivals(&self) -> u64 {
        self.arrived
    }

    /// Records a completed request.
    pub fn ended(&mut self, route: RouteTag, failed: bool, time: Duration) {
        let known = self.routes.contains_key(&route);
        let route = match known || self.routes.len() < MAX_ROUTES {
            true => route,
            false => RouteTag::OTHERS,
        };
        self.routes.entry(route).or_default().record(failed, time);
    }

    /// Returns the statistics by route. Routes with few requests are merged into `OTHERS`.
    #[must_use]
    pub fn routes(&self) -> Vec<(RouteTag, RouteStats)> {
        let mut routes: Vec<_> = self.routes.iter().map(|(r, t)| (*r, t.clone())).collect();
        routes.sort_by_key(|(_, stats)| std::cmp::Reverse(stats.runs));
        let rest = routes.split_off(routes.len().min(MAX_REPORTED_ROUTES));
        let mut others = RouteStats::default();
        rest.iter().for_each(|(_, stats)| others.merge(stats));
        if others.runs > 0 {
            routes.push((RouteTag::OTHERS, others));
        }
        routes
    }
}

/// Returns the latency bucket of a time: twice the binary logarithm of its milliseconds.
fn latency_bucket(time: Duration) -> usize {
    let ms = (time.as_secs_f64() * 1e3).max(1.0);
    ((ms.log2() * 2.0) as usize).min(LATENCY_BUCKETS - 1)
}

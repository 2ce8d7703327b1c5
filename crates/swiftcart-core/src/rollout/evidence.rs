//! What the nodes beside a service's backend servers see of them during a roll-out.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{OrderId, Side};
use crate::{RouteKey, ServiceName};

/// The classes of times, each a factor of 1.41 wide, from 1 ms to 3 s and more.
const TIMES: usize = 24;

/// The routes that a node counts apart. Beyond them requests are counted together.
const ROUTES: usize = 64;

/// The routes that one message tells apart, those with the most requests; with 24 times each they
/// fit one datagram.
const ROUTES_TOLD: usize = 7;

/// A route as evidence names it: the same at all nodes of one release.
#[derive(
    Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct RouteTag(pub u32);

impl RouteTag {
    /// Stands for all routes that are not told apart.
    pub const OTHERS: Self = Self(0);
}

impl From<RouteKey> for RouteTag {
    fn from(route: RouteKey) -> Self {
        // 0 is taken; two routes of one service in four billion meet.
        Self((route.number() >> 32) as u32 | 1)
    }
}

/// How the requests of one route went.
#[derive(Debug, Default, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RouteStats {
    /// Requests that ended.
    pub runs: u32,
    /// Those that failed.
    pub failed: u32,
    /// How many took how long, by class; classes at the end that are empty are left out.
    pub times: Vec<u32>,
}

impl RouteStats {
    /// Counts a request that took `time`.
    pub fn count(&mut self, failed: bool, time: Duration) {
        self.runs = self.runs.saturating_add(1);
        self.failed = self.failed.saturating_add(u32::from(failed));
        let class = class(time);
        if self.times.len() <= class {
            self.times.resize(class + 1, 0);
        }
        self.times[class] = self.times[class].saturating_add(1);
    }

    /// Returns how many took longer than those of class `limit`.
    #[must_use]
    pub fn above(&self, limit: usize) -> u32 {
        self.times.iter().skip(limit + 1).sum()
    }

    /// Adds what `other` counted.
    pub fn add(&mut self, other: &Self) {
        self.runs = self.runs.saturating_add(other.runs);
        self.failed = self.failed.saturating_add(other.failed);
        if self.times.len() < other.times.len() {
            self.times.resize(other.times.len(), 0);
        }
        for (sum, more) in self.times.iter_mut().zip(&other.times) {
            *sum = sum.saturating_add(*more);
        }
    }

    /// Returns what was counted since `earlier`.
    #[must_use]
    pub fn since(&self, earlier: &Self) -> Self {
        let before = |class: usize| earlier.times.get(class).copied().unwrap_or(0);
        let times = self.times.iter().enumerate();
        Self {
            runs: self.runs.saturating_sub(earlier.runs),
            failed: self.failed.saturating_sub(earlier.failed),
            times: times.map(|(i, n)| n.saturating_sub(before(i))).collect(),
        }
    }
}

/// What a node tells of its backend server; all counts since one point in time.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Evidence {
    /// The service.
    pub service: ServiceName,
    /// The order that it is told for.
    pub order: OrderId,
    /// Which side the backend server is on.
    pub side: Side,
    /// Names the point in time since which the counts run.
    pub epoch: u32,
    /// Whether the backend server is ready and has warmed up.
    pub ready: bool,
    /// Whether it is given new work.
    pub open: bool,
    /// Requests that it was handed.
    pub arrived: u64,
    /// Requests that it runs.
    pub running: u32,
    /// How they went, by route.
    pub routes: Vec<(RouteTag, RouteStats)>,
}

/// Counts what one backend server does during a roll-out.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct TrialStats {
    arrived: u64,
    routes: BTreeMap<RouteTag, RouteStats>,
}

impl TrialStats {
    /// Counts a request that the backend server is handed.
    pub const fn arrived(&mut self) {
        self.arrived = self.arrived.saturating_add(1);
    }

    /// Returns how many it was handed.
    #[must_use]
    pub const fn arrivals(&self) -> u64 {
        self.arrived
    }

    /// Counts a request that ended.
    pub fn ended(&mut self, route: RouteTag, failed: bool, time: Duration) {
        let known = self.routes.contains_key(&route);
        let route = match known || self.routes.len() < ROUTES {
            true => route,
            false => RouteTag::OTHERS,
        };
        self.routes.entry(route).or_default().count(failed, time);
    }

    /// Returns the counts by route, those with few requests together.
    #[must_use]
    pub fn routes(&self) -> Vec<(RouteTag, RouteStats)> {
        let mut routes: Vec<_> = self.routes.iter().map(|(r, t)| (*r, t.clone())).collect();
        routes.sort_by_key(|(_, tally)| std::cmp::Reverse(tally.runs));
        let rest = routes.split_off(routes.len().min(ROUTES_TOLD));
        let mut others = RouteStats::default();
        rest.iter().for_each(|(_, tally)| others.add(tally));
        if others.runs > 0 {
            routes.push((RouteTag::OTHERS, others));
        }
        routes
    }
}

/// Returns the class of a time: twice the binary logarithm of its milliseconds.
fn class(time: Duration) -> usize {
    let ms = (time.as_secs_f64() * 1e3).max(1.0);
    ((ms.log2() * 2.0) as usize).min(TIMES - 1)
}

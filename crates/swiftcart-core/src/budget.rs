//! A budget of retries that all nodes of a mesh keep together, without a message.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::{Instant, ServiceName};

/// The part of the mesh's budget that retries of refused requests may use.
///
/// The rest is for what the nodes count too late: the calls that backend servers make while
/// they execute retries count as well, and come after the retries were allowed. With 0.85 a
/// day at 71 instances reached 1.06 of its budget.
const REFUSED_SHARE: f64 = 0.5;

/// The part of it that retries of refused requests may use which must not be executed twice.
///
/// What lies above the share of the others is theirs alone: their callers may repeat them
/// after a refusal only, and they weigh twice as much on all of the users' routes.
const REFUSED_ONCE_SHARE: f64 = 0.7;

/// The part of it that retries of failed requests may use. Each of them executes the
/// request once more, with all its calls.
const FAILED_SHARE: f64 = 0.3;

/// Tells what became of the try before a retry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RetryCause {
    /// The backend server did not execute it.
    Refused,
    /// The backend server did not execute it, and it must not be executed twice.
    RefusedNonIdempotent,
    /// It was executed, or may have been.
    Failed,
}

impl RetryCause {
    const fn share(self) -> f64 {
        match self {
            Self::Refused => REFUSED_SHARE,
            Self::RefusedNonIdempotent => REFUSED_ONCE_SHARE,
            Self::Failed => FAILED_SHARE,
        }
    }
}

/// Sets the budget of the whole mesh at each service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct MeshRetryBudgetSettings {
    /// Retries for each request, over the window.
    pub share: f64,
    /// Retries in the window that are there whatever the load, over all nodes.
    pub floor: f64,
    /// The window, in seconds.
    pub window_s: u32,
}

/// Bounds this node's part of the retries at each service over a sliding window.
///
/// A node may use the share of the requests that it took itself, and the floor divided by
/// the number of live nodes; so the sum over all nodes stays below the mesh's budget while
/// they agree on that number. The calls that a backend server makes while it executes a
/// retry are retries as well; nobody can tell them from first calls, so each call counts
/// by the share of retries among what the backend server beside the node is executing.
///
/// # Examples
///
/// ```
/// use swiftcart_core::{MeshRetryBudget, MeshRetryBudgetSettings, Instant, RetryCause, ServiceName};
///
/// let settings = MeshRetryBudgetSettings { share: 0.2, floor: 4.0, window_s: 10 };
/// let mut budget = MeshRetryBudget::new(settings);
/// let (now, booking) = (Instant::from_millis(0), ServiceName::new("booking"));
/// assert!(budget.take(now, &booking, 2, RetryCause::Refused));
/// assert!(!budget.take(now, &booking, 2, RetryCause::Refused));
/// ```
#[derive(Debug, Clone, PartialEq)]
pub struct MeshRetryBudget {
    settings: MeshRetryBudgetSettings,
    services: BTreeMap<ServiceName, Window>,
}

/// What happened at one service in each second of the window.
#[derive(Debug, Default, Clone, PartialEq)]
struct Window {
    /// The number of the current second.
    second: u64,
    current: Counts,
    /// The seconds before it, the oldest first.
    past: VecDeque<Counts>,
}

#[derive(Debug, Default, Clone, Copy, PartialEq)]
struct Counts {
    requests: u32,
    retries: f64,
}

impl MeshRetryBudget {
    /// Creates the budget of a node that has taken nothing yet.
    #[must_use]
    pub const fn new(settings: MeshRetryBudgetSettings) -> Self {
        Self {
            settings,
            services: BTreeMap::new(),
        }
    }

    /// Counts a request for `service`, which may be a call of a retry by the chance `repeated`.
    pub fn first(&mut self, now: Instant, service: &ServiceName, repeated: f64) {
        let counts = self.second(now, service);
        counts.requests = counts.requests.saturating_add(1);
        counts.retries += repeated;
    }

    /// Takes one retry at `service` out of the budget, if `nodes` live nodes leave one.
    pub fn take(
        &mut self,
        now: Instant,
        service: &ServiceName,
        nodes: usize,
        cause: RetryCause,
    ) -> bool {
        let settings = self.settings;
        self.second(now, service);
        let Some(window) = self.services.get(service) else {
            return false;
        };
        let total = window.total();
        let own = settings.share * f64::from(total.requests);
        let floor = settings.floor / nodes.max(1) as f64;
        let there = total.retries + 1.0 <= cause.share() * (own + floor);
        if there {
            let counts = self.second(now, service);
            counts.retries += 1.0;
        }
        there
    }

    /// Returns the counts of the current second, after moving the window up to it.
    fn second(&mut self, now: Instant, service: &ServiceName) -> &mut Counts {
        let length = u64::from(self.settings.window_s.max(1));
        let window = self.services.entry(service.clone()).or_default();
        window.advance(now.elapsed(), length);
        &mut window.current
    }
}

impl Window {
    fn advance(&mut self, now: Duration, length: u64) {
        let second = now.as_secs();
        for _ in 0..second.saturating_sub(self.second).min(length) {
            self.past.push_back(std::mem::take(&mut self.current));
        }
        self.second = self.second.max(second);
        while self.past.len() as u64 >= length {
            self.past.pop_front();
        }
    }

    fn total(&self) -> Counts {
        let seconds = self.past.iter().chain([&self.current]);
        seconds.fold(Counts::default(), |sum, second| Counts {
            requests: sum.requests.saturating_add(second.requests),
            retries: sum.retries + second.retries,
        })
    }
}

//! Retry budget of a whole mesh, enforced by each node without coordination.

mod demand;

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::{AskClass, Instant, ServiceName};
use demand::RetryDemand;

/// Fraction of the mesh's budget available to retries of refused requests.
///
/// The rest is reserved for retries that the nodes count late: calls made by backend servers while
/// executing a retry also count, but only after the retry was allowed.
const REFUSED_SHARE: f64 = 0.5;

/// Fraction of the mesh's budget available to retries of refused non-idempotent requests.
///
/// The part above the fraction for other refused requests is reserved for these requests, because
/// their callers may repeat them only after a refusal and they weigh twice as much on all user
/// routes.
const REFUSED_NON_IDEMPOTENT_SHARE: f64 = 0.7;

/// Fraction of the mesh's budget available to retries of failed requests. Each of these retries
/// executes the request again, with all its calls.
const FAILED_SHARE: f64 = 0.3;

/// Outcome of the attempt before a retry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RetryCause {
    /// The backend server did not execute the request.
    Refused,
    /// The backend server did not execute the request, which must not be executed twice.
    RefusedNonIdempotent,
    /// The request was executed, or may have been.
    Failed,
}

impl RetryCause {
    /// Returns the fraction of the mesh's budget available to retries for this cause.
    const fn share(self) -> f64 {
        match self {
            Self::Refused => REFUSED_SHARE,
            Self::RefusedNonIdempotent => REFUSED_NON_IDEMPOTENT_SHARE,
            Self::Failed => FAILED_SHARE,
        }
    }
}

/// Settings for the retry budget of the whole mesh, which applies to each service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct MeshRetryBudgetSettings {
    /// Retries allowed per request within the window.
    pub share: f64,
    /// Retries allowed within the window regardless of the load, over all nodes.
    pub floor: f64,
    /// Length of the sliding window in seconds.
    pub window_s: u32,
}

/// Share of one node in the mesh's retry budget for each service, over a sliding window.
///
/// A node may use the share of the requests that it accepted itself, plus the floor divided by the
/// number of live nodes. The sum over all nodes therefore stays below the mesh's budget while the
/// nodes agree on that number. Calls that a backend server makes while executing a retry count as
/// retries too, but cannot be told apart from first calls. Each call is therefore weighted with the
/// share of retries among the requests that the local backend server is executing.
///
/// # Examples
///
/// ```
/// use swiftcart_core::{
///     Instant, MeshRetryBudget, MeshRetryBudgetSettings, RetryCause, ServiceName,
/// };
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

/// Requests and retries at one service in each second of the window.
#[derive(Debug, Default, Clone, PartialEq)]
struct Window {
    /// Number of the current second.
    second: u64,
    current: Counts,
    /// Counts of the preceding seconds, oldest first.
    past: VecDeque<Counts>,
    demand: RetryDemand,
}

#[derive(Debug, Default, Clone, PartialEq)]
struct Counts {
    requests: u32,
    retries: f64,
    /// Retries taken by requests of a known class.
    by_class: BTreeMap<AskClass, u32>,
}

impl MeshRetryBudget {
    /// Creates a budget of which nothing has been used.
    #[must_use]
    pub const fn new(settings: MeshRetryBudgetSettings) -> Self {
        Self {
            settings,
            services: BTreeMap::new(),
        }
    }

    /// Records a request for `service`, which is part of a retry with probability `repeated`.
    pub fn first(&mut self, now: Instant, service: &ServiceName, repeated: f64) {
        let counts = &mut self.window(now, service).current;
        counts.requests = counts.requests.saturating_add(1);
        counts.retries += repeated;
    }

    /// Takes one retry at `service` out of the budget and returns `true` if this node's share, with
    /// `nodes` live nodes, has one left.
    pub fn take(
        &mut self,
        now: Instant,
        service: &ServiceName,
        nodes: usize,
        cause: RetryCause,
    ) -> bool {
        let settings = self.settings;
        let window = self.window(now, service);
        window.take(settings, nodes, cause, 0.0)
    }

    /// Takes one retry like [`take`](Self::take), but leaves the retries that requests of more
    /// urgent classes are expected to need.
    ///
    /// A service that refuses requests although it has room uses up the budget within seconds. If
    /// retries were taken in the order of arrival, urgent requests would find the budget empty. The
    /// retries that more urgent classes asked for in the last second are projected over the window,
    /// less those that they have taken already.
    ///
    /// # Examples
    ///
    /// ```
    /// use swiftcart_core::{
    ///     AskClass, Instant, MeshRetryBudget, MeshRetryBudgetSettings, Priority,
    ///     RetryCause, ServiceName,
    /// };
    ///
    /// let settings = MeshRetryBudgetSettings { share: 0.2, floor: 20.0, window_s: 10 };
    /// let mut budget = MeshRetryBudget::new(settings);
    /// let (now, booking) = (Instant::from_millis(0), ServiceName::new("booking"));
    /// let class = |n| AskClass { priority: Priority(n), ..AskClass::default() };
    /// let mut take = |n| budget.take_for(now, &booking, 1, RetryCause::Refused, class(n));
    /// assert!(take(1), "no more urgent request needs a retry");
    /// assert!(take(0));
    /// assert!(!take(1), "ten retries are expected to be needed for urgent requests");
    /// assert!(take(0));
    /// ```
    pub fn take_for(
        &mut self,
        now: Instant,
        service: &ServiceName,
        nodes: usize,
        cause: RetryCause,
        class: AskClass,
    ) -> bool {
        let settings = self.settings;
        let window = self.window(now, service);
        window.demand.record(now.elapsed(), class);
        let reserved = window.reserved(class, settings.window_s);
        let taken = window.take(settings, nodes, cause, reserved);
        if taken {
            *window.current.by_class.entry(class).or_default() += 1;
        }
        taken
    }

    /// Advances the window of a service to the current second and returns it.
    fn window(&mut self, now: Instant, service: &ServiceName) -> &mut Window {
        let length = u64::from(self.settings.window_s.max(1));
        let window = self.services.entry(service.clone()).or_default();
        window.advance(now.elapsed(), length);
        window
    }
}

impl Window {
    /// Advances to the second of `now`, and drops counts older than `length` seconds.
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

    /// Takes one retry if the budget has one left besides `reserved` ones.
    fn take(
        &mut self,
        settings: MeshRetryBudgetSettings,
        nodes: usize,
        cause: RetryCause,
        reserved: f64,
    ) -> bool {
        let requests: u32 = self.seconds().map(|second| second.requests).sum();
        let retries: f64 = self.seconds().map(|second| second.retries).sum();
        let own = settings.share * f64::from(requests);
        let floor = settings.floor / nodes.max(1) as f64;
        let available = retries + reserved + 1.0 <= cause.share() * (own + floor);
        if available {
            self.current.retries += 1.0;
        }
        available
    }

    /// Returns the retries that classes more urgent than `class` are expected to need beyond those
    /// that they have taken in the window.
    fn reserved(&self, class: AskClass, window_s: u32) -> f64 {
        let expected = self.demand.ahead_of(class) * f64::from(window_s.max(1));
        let taken = |second: &Counts| second.by_class.range(..class).map(|(_, n)| n).sum::<u32>();
        let taken: u32 = self.seconds().map(taken).sum();
        (expected - f64::from(taken)).max(0.0)
    }

    /// Returns the counts of each second of the window.
    fn seconds(&self) -> impl Iterator<Item = &Counts> {
        self.past.iter().chain([&self.current])
    }
}

//! Admission control at the guard of one backend server.
//!
//! The guard runs, queues or refuses each request. A concurrency limit, the rate named by the
//! backend server and the rate of the instance's link bound what runs.

mod admission_state;
mod capacity;
mod egress_limiter;
mod limit;
mod pace_estimator;
mod queue;
mod refusals;
mod request;
mod running;
mod service_times;
mod settings;
mod target_estimator;
mod throttle;
mod ticket;

use std::collections::HashMap;
use std::time::Duration;

use rand::Rng;

use crate::rate::RetryScheduler;
use crate::{
    CallResult, Instant, Limits, Load, LoadBelief, Pace, Reason, Refusal, Sample, ServerRate,
    Slowdown, StatedLoad,
};
pub use admission_state::AdmissionState;
pub use egress_limiter::EgressLimiter;
use limit::AdaptiveLimit;
pub use limit::{LimitRule, LimitSettings};
use pace_estimator::PaceEstimator;
pub use queue::QueueOrder;
use queue::{Queue, Waiting};
use refusals::FAILOVER_RETRY_DELAY;
use request::Urgency;
pub use request::{AdmissionRequest, QueueWait, ResponseLength};
use running::Running;
use service_times::ServiceTimes;
pub use settings::AdmissionSettings;
use target_estimator::TargetEstimator;
use throttle::Throttle;
pub use ticket::{Admit, Refused, Ticket};

/// Maximum number of slots taken from an announcement, so that the state of a guard stays bounded.
const MAX_SLOTS: u32 = 4096;

/// Weight of one sample in the moving averages of service time and pace.
const EWMA_WEIGHT: f64 = 1.0 / 32.0;

/// Admission control of one backend server.
///
/// At most `min(announced slots, the table's concurrency, the adaptive limit)` requests run
/// concurrently. The rate that the backend server has named bounds the requests that start in a
/// second. A short queue holds requests that are expected to start in time. All other requests are
/// refused at once. The retry delay of a refusal for lack of slots or rate follows from the
/// expected time to drain the queue and to serve the callers refused before, so that callers do not
/// retry in step.
///
/// Every ticket ends in exactly one way: by [`Admission::done`], by [`Admission::cancel`], by
/// [`Admission::withdraw`], or by being returned as [`Refused`].
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use rand::{SeedableRng, rngs::SmallRng};
/// use swiftcart_core::{
///     Admission, AdmissionSettings, Admit, CallResult, Deadline, Instant, Sample,
/// };
///
/// let mut rng = SmallRng::seed_from_u64(1);
/// let now = Instant::from_millis(0);
/// let due = Deadline::new(now, Duration::from_secs(1));
/// let mut guard = Admission::new(now, AdmissionSettings::default()).with_slots(1);
/// let Admit::Run(first) = guard.offer(now, due, &mut rng) else { unreachable!() };
/// let Admit::Queue(second) = guard.offer(now, due, &mut rng) else { unreachable!() };
/// assert!(matches!(guard.offer(now, due, &mut rng), Admit::Refuse(_)));
///
/// let later = Instant::from_millis(20);
/// let sample = Sample::new(later.since(now), CallResult::Success);
/// assert_eq!(guard.done(first, later, &sample), [second]);
/// ```
#[derive(Debug, Clone, PartialEq)]
pub struct Admission {
    settings: AdmissionSettings,
    state: AdmissionState,
    /// Announced slots, bounded by the table's concurrency and [`MAX_SLOTS`].
    slots: u32,
    limit: AdaptiveLimit,
    throttle: Throttle,
    running: HashMap<Ticket, Running>,
    queue: Queue,
    next_ticket: u64,
    service_times: ServiceTimes,
    pace_estimator: PaceEstimator,
    egress_limiter: EgressLimiter,
    /// Current queueing delay of the instance's link.
    link_delay: Duration,
    targets: TargetEstimator,
    promises: RetryScheduler,
    /// Belief in the load that the backend server states.
    belief: LoadBelief,
    /// Time of the last request for which other guards had no free slot.
    crowded_at: Option<Instant>,
    /// Requests displaced from the queue by more urgent requests and not yet returned.
    displaced: Vec<Refused>,
}

impl Admission {
    /// Creates an admission control without slots, which refuses every request.
    #[must_use]
    pub fn new(now: Instant, settings: AdmissionSettings) -> Self {
        Self {
            settings,
            state: AdmissionState::Open,
            slots: 0,
            limit: AdaptiveLimit::new(0, settings.limit),
            throttle: Throttle::default(),
            running: HashMap::new(),
            queue: Queue::default(),
            next_ticket: 0,
            service_times: ServiceTimes::default(),
            pace_estimator: PaceEstimator::default(),
            egress_limiter: EgressLimiter::new(settings.link),
            link_delay: Duration::ZERO,
            targets: TargetEstimator::default(),
            promises: RetryScheduler::new(now),
            belief: LoadBelief::default(),
            crowded_at: None,
            displaced: Vec::new(),
        }
    }

    /// Sets the slots that the backend server announces, with the default limits of the table.
    #[must_use]
    pub fn with_slots(mut self, slots: u32) -> Self {
        self.resize(slots, Limits::default());
        self
    }

    /// Applies an announcement and the table's limits, and returns the requests to start.
    pub fn set_slots(&mut self, now: Instant, slots: u32, limits: Limits) -> Vec<Ticket> {
        self.resize(slots, limits);
        self.start_queued(now)
    }

    /// Applies the rate that the backend server names in its responses, and returns the requests
    /// to start.
    pub fn set_rate(&mut self, now: Instant, rate: Option<ServerRate>) -> Vec<Ticket> {
        self.throttle.set_rate(now, rate);
        self.start_queued(now)
    }

    /// Applies the load that the backend server states in a response, and returns the requests to
    /// start.
    ///
    /// A statement without a pace has no effect. Apply the statement before the end of the request
    /// that it answers is recorded.
    pub fn set_stated_load(&mut self, now: Instant, stated: StatedLoad) -> Vec<Ticket> {
        if stated.pace.is_none() {
            return Vec::new();
        }
        self.belief.observe(now, stated, self.running());
        self.start_queued(now)
    }

    /// Sets the admission state, and returns the queued requests that are refused because of it.
    ///
    /// Running requests are not affected.
    pub fn set_admission_state(&mut self, state: AdmissionState) -> Vec<Refused> {
        self.state = state;
        let reason = match state {
            AdmissionState::Open | AdmissionState::Stopping => return Vec::new(),
            AdmissionState::Warming => Reason::Warming,
            AdmissionState::Draining => Reason::Draining,
        };
        let refusal = Refusal::new(reason).with_retry(FAILOVER_RETRY_DELAY);
        let refuse = |ticket| Refused { ticket, refusal };
        self.queue.drain().into_iter().map(refuse).collect()
    }

    /// Decides on a new request.
    ///
    /// The new request may displace a queued one, which [`Admission::displaced`] then returns.
    pub fn offer<R: Rng + ?Sized>(
        &mut self,
        now: Instant,
        request: impl Into<AdmissionRequest>,
        rng: &mut R,
    ) -> Admit {
        let request = request.into();
        let urgency = self.urgency(now, &request);
        self.targets.record(request.target);
        let queue_wait = self.queue_wait(now, &request);
        let wait = self.expected_wait(now, self.queue.ahead_of(urgency));
        if request.queue_wait == QueueWait::Full {
            self.crowded_at = Some(now);
        }
        let due = request.due;
        match self.state {
            AdmissionState::Warming => self.refuse_elsewhere(Reason::Warming, rng),
            AdmissionState::Draining => self.refuse_elsewhere(Reason::Draining, rng),
            AdmissionState::Stopping => self.refuse_elsewhere(Reason::Stopping, rng),
            AdmissionState::Open if self.limit() == 0 => {
                self.refuse_elsewhere(Reason::NotReady, rng)
            }
            AdmissionState::Open if due.misses(now, self.min_service_time(now)) => {
                Admit::Refuse(Refusal::new(Reason::DeadlinePassed))
            }
            AdmissionState::Open
                if request.queue_wait == QueueWait::Short && self.is_avoided(now) =>
            {
                Admit::Refuse(Refusal::new(Reason::Overloaded))
            }
            AdmissionState::Open if !self.egress_has_room(request.response_length) => {
                match self.link_wait() <= queue_wait && self.has_room(urgency) {
                    true => Admit::Queue(self.enqueue(now, request, rng)),
                    false => Admit::Refuse(self.link_busy_refusal()),
                }
            }
            // No queued request has to go first: each one that could start was started when
            // capacity became free. The others have expired or wait for the link.
            AdmissionState::Open if self.can_start(now) => {
                Admit::Run(self.start_now(now, &request))
            }
            AdmissionState::Open if !self.has_room(urgency) => {
                Admit::Refuse(self.refuse_busy(Reason::QueueFull, request.queue_wait, now, rng))
            }
            AdmissionState::Open
                if wait > queue_wait || due.misses(now, wait + self.min_service_time(now)) =>
            {
                let reason = self.busy_reason(now);
                Admit::Refuse(self.refuse_busy(reason, request.queue_wait, now, rng))
            }
            AdmissionState::Open => Admit::Queue(self.enqueue(now, request, rng)),
        }
    }

    /// Starts the queued requests that can start now, and returns their tickets.
    ///
    /// Call this method when the link may have capacity again or the rate limiter a token, since
    /// neither starts a request by itself.
    pub fn resume(&mut self, now: Instant) -> Vec<Ticket> {
        self.start_queued(now)
    }

    /// Returns the requests displaced from the queue since the last call.
    pub fn displaced(&mut self) -> Vec<Refused> {
        std::mem::take(&mut self.displaced)
    }

    /// Records a finished request, and returns the queued requests to start.
    pub fn done(&mut self, ticket: Ticket, now: Instant, sample: &Sample) -> Vec<Ticket> {
        if let Some(running) = self.remove(ticket) {
            self.record(now, sample, &running);
        }
        self.start_queued(now)
    }

    /// Records that the response head of a running request has arrived.
    ///
    /// `bytes` is the length of the response body, or 0 if the head does not state it.
    pub fn head(&mut self, ticket: Ticket, now: Instant, bytes: u64) {
        match self.running.get(&ticket) {
            Some(running) if running.response_length == ResponseLength::Long => {
                self.egress_limiter.head(now.since(running.start), bytes);
            }
            Some(_) | None => {}
        }
    }

    /// Sets the current queueing delay of the instance's link.
    pub const fn set_link_delay(&mut self, delay: Duration) {
        self.link_delay = delay;
    }

    /// Removes a request whose caller has disconnected, and returns the queued requests to start.
    pub fn cancel(&mut self, ticket: Ticket, now: Instant) -> Vec<Ticket> {
        if self.remove(ticket).is_none() {
            self.queue.remove(ticket);
        }
        self.start_queued(now)
    }

    /// Removes a request that was admitted but not forwarded to the backend server, and returns the
    /// queued requests to start.
    ///
    /// Unlike [`Admission::cancel`], this method gives the request's rate token back.
    pub fn withdraw(&mut self, ticket: Ticket, now: Instant) -> Vec<Ticket> {
        if self.running.contains_key(&ticket) {
            self.throttle.refund();
        }
        self.cancel(ticket, now)
    }

    /// Removes and returns the queued requests whose wait has ended, with their refusals.
    pub fn expire<R: Rng + ?Sized>(&mut self, now: Instant, rng: &mut R) -> Vec<Refused> {
        let late = self.queue.expire(now);
        let refuse = |waiting: Waiting| Refused {
            ticket: waiting.ticket,
            refusal: match waiting.reason {
                Reason::DeadlinePassed => Refusal::new(Reason::DeadlinePassed),
                reason => self.refuse_with_retry(reason, now, rng),
            },
        };
        late.into_iter().map(refuse).collect()
    }

    /// Returns the time at which [`Admission::expire`] has to be called next.
    #[must_use]
    pub fn next_expiry_at(&self) -> Option<Instant> {
        self.queue.next_expiry()
    }

    /// Returns the time at which the wait of a queued request ends, or `None` if it is not queued.
    #[must_use]
    pub fn wait_deadline(&self, ticket: Ticket) -> Option<Instant> {
        self.queue.until(ticket)
    }

    /// Returns the current concurrency limit.
    #[must_use]
    pub fn limit(&self) -> u32 {
        self.limit.value().min(self.slots)
    }

    /// Returns the number of running requests.
    #[must_use]
    pub fn running(&self) -> u32 {
        to_u32(self.running.len())
    }

    /// Returns the number of queued requests.
    #[must_use]
    pub fn queued(&self) -> u32 {
        to_u32(self.queue.len())
    }

    /// Returns the time at which a queued request may start even if no running one ends: the rate
    /// limit lets it start, or others no longer use the backend server's slots.
    ///
    /// Returns `None` if no request is queued, if this guard's requests use all slots, or if
    /// nothing else delays a start.
    #[must_use]
    pub fn next_start_at(&self, now: Instant) -> Option<Instant> {
        let others = match self.running() < self.places(now) {
            true => Duration::ZERO,
            false => self.belief.others_until().since(now),
        };
        let held = self.throttle.wait(now, 0).max(others);
        let waits = self.queue.len() > 0 && self.running() < self.limit();
        (waits && !held.is_zero()).then(|| now + held)
    }

    /// Returns the load to report with a response.
    #[must_use]
    pub fn load(&self) -> Load {
        Load {
            running: self.running(),
            queued: self.queued(),
            limit: self.effective_limit(),
        }
    }

    /// Returns the last statement of the backend server that includes its pace.
    #[must_use]
    pub const fn stated_load(&self) -> Option<StatedLoad> {
        self.belief.last()
    }

    /// Returns the slowdown that is part of the pace, or `None` if the backend server has not
    /// stated its pace.
    #[must_use]
    pub fn slowdown(&self, now: Instant) -> Option<Slowdown> {
        let stated = self.belief.last();
        stated.map(|_| Slowdown::from_factor(self.belief.slowdown(now)))
    }

    /// Returns the backend server's pace at this moment, or `None` before the first call with a
    /// latency target has ended.
    ///
    /// The pace is the usual pace times the slowdown that the backend server states. The ages of the
    /// running calls count as well, since they show that the backend server has become slow before
    /// any of these calls ends.
    #[must_use]
    pub fn pace(&self, now: Instant) -> Option<Pace> {
        let ages = self.running.values();
        self.pace_estimator.pace(
            self.belief.slowdown(now),
            ages.filter_map(|running| running.target_ratio(now)),
        )
    }

    /// Sets the slots to the announced number, bounded by the table's limits.
    fn resize(&mut self, slots: u32, limits: Limits) {
        let concurrency = match limits.concurrency {
            0 => u32::MAX,
            n => n,
        };
        self.slots = slots.min(concurrency).min(MAX_SLOTS);
        self.limit.set_ceiling(self.slots);
    }

    fn new_ticket(&mut self) -> Ticket {
        self.next_ticket += 1;
        Ticket(self.next_ticket)
    }

    /// Starts a new request without queueing it.
    fn start_now(&mut self, now: Instant, request: &AdmissionRequest) -> Ticket {
        let ticket = self.new_ticket();
        self.dispatch(now, ticket, request.target, request.response_length);
        ticket
    }

    /// Records a request that starts now.
    fn dispatch(
        &mut self,
        now: Instant,
        ticket: Ticket,
        target: Option<Duration>,
        response_length: ResponseLength,
    ) {
        if response_length == ResponseLength::Long {
            self.egress_limiter.begin();
        }
        self.throttle.take(now);
        let running = Running {
            in_flight: self.running() + 1,
            start: now,
            target,
            response_length,
            run: self.belief.begin(now),
        };
        self.running.insert(ticket, running);
    }

    /// Removes a running request.
    fn remove(&mut self, ticket: Ticket) -> Option<Running> {
        let running = self.running.remove(&ticket)?;
        if running.response_length == ResponseLength::Long {
            self.egress_limiter.end();
        }
        Some(running)
    }

    /// Displaces the least urgent requests of callers until the queue has a free place or holds
    /// none that is less urgent than `urgency`.
    fn make_room<R: Rng + ?Sized>(&mut self, now: Instant, urgency: Urgency, rng: &mut R) {
        while self.queue.len() >= self.queue_capacity() {
            let Some(least) = self.queue.displace(urgency) else {
                return;
            };
            let refusal = self.refuse_with_retry(Reason::QueueFull, now, rng);
            let ticket = least.ticket;
            self.displaced.push(Refused { ticket, refusal });
        }
    }

    /// Returns the sort key of a request in the queue.
    fn urgency(&self, now: Instant, request: &AdmissionRequest) -> Urgency {
        let default_wait = self.settings.wait;
        let p90_target = self.targets.p90().unwrap_or(default_wait);
        request.urgency(now, default_wait, p90_target)
    }

    /// Returns the maximum wait of a request in the queue.
    fn queue_wait(&self, now: Instant, request: &AdmissionRequest) -> Duration {
        let default_wait = self.settings.wait;
        let p90_target = self.targets.p90().unwrap_or(default_wait);
        request.longest_wait(now, default_wait, p90_target)
    }

    /// Queues a request, displacing a less urgent one if the queue is full.
    fn enqueue<R: Rng + ?Sized>(
        &mut self,
        now: Instant,
        request: AdmissionRequest,
        rng: &mut R,
    ) -> Ticket {
        self.make_room(now, self.urgency(now, &request), rng);
        let ticket = self.new_ticket();
        let latest = request.due.minus(self.min_service_time(now)).at();
        let queue_wait = now + self.queue_wait(now, &request);
        let reason = match queue_wait < latest {
            true => Reason::Overloaded,
            false => Reason::DeadlinePassed,
        };
        self.queue.push(Waiting {
            ticket,
            urgency: self.urgency(now, &request),
            until: latest.min(queue_wait),
            reason,
            target: request.target,
            response_length: request.response_length,
        });
        ticket
    }

    /// Starts queued requests while capacity is free, and returns their tickets.
    fn start_queued(&mut self, now: Instant) -> Vec<Ticket> {
        let mut started = Vec::new();
        while self.can_start(now) {
            let queue_capacity = self.queue_capacity();
            let link_room = self.egress_limiter.has_room(self.link_delay);
            let Some(next) = self
                .queue
                .pop(now, self.settings.order, queue_capacity, link_room)
            else {
                break;
            };
            self.dispatch(now, next.ticket, next.target, next.response_length);
            started.push(next.ticket);
        }
        started
    }

    /// Records the time that a call would usually have taken.
    fn record(&mut self, now: Instant, sample: &Sample, running: &Running) {
        if sample.result != CallResult::Success {
            return;
        }
        let usual = Sample {
            latency: self.belief.finish(&running.run, now, sample.latency),
            ..*sample
        };
        self.service_times.record(usual.latency);
        self.pace_estimator.record(&usual);
        self.limit.record(usual.latency, running.in_flight);
    }
}

fn to_u32(n: usize) -> u32 {
    u32::try_from(n).unwrap_or(u32::MAX)
}

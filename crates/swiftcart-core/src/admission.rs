//! Admission at the guard of one backend server: how much runs, waits or is refused.

mod bid;
mod gate;
mod gauge;
mod limit;
mod outflow;
mod queue;
mod running;
mod settings;
mod targets;
mod throttle;
mod ticket;
mod times;

use std::collections::HashMap;
use std::time::Duration;

use rand::Rng;

use crate::rate::Promises;
use crate::{CallResult, Instant, Limits, Load, Pace, Reason, Refusal, Sample, ServerRate};
use bid::Urgency;
pub use bid::{AnswerLength, Bid, Patience};
pub use gate::Gate;
use gauge::PaceGauge;
use limit::AdaptiveLimit;
pub use limit::{LimitRule, LimitSettings};
pub use outflow::Outflow;
pub use queue::Order;
use queue::{Queue, Waiting};
use running::Running;
pub use settings::AdmissionSettings;
use targets::Targets;
use throttle::Throttle;
pub use ticket::{Admit, Refused, Ticket};
use times::Times;

/// The slots that are believed at most, so that no announcement grows the state without bound.
const MOST_SLOTS: u32 = 4096;

/// The weight of one sample in the mean time that a call runs.
const TIME_WEIGHT: f64 = 1.0 / 32.0;

/// The time to come back after, when another backend server has to be found.
const ELSEWHERE: Duration = Duration::from_millis(500);

/// Decides at a guard what its backend server is given.
///
/// At most `min(announced slots, the table's concurrency, the adaptive limit)`
/// requests run, and no more start in a second than the backend server has named. A short queue takes what is expected to start in time; all else
/// is refused at once, with a time to come back that follows from the expected
/// drain of the queue and of those refused before, so that callers do not come
/// back in step.
///
/// Every ticket ends in exactly one way: by [`Admission::done`], by
/// [`Admission::cancel`], or by being returned as [`Refused`].
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
    gate: Gate,
    /// The announced slots, cut to the table's concurrency.
    slots: u32,
    limit: AdaptiveLimit,
    throttle: Throttle,
    running: HashMap<Ticket, Running>,
    queue: Queue,
    next: u64,
    times: Times,
    gauge: PaceGauge,
    outflow: Outflow,
    /// How long what leaves the instance waits for its link.
    delay: Duration,
    targets: Targets,
    promises: Promises,
    /// Requests that had to make room for more urgent ones.
    displaced: Vec<Refused>,
}

impl Admission {
    /// Creates an admission without slots.
    #[must_use]
    pub fn new(now: Instant, settings: AdmissionSettings) -> Self {
        Self {
            settings,
            gate: Gate::Open,
            slots: 0,
            limit: AdaptiveLimit::new(0, settings.limit),
            throttle: Throttle::default(),
            running: HashMap::new(),
            queue: Queue::default(),
            next: 0,
            times: Times::default(),
            gauge: PaceGauge::default(),
            outflow: Outflow::new(settings.link),
            delay: Duration::ZERO,
            targets: Targets::default(),
            promises: Promises::new(now),
            displaced: Vec::new(),
        }
    }

    /// Sets the slots that the backend server announces.
    #[must_use]
    pub fn with_slots(mut self, slots: u32) -> Self {
        self.resize(slots, Limits::default());
        self
    }

    /// Takes over an announcement and the table's limits; returns the requests to start.
    pub fn set_slots(&mut self, now: Instant, slots: u32, limits: Limits) -> Vec<Ticket> {
        self.resize(slots, limits);
        self.start(now)
    }

    /// Takes over the rate that the backend server names in its answers; returns the requests to start.
    pub fn set_rate(&mut self, now: Instant, rate: Option<ServerRate>) -> Vec<Ticket> {
        self.throttle.set_rate(now, rate);
        self.start(now)
    }

    /// Opens or closes for new work; returns the waiting requests that are refused for it.
    ///
    /// What runs goes on in any case.
    pub fn set_gate(&mut self, gate: Gate) -> Vec<Refused> {
        self.gate = gate;
        let reason = match gate {
            Gate::Open | Gate::Stopping => return Vec::new(),
            Gate::Warming => Reason::Warming,
            Gate::Draining => Reason::Draining,
        };
        let refusal = Refusal::new(reason).with_retry(ELSEWHERE);
        let refuse = |ticket| Refused { ticket, refusal };
        self.queue.drain().into_iter().map(refuse).collect()
    }

    /// Decides on a new request.
    ///
    /// It may make a waiting request give way, see [`Admission::displaced`].
    pub fn offer<R: Rng + ?Sized>(
        &mut self,
        now: Instant,
        bid: impl Into<Bid>,
        rng: &mut R,
    ) -> Admit {
        let bid = bid.into();
        let urgency = self.urgency(now, &bid);
        self.targets.note(bid.target);
        let patience = self.patience(&bid);
        let wait = self.expected_wait(now, self.queue.ahead_of(urgency));
        let crowd = match self.running() < self.limit() {
            true => Reason::Throttled,
            false => Reason::Overloaded,
        };
        let due = bid.due;
        match self.gate {
            Gate::Warming => self.elsewhere(Reason::Warming, rng),
            Gate::Draining => self.elsewhere(Reason::Draining, rng),
            Gate::Stopping => self.elsewhere(Reason::Stopping, rng),
            Gate::Open if self.limit() == 0 => self.elsewhere(Reason::NotReady, rng),
            Gate::Open if due.misses(now, self.times.quickest()) => {
                Admit::Refuse(Refusal::new(Reason::DeadlinePassed))
            }
            Gate::Open if !self.may_leave(bid.answer) => match self.link_wait() <= patience {
                true if self.has_room(urgency) => Admit::Queue(self.wait(now, bid, rng)),
                true | false => Admit::Refuse(self.link_busy()),
            },
            // What waits was started as long as there was a place; the rest has expired.
            Gate::Open if self.has_place(now) => Admit::Run(self.run(now, &bid)),
            Gate::Open if !self.has_room(urgency) => {
                Admit::Refuse(self.crowded(Reason::QueueFull, bid.patience, now, rng))
            }
            Gate::Open if wait > patience || due.misses(now, wait + self.times.quickest()) => {
                Admit::Refuse(self.crowded(crowd, bid.patience, now, rng))
            }
            Gate::Open => Admit::Queue(self.wait(now, bid, rng)),
        }
    }

    /// Starts what waits and has a place by now: the link may have cleared since. Returns the
    /// requests to start.
    pub fn resume(&mut self, now: Instant) -> Vec<Ticket> {
        self.start(now)
    }

    /// Returns the waiting requests that had to make room since the last call.
    pub fn displaced(&mut self) -> Vec<Refused> {
        std::mem::take(&mut self.displaced)
    }

    /// Takes in a finished request; returns the waiting requests to start.
    pub fn done(&mut self, ticket: Ticket, now: Instant, sample: &Sample) -> Vec<Ticket> {
        if let Some(running) = self.remove(ticket) {
            self.learn(sample, running.among);
        }
        self.start(now)
    }

    /// Notes that the head of a running request's answer is there, and how many bytes follow;
    /// none when the head does not tell.
    pub fn head(&mut self, ticket: Ticket, now: Instant, bytes: u64) {
        match self.running.get(&ticket) {
            Some(running) if running.answer == AnswerLength::Long => {
                self.outflow.head(now.since(running.start), bytes);
            }
            Some(_) | None => {}
        }
    }

    /// Takes in how long what leaves the instance waits for its link.
    pub const fn set_delay(&mut self, delay: Duration) {
        self.delay = delay;
    }

    /// Takes out a request whose caller went away; returns the waiting requests to start.
    pub fn cancel(&mut self, ticket: Ticket, now: Instant) -> Vec<Ticket> {
        if self.remove(ticket).is_none() {
            self.queue.remove(ticket);
        }
        self.start(now)
    }

    /// Takes out a request that is not handed over after all, so that it does not count against the rate;
    /// returns the waiting requests to start.
    pub fn withdraw(&mut self, ticket: Ticket, now: Instant) -> Vec<Ticket> {
        if self.running.contains_key(&ticket) {
            self.throttle.give_back();
        }
        self.cancel(ticket, now)
    }

    /// Returns the waiting requests that are refused, since they cannot be answered in time.
    pub fn expire<R: Rng + ?Sized>(&mut self, now: Instant, rng: &mut R) -> Vec<Refused> {
        let late = self.queue.expire(now);
        let refuse = |w: Waiting| Refused {
            ticket: w.ticket,
            refusal: match w.reason {
                Reason::DeadlinePassed => Refusal::new(w.reason),
                reason => self.later(reason, now, rng),
            },
        };
        late.into_iter().map(refuse).collect()
    }

    /// Returns when [`Admission::expire`] has to be called next.
    #[must_use]
    pub fn wake_at(&self) -> Option<Instant> {
        self.queue.next_expiry()
    }

    /// Returns when a waiting request's wait ends, or `None` when it does not wait.
    #[must_use]
    pub fn waits_until(&self, ticket: Ticket) -> Option<Instant> {
        self.queue.until(ticket)
    }

    /// Returns the requests that may run at once.
    #[must_use]
    pub fn limit(&self) -> u32 {
        self.limit.value().min(self.slots)
    }

    /// Returns the requests that run.
    #[must_use]
    pub fn running(&self) -> u32 {
        to_u32(self.running.len())
    }

    /// Returns the requests that wait.
    #[must_use]
    pub fn queued(&self) -> u32 {
        to_u32(self.queue.len())
    }

    /// Returns when a waiting request may start although none ends before: when the rate lets it.
    #[must_use]
    pub fn starts_at(&self, now: Instant) -> Option<Instant> {
        let held = self.throttle.wait(now, 0);
        let waits = self.queue.len() > 0 && self.running() < self.limit();
        (waits && !held.is_zero()).then(|| now + held)
    }

    /// Returns the load to carry back on an answer.
    #[must_use]
    pub fn load(&self) -> Load {
        Load {
            running: self.running(),
            queued: self.queued(),
            limit: self.places(),
        }
    }

    /// Returns the requests that run at once on average when as many are given as are taken.
    fn places(&self) -> u32 {
        let mean = self.times.mean();
        let busy = self
            .throttle
            .rate()
            .zip(mean)
            .map(|(rate, mean)| rate * mean);
        busy.map_or(self.limit(), |busy| {
            (busy.ceil() as u32).clamp(1, self.limit().max(1))
        })
    }

    /// Returns the backend server's pace, once calls with a target have ended.
    ///
    /// Calls that run for long show a backend server that became slow before one of them
    /// ends.
    #[must_use]
    pub fn pace(&self, now: Instant) -> Option<Pace> {
        let ages = self.running.values();
        self.gauge
            .pace(ages.filter_map(|running| running.quotient(now)))
    }

    fn resize(&mut self, slots: u32, limits: Limits) {
        let concurrency = match limits.concurrency {
            0 => u32::MAX,
            n => n,
        };
        self.slots = slots.min(concurrency).min(MOST_SLOTS);
        self.limit.set_ceiling(self.slots);
    }

    fn ticket(&mut self) -> Ticket {
        self.next += 1;
        Ticket(self.next)
    }

    fn run(&mut self, now: Instant, bid: &Bid) -> Ticket {
        let ticket = self.ticket();
        self.hand_over(now, ticket, bid.target, bid.answer);
        ticket
    }

    fn hand_over(
        &mut self,
        now: Instant,
        ticket: Ticket,
        target: Option<Duration>,
        answer: AnswerLength,
    ) {
        if answer == AnswerLength::Long {
            self.outflow.begin();
        }
        self.throttle.take(now);
        let running = Running {
            among: self.running() + 1,
            start: now,
            target,
            answer,
        };
        self.running.insert(ticket, running);
    }

    fn remove(&mut self, ticket: Ticket) -> Option<Running> {
        let running = self.running.remove(&ticket)?;
        if running.answer == AnswerLength::Long {
            self.outflow.end();
        }
        Some(running)
    }

    /// Tells whether a request may start now.
    fn has_place(&self, now: Instant) -> bool {
        self.running() < self.limit() && self.throttle.is_open(now)
    }

    /// Tells whether the way out has room for an answer of this length.
    fn may_leave(&self, answer: AnswerLength) -> bool {
        match answer {
            AnswerLength::Short => true,
            AnswerLength::Long => self.outflow.has_room(self.delay),
        }
    }

    /// Returns when the link has room for one more long answer, behind those that wait for it.
    fn link_wait(&self) -> Duration {
        let each = self.outflow.each().unwrap_or(Duration::ZERO);
        self.delay + each * (to_u32(self.queue.long()) + 1)
    }

    /// Refuses a request whose answer would only wait.
    fn link_busy(&self) -> Refusal {
        Refusal::new(Reason::LinkBusy).with_retry(self.link_wait())
    }

    /// Tells whether a request would be within the queue's places, if need be in that of a
    /// less urgent one.
    fn has_room(&self, urgency: Urgency) -> bool {
        self.queue.ahead_of(urgency) < self.capacity()
    }

    /// Sends the least urgent requests away until there is a place.
    fn make_room<R: Rng + ?Sized>(&mut self, now: Instant, urgency: Urgency, rng: &mut R) {
        while self.queue.len() >= self.capacity() {
            let Some(least) = self.queue.displace(urgency) else {
                return;
            };
            let refusal = self.later(Reason::QueueFull, now, rng);
            let ticket = least.ticket;
            self.displaced.push(Refused { ticket, refusal });
        }
    }

    fn urgency(&self, now: Instant, bid: &Bid) -> Urgency {
        let usual = self.settings.wait;
        bid.urgency(now, usual, self.targets.long().unwrap_or(usual))
    }

    fn patience(&self, bid: &Bid) -> Duration {
        let usual = self.settings.wait;
        bid.longest_wait(usual, self.targets.long().unwrap_or(usual))
    }

    /// Has a request wait, in the place of a less urgent one if need be.
    fn wait<R: Rng + ?Sized>(&mut self, now: Instant, bid: Bid, rng: &mut R) -> Ticket {
        self.make_room(now, self.urgency(now, &bid), rng);
        let ticket = self.ticket();
        let latest = bid.due.minus(self.times.quickest()).at();
        let patience = now + self.patience(&bid);
        let reason = match patience < latest {
            true => Reason::Overloaded,
            false => Reason::DeadlinePassed,
        };
        self.queue.push(Waiting {
            ticket,
            urgency: self.urgency(now, &bid),
            until: latest.min(patience),
            reason,
            target: bid.target,
            answer: bid.answer,
        });
        ticket
    }

    /// Starts waiting requests while there is a place.
    fn start(&mut self, now: Instant) -> Vec<Ticket> {
        let mut started = Vec::new();
        while self.has_place(now) {
            let capacity = self.capacity();
            let room = self.outflow.has_room(self.delay);
            let Some(next) = self.queue.pop(now, self.settings.order, capacity, room) else {
                break;
            };
            self.hand_over(now, next.ticket, next.target, next.answer);
            started.push(next.ticket);
        }
        started
    }

    fn learn(&mut self, sample: &Sample, running: u32) {
        if sample.result != CallResult::Success {
            return;
        }
        self.times.learn(sample.latency);
        self.gauge.learn(sample);
        self.limit.learn(sample.latency, running);
    }

    /// Returns the requests that may wait.
    fn capacity(&self) -> usize {
        let most = f64::from(self.limit()) * self.settings.depth;
        (most.ceil() as usize).min(self.settings.queue as usize)
    }

    /// Returns the calls that the backend server finishes in a second, no more than it has named.
    fn throughput(&self) -> Option<f64> {
        let done = self.times.throughput(self.limit());
        match (done, self.throttle.rate()) {
            (Some(done), Some(rate)) => Some(done.min(rate)),
            (done, rate) => done.or(rate),
        }
    }

    /// Returns the wait to expect for a request that joins the queue behind `ahead` others: for a slot,
    /// and for the rate to let it start.
    fn expected_wait(&self, now: Instant, ahead: usize) -> Duration {
        let places = f64::from(to_u32(ahead)) + 1.0;
        let done = self.times.throughput(self.limit());
        let secs = done.map_or(0.0, |done| places / done);
        let slot = Duration::try_from_secs_f64(secs).unwrap_or(Duration::MAX);
        match self.running() < self.limit() {
            true => self.throttle.wait(now, ahead),
            false => slot.max(self.throttle.wait(now, ahead)),
        }
    }

    fn elsewhere<R: Rng + ?Sized>(&self, reason: Reason, rng: &mut R) -> Admit {
        let after = ELSEWHERE.mul_f64(1.0 + rng.random::<f64>());
        Admit::Refuse(Refusal::new(reason).with_retry(after))
    }

    /// Refuses a request for want of a place; one that asks on elsewhere needs no time to
    /// come back, and keeps none from others. Its ingress leaves the guard alone until a rate
    /// lets in what it sends next.
    fn crowded<R: Rng + ?Sized>(
        &mut self,
        reason: Reason,
        patience: Patience,
        now: Instant,
        rng: &mut R,
    ) -> Refusal {
        match (patience, reason) {
            (Patience::Full, _) | (_, Reason::Throttled) => self.later(reason, now, rng),
            (Patience::Short, _) => Refusal::new(reason),
        }
    }

    fn later<R: Rng + ?Sized>(&mut self, reason: Reason, now: Instant, rng: &mut R) -> Refusal {
        let wait = self.expected_wait(now, self.queue.len());
        let rate = self.throughput().unwrap_or(1.0);
        let after = self.promises.next(now, wait, rate, rng);
        Refusal::new(reason).with_retry(after)
    }
}

fn to_u32(n: usize) -> u32 {
    u32::try_from(n).unwrap_or(u32::MAX)
}

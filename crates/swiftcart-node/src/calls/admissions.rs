//! Admission control for one backend server: applies the decisions of [`Admission`] and wakes
//! waiting requests.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use swiftcart_core::{
    Admission, AdmissionRequest, AdmissionSettings, AdmissionState, Admit, CallResult, Instant,
    Limits, Load, RateShare, Reason, Refusal, Refused, Sample, ServerRate, StatedLoad, Ticket,
};
use tokio::sync::oneshot;
use tokio::time::timeout_at;

use super::answer::AnswerEnd;
use super::guard::Report;
use super::rng::with_rng;
use crate::clock::Clock;
use crate::egress::Egress;
use crate::shared::Shared;

/// Minimum time between two checks of whether a waiting request may start.
const MIN_WAIT: Duration = Duration::from_millis(1);

/// Result that is sent to a waiting request.
type AdmissionResult = Result<(), Refusal>;

/// Slot of an admitted request, with the wait until it is free.
type PendingSlot = (Slot, Option<Wait>);

/// Wait of a queued request: the receiver of its result, and the latest end of the wait.
#[derive(Debug)]
struct Wait {
    result: oneshot::Receiver<AdmissionResult>,
    until: Instant,
}

/// Charging of a request to the service's rate limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Rate {
    Charged,
    Exempt,
}

/// Admission control for the concurrent requests to one backend server.
#[derive(Debug)]
pub struct Admissions {
    link: Arc<Egress>,
    clock: Clock,
    running: Arc<AtomicU32>,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    admission: Admission,
    rate: RateShare,
    waiting: HashMap<Ticket, oneshot::Sender<AdmissionResult>>,
}

/// Permit to run one request, released when it is dropped.
#[derive(Debug)]
pub struct Slot {
    admissions: Arc<Admissions>,
    ticket: Ticket,
    start: Instant,
    target: Option<Duration>,
    queued: bool,
    open: bool,
    running: Option<Running>,
}

/// Running request, counted until it is dropped.
#[derive(Debug)]
struct Running(Arc<AtomicU32>);

impl Running {
    fn new(count: &Arc<AtomicU32>) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(count))
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Admissions {
    /// Creates an admission control that admits no request before [`resize`](Self::resize).
    #[must_use]
    pub fn new(shared: &Shared, settings: AdmissionSettings) -> Self {
        let now = shared.clock.now();
        Self {
            link: Arc::clone(&shared.link),
            clock: shared.clock,
            running: Arc::clone(&shared.running),
            state: Mutex::new(State {
                admission: Admission::new(now, settings),
                rate: RateShare::new(now),
                waiting: HashMap::new(),
            }),
        }
    }

    /// Sets the slots of the backend server, and the limits and the number of guards of its
    /// service.
    pub fn resize(&self, slots: u32, limits: Limits, guards: usize) {
        let now = self.clock.now();
        let mut state = self.lock();
        state.rate.split(now, limits.rate, guards);
        let started = state.admission.set_slots(now, slots, limits);
        state.wake(started);
    }

    /// Sets the rate that the backend server announced in its responses.
    pub fn set_rate(&self, rate: Option<ServerRate>) {
        let now = self.clock.now();
        let mut state = self.lock();
        let started = state.admission.set_rate(now, rate);
        state.wake(started);
    }

    /// Sets the admission state; requests that can no longer run are refused.
    pub fn set_admission_state(&self, admission_state: AdmissionState) {
        let mut state = self.lock();
        let refused = state.admission.set_admission_state(admission_state);
        state.refuse(refused);
    }

    /// Applies the load that the backend server stated in a response.
    pub fn set_stated_load(&self, stated: StatedLoad) {
        let now = self.clock.now();
        let mut state = self.lock();
        let started = state.admission.set_stated_load(now, stated);
        state.wake(started);
    }

    /// Returns the last load that the backend server stated with its pace.
    #[must_use]
    pub fn stated_load(&self) -> Option<StatedLoad> {
        self.lock().admission.stated_load()
    }

    /// Returns the load that is reported with a response.
    #[must_use]
    pub fn load(&self) -> Load {
        self.lock().admission.load()
    }

    /// Returns the state that is reported with a response.
    #[must_use]
    pub fn report(&self) -> Report {
        let now = self.clock.now();
        let admission = &self.lock().admission;
        Report {
            load: admission.load(),
            pace: admission.pace(now),
            slowdown: admission.slowdown(now),
        }
    }

    /// Waits for a slot to run a request.
    ///
    /// # Errors
    ///
    /// Returns a refusal when the request is not admitted.
    pub async fn enter(
        self: &Arc<Self>,
        admission_request: AdmissionRequest,
    ) -> Result<Slot, Refusal> {
        let now = self.clock.now();
        let pending = self.offer(now, admission_request, Rate::Charged)?;
        self.wait(pending).await
    }

    /// Checks that a request would be admitted now, and charges it to the rate limit.
    ///
    /// # Errors
    ///
    /// Returns a refusal when the request would not be admitted.
    pub fn probe(self: &Arc<Self>, admission_request: AdmissionRequest) -> Result<(), Refusal> {
        let now = self.clock.now();
        let (slot, _) = self.offer(now, admission_request, Rate::Charged)?;
        slot.withdraw();
        Ok(())
    }

    /// Waits for a slot like [`enter`](Self::enter), but does not charge the rate limit:
    /// [`probe`](Self::probe) has done so.
    ///
    /// # Errors
    ///
    /// Returns a refusal when the request is not admitted.
    pub async fn enter_probed(
        self: &Arc<Self>,
        admission_request: AdmissionRequest,
    ) -> Result<Slot, Refusal> {
        let now = self.clock.now();
        let pending = self.offer(now, admission_request, Rate::Exempt)?;
        self.wait(pending).await
    }

    async fn wait(&self, pending: PendingSlot) -> Result<Slot, Refusal> {
        let (mut slot, wait) = pending;
        let Some(mut wait) = wait else {
            slot.running = Some(Running::new(&self.running));
            return Ok(slot);
        };
        let result = loop {
            let start = self.next_start_at().unwrap_or(wait.until);
            let until = self.clock.tokio(start.min(wait.until));
            match timeout_at(until, &mut wait.result).await {
                Ok(result) => break result.ok(),
                Err(_) if start < wait.until => self.resume(),
                Err(_) => {
                    self.expire();
                    break wait.result.try_recv().ok();
                }
            }
        };
        slot.start = self.clock.now();
        match result {
            Some(Ok(())) => {
                slot.running = Some(Running::new(&self.running));
                Ok(slot)
            }
            Some(Err(refusal)) => Err(refusal),
            None => Err(Reason::DeadlinePassed.into()),
        }
    }

    /// Returns a slot, with the wait until it is free when the request is queued.
    fn offer(
        self: &Arc<Self>,
        now: Instant,
        admission_request: AdmissionRequest,
        rate: Rate,
    ) -> Result<PendingSlot, Refusal> {
        let mut state = self.lock();
        state.admission.set_link_delay(self.link.delay());
        let started = state.admission.resume(now);
        state.wake(started);
        let admit = with_rng(|rng| state.admission.offer(now, admission_request, rng));
        let displaced = state.admission.displaced();
        state.refuse(displaced);
        let (ticket, waits) = match admit {
            Admit::Run(ticket) => (ticket, false),
            Admit::Queue(ticket) => (ticket, true),
            Admit::Refuse(refusal) => return Err(refusal),
        };
        let taken = match rate {
            Rate::Charged => with_rng(|rng| state.rate.take(now, rng)),
            Rate::Exempt => Ok(()),
        };
        if let Err(refusal) = taken {
            let started = state.admission.withdraw(ticket, now);
            state.wake(started);
            return Err(refusal);
        }
        let slot = Slot {
            admissions: Arc::clone(self),
            ticket,
            start: now,
            target: admission_request.target,
            queued: waits,
            open: true,
            running: None,
        };
        let wait = waits.then(|| {
            let (tx, result) = oneshot::channel();
            state.waiting.insert(ticket, tx);
            let until = state.admission.wait_deadline(ticket);
            // The result of a request outside the queue is already decided.
            let until = until.unwrap_or(now);
            Wait { result, until }
        });
        Ok((slot, wait))
    }

    /// Returns the next time at which a waiting request may start even if no running request ends.
    fn next_start_at(&self) -> Option<Instant> {
        let now = self.clock.now();
        let start = self.lock().admission.next_start_at(now)?;
        Some(start.max(now + MIN_WAIT))
    }

    /// Starts the waiting requests that may start now.
    fn resume(&self) {
        let now = self.clock.now();
        let mut state = self.lock();
        let started = state.admission.resume(now);
        state.wake(started);
    }

    /// Refuses the waiting requests whose maximum wait has passed.
    fn expire(&self) {
        let now = self.clock.now();
        let mut state = self.lock();
        let refused = with_rng(|rng| state.admission.expire(now, rng));
        state.refuse(refused);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn wake(&mut self, started: Vec<Ticket>) {
        for ticket in started {
            self.notify(ticket, Ok(()));
        }
    }

    fn refuse(&mut self, refused: Vec<Refused>) {
        for Refused { ticket, refusal } in refused {
            self.notify(ticket, Err(refusal));
        }
    }

    fn notify(&mut self, ticket: Ticket, result: AdmissionResult) {
        if let Some(waiter) = self.waiting.remove(&ticket) {
            // A request that no longer waits releases its ticket when its slot is dropped.
            let _ = waiter.send(result);
        }
    }
}

impl Slot {
    /// Returns the time at which the request was admitted.
    #[must_use]
    pub const fn start(&self) -> Instant {
        self.start
    }

    /// Returns `true` if the request waited for the slot in the queue.
    #[must_use]
    pub const fn was_queued(&self) -> bool {
        self.queued
    }

    /// Records that the head of the response arrived, and that `bytes` bytes follow.
    pub fn head(&self, bytes: u64) {
        let now = self.admissions.clock.now();
        let mut state = self.admissions.lock();
        state.admission.head(self.ticket, now, bytes);
    }

    /// Releases the slot of a request that is not handed over.
    pub fn withdraw(mut self) {
        self.open = false;
        let now = self.admissions.clock.now();
        let mut state = self.admissions.lock();
        state.waiting.remove(&self.ticket);
        let started = state.admission.withdraw(self.ticket, now);
        state.wake(started);
    }

    /// Releases the slot after the response has ended.
    pub fn close(self, end: AnswerEnd) {
        self.finish(end.result());
    }

    /// Releases the slot after the request has ended with `result`.
    pub fn finish(mut self, result: CallResult) {
        self.open = false;
        let now = self.admissions.clock.now();
        let mut sample = Sample::new(now.since(self.start), result);
        sample.target = self.target;
        let delay = self.admissions.link.delay();
        let mut state = self.admissions.lock();
        state.admission.set_link_delay(delay);
        let started = state.admission.done(self.ticket, now, &sample);
        state.wake(started);
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        if self.open {
            let now = self.admissions.clock.now();
            let mut state = self.admissions.lock();
            state.waiting.remove(&self.ticket);
            let started = state.admission.cancel(self.ticket, now);
            state.wake(started);
        }
    }
}

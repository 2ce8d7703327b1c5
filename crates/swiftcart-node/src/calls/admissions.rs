//! Admission around one backend server: the core's decisions, and those who wait for them.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use swiftcart_core::{
    Admission, AdmissionRequest, AdmissionSettings, AdmissionState, Admit, CallResult, Instant,
    Limits, Load, Pace, RateShare, Reason, Refusal, Refused, Sample, ServerRate, Ticket,
};
use tokio::sync::oneshot;
use tokio::time::timeout_at;

use super::answer::AnswerEnd;
use super::rng::with_rng;
use crate::clock::Clock;
use crate::egress::Egress;
use crate::shared::Shared;

/// The least time between two looks whether a waiting request may start.
const LEAST_WAIT: Duration = Duration::from_millis(1);

/// What a waiting request is told.
type News = Result<(), Refusal>;

/// A slot, and what to wait for when it is not free yet.
type Offered = (Slot, Option<Wait>);

/// Where a waiting request hears that it may run, and until when it listens.
#[derive(Debug)]
struct Wait {
    news: oneshot::Receiver<News>,
    until: Instant,
}

/// Tells whether a request takes a part of the service's rate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Rate {
    Taken,
    Free,
}

/// Decides what one backend server is given, for many requests at once.
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
    waiting: HashMap<Ticket, oneshot::Sender<News>>,
}

/// The right to run one request; given back when it is dropped.
#[derive(Debug)]
pub struct Slot {
    admissions: Arc<Admissions>,
    ticket: Ticket,
    start: Instant,
    target: Option<Duration>,
    open: bool,
    running: Option<Running>,
}

/// A request that runs, counted until it is dropped.
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
    /// Creates admissions that lets nothing run before [`resize`](Self::resize).
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

    /// Takes over an announcement, the table's limits and the number of the service's guards.
    pub fn resize(&self, slots: u32, limits: Limits, guards: usize) {
        let now = self.clock.now();
        let mut state = self.lock();
        state.rate.split(now, limits.rate, guards);
        let started = state.admission.set_slots(now, slots, limits);
        state.wake(started);
    }

    /// Takes over the rate that the backend server names in its answers.
    pub fn set_rate(&self, rate: Option<ServerRate>) {
        let now = self.clock.now();
        let mut state = self.lock();
        let started = state.admission.set_rate(now, rate);
        state.wake(started);
    }

    /// Opens or closes for new work.
    pub fn set_admission_state(&self, admission_state: AdmissionState) {
        let mut state = self.lock();
        let refused = state.admission.set_admission_state(admission_state);
        state.refuse(refused);
    }

    /// Returns the load to carry back on an answer.
    #[must_use]
    pub fn load(&self) -> Load {
        self.lock().admission.load()
    }

    /// Returns the backend server's pace, once it is known.
    #[must_use]
    pub fn pace(&self) -> Option<Pace> {
        self.lock().admission.pace(self.clock.now())
    }

    /// Waits for the right to run a request.
    ///
    /// # Errors
    ///
    /// Returns why the request is not run.
    pub async fn enter(
        self: &Arc<Self>,
        admission_request: AdmissionRequest,
    ) -> Result<Slot, Refusal> {
        let now = self.clock.now();
        let offered = self.offer(now, admission_request, Rate::Taken)?;
        self.wait(offered).await
    }

    /// Tells whether a request would be let in now, and takes its part of the rate.
    ///
    /// # Errors
    ///
    /// Returns why the request would not be run.
    pub fn probe(self: &Arc<Self>, admission_request: AdmissionRequest) -> Result<(), Refusal> {
        let now = self.clock.now();
        let (slot, _) = self.offer(now, admission_request, Rate::Taken)?;
        slot.withdraw();
        Ok(())
    }

    /// Waits like [`enter`](Self::enter) after [`probe`](Self::probe) took the rate's part.
    ///
    /// # Errors
    ///
    /// Returns why the request is not run.
    pub async fn enter_probed(
        self: &Arc<Self>,
        admission_request: AdmissionRequest,
    ) -> Result<Slot, Refusal> {
        let now = self.clock.now();
        let offered = self.offer(now, admission_request, Rate::Free)?;
        self.wait(offered).await
    }

    async fn wait(&self, offered: Offered) -> Result<Slot, Refusal> {
        let (mut slot, wait) = offered;
        let Some(mut wait) = wait else {
            slot.running = Some(Running::new(&self.running));
            return Ok(slot);
        };
        let news = loop {
            let start = self.next_start_at().unwrap_or(wait.until);
            let until = self.clock.tokio(start.min(wait.until));
            match timeout_at(until, &mut wait.news).await {
                Ok(news) => break news.ok(),
                Err(_) if start < wait.until => self.resume(),
                Err(_) => {
                    self.expire();
                    break wait.news.try_recv().ok();
                }
            }
        };
        slot.start = self.clock.now();
        match news {
            Some(Ok(())) => {
                slot.running = Some(Running::new(&self.running));
                Ok(slot)
            }
            Some(Err(refusal)) => Err(refusal),
            None => Err(Reason::DeadlinePassed.into()),
        }
    }

    /// Returns the slot, and whom to wait for when it is not free yet.
    fn offer(
        self: &Arc<Self>,
        now: Instant,
        admission_request: AdmissionRequest,
        rate: Rate,
    ) -> Result<Offered, Refusal> {
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
            Rate::Taken => with_rng(|rng| state.rate.take(now, rng)),
            Rate::Free => Ok(()),
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
            open: true,
            running: None,
        };
        let wait = waits.then(|| {
            let (tx, news) = oneshot::channel();
            state.waiting.insert(ticket, tx);
            let until = state.admission.wait_deadline(ticket);
            // What is not in the queue any more has its news already.
            let until = until.unwrap_or(now);
            Wait { news, until }
        });
        Ok((slot, wait))
    }

    /// Returns when a waiting request may start although none ends before.
    fn next_start_at(&self) -> Option<Instant> {
        let now = self.clock.now();
        let start = self.lock().admission.next_start_at(now)?;
        Some(start.max(now + LEAST_WAIT))
    }

    /// Starts the waiting requests that may start by now.
    fn resume(&self) {
        let now = self.clock.now();
        let mut state = self.lock();
        let started = state.admission.resume(now);
        state.wake(started);
    }

    /// Refuses those whose time to wait is over.
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
            self.tell(ticket, Ok(()));
        }
    }

    fn refuse(&mut self, refused: Vec<Refused>) {
        for Refused { ticket, refusal } in refused {
            self.tell(ticket, Err(refusal));
        }
    }

    fn tell(&mut self, ticket: Ticket, news: News) {
        if let Some(waiter) = self.waiting.remove(&ticket) {
            // Whoever no longer waits gives its ticket back by itself.
            let _ = waiter.send(news);
        }
    }
}

impl Slot {
    /// Returns when the request was let in.
    #[must_use]
    pub const fn start(&self) -> Instant {
        self.start
    }

    /// Notes that the head of the answer is there, and how many bytes follow.
    pub fn head(&self, bytes: u64) {
        let now = self.admissions.clock.now();
        let mut state = self.admissions.lock();
        state.admission.head(self.ticket, now, bytes);
    }

    /// Gives the slot back for a request that is not handed over.
    pub fn withdraw(mut self) {
        self.open = false;
        let now = self.admissions.clock.now();
        let mut state = self.admissions.lock();
        state.waiting.remove(&self.ticket);
        let started = state.admission.withdraw(self.ticket, now);
        state.wake(started);
    }

    /// Gives the slot back after the answer ended.
    pub fn close(self, end: AnswerEnd) {
        self.finish(end.result());
    }

    /// Gives the slot back after the request ended as `result`.
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

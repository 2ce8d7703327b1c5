//! Shared state of a backend server: slots, statistics and faults.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use swiftcart_core::Readiness;
use tokio::sync::{Semaphore, watch};
use tokio::time::Instant;

use super::advertised::AdvertisedLimits;
use super::cached::CachedValue;
use super::incarnation::Incarnation;
use super::ledger::{ExecutionCounts, Ledger, RequestIds};
use super::stats::{BackendStats, Refusal};
use super::{BackendFaults, BackendSettings};
use crate::serve::ConnectionCounts;

/// State shared by the routes, the executions and the announcer of a backend server.
#[derive(Debug)]
pub(super) struct Shared {
    pub(super) settings: BackendSettings,
    pub(super) slots: Arc<Semaphore>,
    pub(super) conns: Arc<ConnectionCounts>,
    faults: watch::Sender<BackendFaults>,
    /// Current incarnation; observers are notified only when a crash replaces it.
    incarnation: watch::Sender<Incarnation>,
    state: Mutex<State>,
    active: watch::Sender<u64>,
    started: Instant,
}

#[derive(Debug)]
struct State {
    rng: SmallRng,
    ledger: Ledger,
    stats: BackendStats,
    refused: BTreeMap<Refusal, u64>,
    drain_started: Option<Instant>,
    load: CachedValue<u8>,
    health: CachedValue<bool>,
    limits: AdvertisedLimits,
}

impl Shared {
    pub(super) fn new(settings: BackendSettings) -> Self {
        Self {
            slots: Arc::new(Semaphore::new(settings.slots as usize)),
            conns: Arc::default(),
            faults: watch::Sender::default(),
            incarnation: watch::Sender::new(Incarnation::new()),
            state: Mutex::new(State {
                rng: SmallRng::seed_from_u64(settings.seed),
                ledger: Ledger::default(),
                stats: BackendStats::default(),
                refused: BTreeMap::new(),
                drain_started: None,
                load: CachedValue::default(),
                health: CachedValue::default(),
                limits: AdvertisedLimits::default(),
            }),
            active: watch::Sender::default(),
            started: Instant::now(),
            settings,
        }
    }

    pub(super) fn set_faults(&self, faults: BackendFaults) {
        if let Some(restart) = faults.restart {
            self.state().limits.reset();
            self.incarnation
                .send_modify(|incarnation| *incarnation = incarnation.restarted(restart));
        }
        self.faults.send_replace(faults);
    }

    /// Returns a receiver that is notified when a crash is simulated.
    pub(super) fn watch_crashes(&self) -> watch::Receiver<Incarnation> {
        self.incarnation.subscribe()
    }

    /// Increments the sequence number of announcements and returns the current incarnation.
    pub(super) fn advance_sequence(&self) -> Incarnation {
        // Observers are not notified, since a new sequence number is not a crash.
        self.incarnation.send_if_modified(|incarnation| {
            incarnation.next_seq();
            false
        });
        *self.incarnation.borrow()
    }

    pub(super) fn faults(&self) -> BackendFaults {
        self.faults.borrow().clone()
    }

    /// Returns a receiver that is notified when the faults change or draining begins.
    pub(super) fn watch_faults(&self) -> watch::Receiver<BackendFaults> {
        self.faults.subscribe()
    }

    /// Returns `true` if the `lose_answers` fault applies to this response.
    ///
    /// Decrements the number of responses that the fault still affects.
    pub(super) fn lose_answer(&self) -> bool {
        self.faults.send_if_modified(|f| match f.lose_answers {
            0 => false,
            n => {
                f.lose_answers = n - 1;
                true
            }
        })
    }

    pub(super) fn drain(&self) {
        let first = {
            let mut state = self.state();
            let first = state.drain_started.is_none();
            state.drain_started.get_or_insert_with(Instant::now);
            first
        };
        if first {
            self.faults.send_modify(|_| {});
        }
    }

    /// Waits until no request is in flight or queued.
    pub(super) async fn wait_idle(&self) {
        // The channel cannot close, since `self` owns the sender.
        let _ = self.active.subscribe().wait_for(|n| *n == 0).await;
    }

    pub(super) fn readiness(&self) -> Readiness {
        let faults = self.faults.borrow();
        match faults.readiness {
            Some(readiness) => readiness,
            None if self.state().drain_started.is_some() => Readiness::Draining,
            None if self.is_warming() => Readiness::Warming,
            None => Readiness::Ready,
        }
    }

    /// Returns the remaining duration of the cold start.
    pub(super) fn warming_left(&self) -> Duration {
        let warming = Duration::from_millis(self.settings.warming_ms);
        warming.saturating_sub(self.started.elapsed())
    }

    /// Samples the service time of a request, including the effects of cold start and faults.
    pub(super) fn service_time(&self) -> Duration {
        let sampled_ms = self.settings.service_time.sample(&mut self.state().rng);
        let factor = match self.is_warming() {
            true => self.settings.warming_factor,
            false => 1.0,
        };
        let secs = (sampled_ms * factor).max(0.0) / 1000.0;
        let time = Duration::try_from_secs_f64(secs).unwrap_or(Duration::MAX);
        time.saturating_add(Duration::from_millis(self.faults.borrow().slow_ms))
    }

    /// Returns the percentage of busy slots, 0 to 100, or the load set by a fault.
    pub(super) fn load(&self) -> u8 {
        if let Some(load) = self.faults.borrow().lie_load {
            return load;
        }
        let slots = u64::from(self.settings.slots).max(1);
        let busy = slots.saturating_sub(self.slots.available_permits() as u64);
        u8::try_from(busy * 100 / slots).unwrap_or(100)
    }

    /// Records and returns the advertised values of a response: the rate and the leaving flag.
    pub(super) fn advertise(&self) -> (Option<f64>, bool) {
        let faults = self.faults();
        let mut state = self.state();
        state
            .limits
            .record_response(Instant::now(), faults.rate, faults.leaving);
        (faults.rate, faults.leaving)
    }

    /// Returns the load reported at `/load`, which may be outdated.
    pub(super) fn reported_load(&self) -> u8 {
        let load = self.load();
        self.state()
            .load
            .get_or_update(load, self.settings.load_lag_ms)
    }

    /// Returns the health reported at `/health`, which may be outdated.
    pub(super) fn reported_health(&self) -> bool {
        if let Some(health) = self.faults.borrow().lie_health {
            return health;
        }
        let health = self.readiness() == Readiness::Ready;
        self.state()
            .health
            .get_or_update(health, self.settings.health_lag_ms)
    }

    pub(super) fn count_refusal(&self, refusal: Refusal) {
        *self.state().refused.entry(refusal).or_default() += 1;
    }

    pub(super) fn count_bytes(&self, bytes: u64) {
        self.state().stats.bytes_in += bytes;
    }

    /// Enters the queue and returns `true` if it has room.
    pub(super) fn enter_queue(&self) -> bool {
        let mut state = self.state();
        let admitted = state.stats.queued < u64::from(self.settings.queue);
        if admitted {
            state.stats.queued += 1;
            self.active.send_modify(|n| *n += 1);
        }
        admitted
    }

    pub(super) fn leave_queue(&self) {
        self.state().stats.queued -= 1;
        self.active.send_modify(|n| *n -= 1);
    }

    /// Counts the start of an execution.
    pub(super) fn count_start(&self, request: &RequestIds) {
        let runs = ExecutionCounts {
            started: 1,
            ..ExecutionCounts::default()
        };
        let mut state = self.state();
        let (over_rate, after_leaving) = state.limits.record_request(Instant::now());
        state.stats.beyond_rate += u64::from(over_rate);
        state.stats.after_leaving += u64::from(after_leaving);
        state.count(request, runs);
        state.stats.active += 1;
        state.stats.max_active = state.stats.max_active.max(state.stats.active);
        if let Some(at) = state.drain_started {
            state.stats.drain_starts += 1;
            state.stats.drain_last_ms = u64::try_from(at.elapsed().as_millis()).unwrap_or(u64::MAX);
        }
        self.active.send_modify(|n| *n += 1);
    }

    /// Counts the end of an execution.
    pub(super) fn count_end(&self, request: &RequestIds, finished: bool) {
        let runs = ExecutionCounts {
            started: 0,
            finished: u64::from(finished),
            cancelled: u64::from(!finished),
        };
        let mut state = self.state();
        state.count(request, runs);
        state.stats.active -= 1;
        self.active.send_modify(|n| *n -= 1);
    }

    pub(super) fn stats(&self) -> BackendStats {
        let state = self.state();
        let refused = state.refused.iter();
        BackendStats {
            connections: self.conns.open(),
            max_connections: self.conns.peak(),
            refused_connections: self.conns.refused(),
            refused: refused.map(|(r, n)| (r.as_str().to_owned(), *n)).collect(),
            ..state.stats.clone()
        }
    }

    /// Calls `f` with the ledger while the state is locked.
    pub(super) fn with_ledger<T>(&self, f: impl FnOnce(&Ledger) -> T) -> T {
        f(&self.state().ledger)
    }

    fn is_warming(&self) -> bool {
        !self.warming_left().is_zero()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn count(&mut self, request: &RequestIds, runs: ExecutionCounts) {
        self.stats.runs += runs;
        self.ledger.add(request, runs);
    }
}

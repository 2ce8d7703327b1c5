//! The slots, the counts and the faults that a backend server's parts share.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use swiftcart_core::Readiness;
use tokio::sync::{Semaphore, watch};
use tokio::time::Instant;

use super::lagging::Lagging;
use super::ledger::{Ledger, Names, Runs};
use super::life::Life;
use super::named::Named;
use super::stats::{BackendStats, Refusal};
use super::{BackendFaults, BackendSettings};
use crate::serve::ConnectionCounts;

/// Holds all that a backend server's parts share.
#[derive(Debug)]
pub(super) struct Shared {
    pub(super) settings: BackendSettings,
    pub(super) slots: Arc<Semaphore>,
    pub(super) conns: Arc<ConnectionCounts>,
    faults: watch::Sender<BackendFaults>,
    /// The life that runs; each change is a crash.
    life: watch::Sender<Life>,
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
    drained: Option<Instant>,
    load: Lagging<u8>,
    health: Lagging<bool>,
    named: Named,
}

impl Shared {
    pub(super) fn new(settings: BackendSettings) -> Self {
        Self {
            slots: Arc::new(Semaphore::new(settings.slots as usize)),
            conns: Arc::default(),
            faults: watch::Sender::default(),
            life: watch::Sender::new(Life::new()),
            state: Mutex::new(State {
                rng: SmallRng::seed_from_u64(settings.seed),
                ledger: Ledger::default(),
                stats: BackendStats::default(),
                refused: BTreeMap::new(),
                drained: None,
                load: Lagging::default(),
                health: Lagging::default(),
                named: Named::default(),
            }),
            active: watch::Sender::default(),
            started: Instant::now(),
            settings,
        }
    }

    pub(super) fn set_faults(&self, faults: BackendFaults) {
        if let Some(restart) = faults.restart {
            self.state().named.restart();
            self.life.send_modify(|life| *life = life.again(restart));
        }
        self.faults.send_replace(faults);
    }

    /// Wakes when the backend server crashes.
    pub(super) fn watch_crashes(&self) -> watch::Receiver<Life> {
        self.life.subscribe()
    }

    /// Returns the life that runs, with the number of its next announcement.
    pub(super) fn next_word(&self) -> Life {
        // A number is no crash.
        self.life.send_if_modified(|life| {
            life.next_seq();
            false
        });
        *self.life.borrow()
    }

    pub(super) fn faults(&self) -> BackendFaults {
        self.faults.borrow().clone()
    }

    /// Wakes when the faults or the drain change.
    pub(super) fn watch_faults(&self) -> watch::Receiver<BackendFaults> {
        self.faults.subscribe()
    }

    /// Takes one of the answers to lose and returns whether there was one.
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
            let first = state.drained.is_none();
            state.drained.get_or_insert_with(Instant::now);
            first
        };
        if first {
            self.faults.send_modify(|_| {});
        }
    }

    /// Completes when no request is in work or waits for a slot.
    pub(super) async fn idle(&self) {
        // The sender lives in `self`.
        let _ = self.active.subscribe().wait_for(|n| *n == 0).await;
    }

    pub(super) fn readiness(&self) -> Readiness {
        let faults = self.faults.borrow();
        match faults.readiness {
            Some(readiness) => readiness,
            None if self.state().drained.is_some() => Readiness::Draining,
            None if self.is_warming() => Readiness::Warming,
            None => Readiness::Ready,
        }
    }

    /// Returns the time left of the cold start.
    pub(super) fn warming_left(&self) -> Duration {
        let warming = Duration::from_millis(self.settings.warming_ms);
        warming.saturating_sub(self.started.elapsed())
    }

    /// Draws the time that one request takes.
    pub(super) fn service_time(&self) -> Duration {
        let drawn = self.settings.service_time.draw(&mut self.state().rng);
        let factor = match self.is_warming() {
            true => self.settings.warming_factor,
            false => 1.0,
        };
        let secs = (drawn * factor).max(0.0) / 1000.0;
        let time = Duration::try_from_secs_f64(secs).unwrap_or(Duration::MAX);
        time.saturating_add(Duration::from_millis(self.faults.borrow().slow_ms))
    }

    /// Returns the share of busy slots, 0 to 100, or the load that a fault puts in its place.
    pub(super) fn load(&self) -> u8 {
        if let Some(load) = self.faults.borrow().lie_load {
            return load;
        }
        let slots = u64::from(self.settings.slots).max(1);
        let busy = slots.saturating_sub(self.slots.available_permits() as u64);
        u8::try_from(busy * 100 / slots).unwrap_or(100)
    }

    /// Returns the rate that an answer names, and whether it says that the backend server leaves.
    pub(super) fn notice(&self) -> (Option<f64>, bool) {
        let faults = self.faults();
        let mut state = self.state();
        state
            .named
            .says(Instant::now(), faults.rate, faults.leaving);
        (faults.rate, faults.leaving)
    }

    /// Returns the load as `/load` reports it.
    pub(super) fn lagging_load(&self) -> u8 {
        let load = self.load();
        self.state().load.look(load, self.settings.load_lag_ms)
    }

    /// Returns the health as `/health` reports it.
    pub(super) fn lagging_health(&self) -> bool {
        if let Some(health) = self.faults.borrow().lie_health {
            return health;
        }
        let health = self.readiness() == Readiness::Ready;
        self.state()
            .health
            .look(health, self.settings.health_lag_ms)
    }

    pub(super) fn count_refusal(&self, refusal: Refusal) {
        *self.state().refused.entry(refusal).or_default() += 1;
    }

    pub(super) fn count_bytes(&self, bytes: u64) {
        self.state().stats.bytes_in += bytes;
    }

    /// Enters the queue, or returns false when it is full.
    pub(super) fn enter_queue(&self) -> bool {
        let mut state = self.state();
        let fits = state.stats.queued < u64::from(self.settings.queue);
        if fits {
            state.stats.queued += 1;
            self.active.send_modify(|n| *n += 1);
        }
        fits
    }

    pub(super) fn leave_queue(&self) {
        self.state().stats.queued -= 1;
        self.active.send_modify(|n| *n -= 1);
    }

    /// Counts the start of an execution.
    pub(super) fn count_start(&self, names: &Names) {
        let runs = Runs {
            started: 1,
            ..Runs::default()
        };
        let mut state = self.state();
        let (beyond, late) = state.named.arrives(Instant::now());
        state.stats.beyond_rate += u64::from(beyond);
        state.stats.after_leaving += u64::from(late);
        state.count(names, runs);
        state.stats.active += 1;
        state.stats.max_active = state.stats.max_active.max(state.stats.active);
        if let Some(at) = state.drained {
            state.stats.drain_starts += 1;
            state.stats.drain_last_ms = u64::try_from(at.elapsed().as_millis()).unwrap_or(u64::MAX);
        }
        self.active.send_modify(|n| *n += 1);
    }

    /// Counts the end of an execution.
    pub(super) fn count_end(&self, names: &Names, finished: bool) {
        let runs = Runs {
            started: 0,
            finished: u64::from(finished),
            cancelled: u64::from(!finished),
        };
        let mut state = self.state();
        state.count(names, runs);
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

    /// Looks at the ledger.
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
    fn count(&mut self, names: &Names, runs: Runs) {
        self.stats.runs += runs;
        self.ledger.add(names, runs);
    }
}

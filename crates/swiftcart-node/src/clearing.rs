//! What the backend server beside this node may be given while its service is rolled out.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use swiftcart_core::{
    Clearance, Evidence, Grant, Instant, OrderId, Reason, RolloutBatch, RouteTag, ServiceName,
    Side, TRIAL_INTERVAL, TrialStats,
};
use tokio::sync::watch;

/// How long credit lasts that is not renewed: who gives it may be cut off, or know better by then.
const CREDIT_FOR: Duration = TRIAL_INTERVAL.saturating_mul(2);

/// How long a backend server on trial is shown to others after its last credit. In between it is
/// given some again within two seconds.
const SHOWN_FOR: Duration = Duration::from_secs(3);

/// Names the part that a backend server has in a roll-out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutRole {
    /// Its service.
    pub service: ServiceName,
    /// The order.
    pub order: OrderId,
    /// Its side.
    pub side: Side,
}

/// The part of a backend server, where its service is rolled out, and what it may be given.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct RoleClearance {
    /// The part.
    pub part: Option<RolloutRole>,
    /// What it may be given.
    pub clearance: Clearance,
}

/// What the backend server is doing, as far as the roll-out has to know.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Activity {
    /// Whether it is ready and has warmed up.
    pub ready: bool,
    /// Requests that it runs.
    pub running: u32,
}

/// Holds what the backend server may be given, between the calls that ask and the control loop
/// that decides. While its service is not rolled out, which is nearly always, a look costs one load.
#[derive(Debug)]
pub struct RolloutGate {
    used: AtomicBool,
    state: Mutex<State>,
    /// What it may be given, for those who act on changes.
    pub clearance: watch::Sender<Clearance>,
}

#[derive(Debug, Default)]
struct State {
    part: Option<RolloutRole>,
    /// Its turn in the move, once that has begun.
    turn: Option<RolloutBatch>,
    clearance: Clearance,
    epoch: u32,
    tally: TrialStats,
    credit: Option<Credit>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Credit {
    upto: u64,
    given: Instant,
}

impl Default for RolloutGate {
    fn default() -> Self {
        Self {
            used: AtomicBool::new(false),
            state: Mutex::default(),
            clearance: watch::Sender::new(Clearance::Open),
        }
    }
}

impl RolloutGate {
    /// Takes over the backend server's part, and what it may be given. Counts begin anew, as
    /// `epoch`, when the part is another one. Returns whether anything has changed.
    pub fn adopt(&self, cleared: RoleClearance, epoch: u32) -> bool {
        let RoleClearance { part, clearance } = cleared;
        let mut state = self.lock();
        let changed = state.part != part || state.clearance != clearance;
        if state.part != part {
            state.epoch = epoch;
            state.tally = TrialStats::default();
            state.turn = None;
            state.credit = None;
        }
        state.part = part;
        state.clearance = clearance;
        self.used.store(state.part.is_some(), Ordering::Relaxed);
        drop(state);
        self.clearance
            .send_if_modified(|now| std::mem::replace(now, clearance) != clearance);
        changed
    }

    /// Returns the turn in the move that the backend server has had so far, or takes `drawn` for it;
    /// one that is being tried is first.
    pub fn turn(&self, drawn: RolloutBatch) -> RolloutBatch {
        let mut state = self.lock();
        let tried = state.credit.is_some();
        *state
            .turn
            .get_or_insert(if tried { RolloutBatch::FIRST } else { drawn })
    }

    /// Takes credit; returns whether it is for this backend server.
    pub fn grant(&self, now: Instant, grant: &Grant) -> bool {
        let mut state = self.lock();
        let fits = |part: &RolloutRole| part.order == grant.order && part.service == grant.service;
        let is_own = state.part.as_ref().is_some_and(fits) && state.epoch == grant.epoch;
        if is_own {
            state.credit = Some(Credit {
                upto: grant.upto,
                given: now,
            });
        }
        is_own
    }

    /// Tells whether the backend server may be given a request.
    ///
    /// # Errors
    ///
    /// The reason why it may not.
    pub fn may_enter(&self, now: Instant) -> Result<(), Reason> {
        match self.is_used() {
            true => self.lock().may_enter(now),
            false => Ok(()),
        }
    }

    /// Counts a request that the backend server is handed now.
    ///
    /// # Errors
    ///
    /// The reason why it may not be handed over after all.
    pub fn take(&self, now: Instant) -> Result<(), Reason> {
        if !self.is_used() {
            return Ok(());
        }
        let mut state = self.lock();
        state.may_enter(now)?;
        state.tally.arrived();
        Ok(())
    }

    /// Counts a request that ended.
    pub fn ended(&self, route: RouteTag, failed: bool, time: Duration) {
        if self.is_used() {
            self.lock().tally.ended(route, failed, time);
        }
    }

    /// Returns what the backend server was seen to do.
    #[must_use]
    pub fn evidence(&self, activity: Activity) -> Option<Evidence> {
        let state = self.lock();
        let part = state.part.clone()?;
        Some(Evidence {
            service: part.service,
            order: part.order,
            side: part.side,
            epoch: state.epoch,
            ready: activity.ready,
            open: matches!(state.clearance, Clearance::Open | Clearance::OnCredit),
            arrived: state.tally.arrivals(),
            running: activity.running,
            routes: state.tally.routes(),
        })
    }

    /// Returns as what the backend server is shown to other nodes: on trial only while it is
    /// given credit, so that they do not ask in vain.
    #[must_use]
    pub fn shown(&self, now: Instant) -> Clearance {
        let state = self.lock();
        let fresh = |credit: &Credit| now.since(credit.given) < SHOWN_FOR;
        match state.clearance {
            Clearance::OnCredit if !state.credit.as_ref().is_some_and(fresh) => Clearance::Closed,
            clearance => clearance,
        }
    }

    /// Tells whether the backend server's service is rolled out.
    #[must_use]
    pub fn is_used(&self) -> bool {
        self.used.load(Ordering::Relaxed)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn may_enter(&self, now: Instant) -> Result<(), Reason> {
        let arrivals = self.tally.arrivals();
        let lasts =
            |credit: &Credit| now.since(credit.given) < CREDIT_FOR && arrivals < credit.upto;
        match self.clearance {
            Clearance::Open => Ok(()),
            Clearance::OnCredit if self.credit.as_ref().is_some_and(lasts) => Ok(()),
            Clearance::OnCredit => Err(Reason::OnTrial),
            Clearance::Closed => Err(Reason::Warming),
            Clearance::Draining => Err(Reason::Draining),
        }
    }
}

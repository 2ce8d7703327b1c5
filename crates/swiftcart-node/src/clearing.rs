//! Admission of requests to the local backend server during a roll-out of its service.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use swiftcart_core::{
    Clearance, Evidence, Grant, Instant, OrderId, Reason, RolloutBatch, RouteTag, ServiceName,
    Side, TRIAL_INTERVAL, TrialStats,
};
use tokio::sync::watch;

/// Time after which credit expires if it is not renewed.
///
/// The node that grants credit may become unreachable, or may decide otherwise by then.
const CREDIT_TTL: Duration = TRIAL_INTERVAL.saturating_mul(2);

/// Time for which a backend server on trial is advertised to other nodes after its last credit.
///
/// New credit arrives within two seconds while the trial goes on.
const ADVERTISED_TTL: Duration = Duration::from_secs(3);

/// Role of a backend server in a roll-out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutRole {
    /// Service of the backend server.
    pub service: ServiceName,
    /// Order that started the roll-out.
    pub order: OrderId,
    /// Side of the roll-out to which its release belongs.
    pub side: Side,
}

/// Role of a backend server in a roll-out, if there is one, and its clearance.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct RoleClearance {
    /// Role in the roll-out, or `None` while the service is not rolled out.
    pub rollout_role: Option<RolloutRole>,
    /// Requests that the backend server may get.
    pub clearance: Clearance,
}

/// State of the backend server that the roll-out takes into account.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Activity {
    /// Set if the backend server is ready and has warmed up.
    pub ready: bool,
    /// Number of requests that the backend server is processing.
    pub running: u32,
}

/// Admission state of the backend server during a roll-out.
///
/// The control loop writes the state, and calls read it. Roll-outs are rare; while there is none, a
/// check costs one atomic load.
#[derive(Debug)]
pub struct RolloutGate {
    used: AtomicBool,
    state: Mutex<State>,
    /// Current clearance, for tasks that react to changes.
    pub clearance: watch::Sender<Clearance>,
}

#[derive(Debug, Default)]
struct State {
    rollout_role: Option<RolloutRole>,
    /// Batch in which the backend server opens or closes, once the move has begun.
    rollout_batch: Option<RolloutBatch>,
    clearance: Clearance,
    epoch: u32,
    stats: TrialStats,
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
    /// Sets the role and the clearance of the backend server.
    ///
    /// If the role changes, the statistics restart under `epoch`. Returns `true` if the role or the
    /// clearance has changed.
    pub fn adopt(&self, cleared: RoleClearance, epoch: u32) -> bool {
        let RoleClearance {
            rollout_role,
            clearance,
        } = cleared;
        let mut state = self.lock();
        let changed = state.rollout_role != rollout_role || state.clearance != clearance;
        if state.rollout_role != rollout_role {
            state.epoch = epoch;
            state.stats = TrialStats::default();
            state.rollout_batch = None;
            state.credit = None;
        }
        state.rollout_role = rollout_role;
        state.clearance = clearance;
        self.used
            .store(state.rollout_role.is_some(), Ordering::Relaxed);
        drop(state);
        self.clearance
            .send_if_modified(|now| std::mem::replace(now, clearance) != clearance);
        changed
    }

    /// Returns the roll-out batch of the backend server.
    ///
    /// A backend server without a batch is assigned to `drawn`, or to the first batch if it has
    /// received credit from a trial.
    pub fn rollout_batch(&self, drawn: RolloutBatch) -> RolloutBatch {
        let mut state = self.lock();
        let has_credit = state.credit.is_some();
        *state.rollout_batch.get_or_insert(if has_credit {
            RolloutBatch::FIRST
        } else {
            drawn
        })
    }

    /// Stores a credit grant. Returns `true` if the grant is for this backend server.
    pub fn grant(&self, now: Instant, grant: &Grant) -> bool {
        let mut state = self.lock();
        let is_same_rollout = |rollout_role: &RolloutRole| {
            rollout_role.order == grant.order && rollout_role.service == grant.service
        };
        let is_own =
            state.rollout_role.as_ref().is_some_and(is_same_rollout) && state.epoch == grant.epoch;
        if is_own {
            state.credit = Some(Credit {
                upto: grant.upto,
                given: now,
            });
        }
        is_own
    }

    /// Checks that the backend server may get a request.
    ///
    /// # Errors
    ///
    /// Returns the reason why the backend server may not get the request.
    pub fn may_enter(&self, now: Instant) -> Result<(), Reason> {
        match self.is_used() {
            true => self.lock().may_enter(now),
            false => Ok(()),
        }
    }

    /// Counts a request that is sent to the backend server now.
    ///
    /// # Errors
    ///
    /// Returns the reason why the request may not be sent. The state may have changed since
    /// [`may_enter`](Self::may_enter).
    pub fn take(&self, now: Instant) -> Result<(), Reason> {
        if !self.is_used() {
            return Ok(());
        }
        let mut state = self.lock();
        state.may_enter(now)?;
        state.stats.arrived();
        Ok(())
    }

    /// Counts a finished request.
    pub fn ended(&self, route: RouteTag, failed: bool, time: Duration) {
        if self.is_used() {
            self.lock().stats.ended(route, failed, time);
        }
    }

    /// Returns the statistics of the backend server in the roll-out, if its service is rolled out.
    #[must_use]
    pub fn evidence(&self, activity: Activity) -> Option<Evidence> {
        let state = self.lock();
        let rollout_role = state.rollout_role.clone()?;
        Some(Evidence {
            service: rollout_role.service,
            order: rollout_role.order,
            side: rollout_role.side,
            epoch: state.epoch,
            ready: activity.ready,
            open: matches!(state.clearance, Clearance::Open | Clearance::OnCredit),
            arrived: state.stats.arrivals(),
            running: activity.running,
            routes: state.stats.routes(),
        })
    }

    /// Returns the clearance that is advertised to other nodes.
    ///
    /// A backend server on trial without recent credit is advertised as closed, so that other nodes
    /// do not send it requests that it would refuse.
    #[must_use]
    pub fn shown(&self, now: Instant) -> Clearance {
        let state = self.lock();
        let fresh = |credit: &Credit| now.since(credit.given) < ADVERTISED_TTL;
        match state.clearance {
            Clearance::OnCredit if !state.credit.as_ref().is_some_and(fresh) => Clearance::Closed,
            clearance => clearance,
        }
    }

    /// Returns `true` if the service of the backend server is being rolled out.
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
        let arrivals = self.stats.arrivals();
        let is_valid =
            |credit: &Credit| now.since(credit.given) < CREDIT_TTL && arrivals < credit.upto;
        match self.clearance {
            Clearance::Open => Ok(()),
            Clearance::OnCredit if self.credit.as_ref().is_some_and(is_valid) => Ok(()),
            Clearance::OnCredit => Err(Reason::OnTrial),
            Clearance::Closed => Err(Reason::Warming),
            Clearance::Draining => Err(Reason::Draining),
        }
    }
}

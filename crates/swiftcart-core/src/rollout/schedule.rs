//! Schedule of a roll-out, relative to its deadline.

use std::time::Duration;

/// Share of the order's duration that is reserved for moving the service.
const MOVING_SHARE: f64 = 0.42;

/// Maximum time for moving a service. It covers all steps and some seconds for the requests in
/// flight at old backend servers.
const MAX_MOVING_TIME: Duration = Duration::from_millis(6_700);

/// Share of the moving time after which a move is no longer started.
const LATEST_START_SHARE: f64 = 0.2;

/// Share of the moving time that one step takes.
const STEP_SHARE: f64 = 0.08;

/// Maximum time of one step. In a mesh of some hundred nodes, a membership update reaches half of
/// them in that time. A bad release that fails only under full load is stopped within two steps.
const MAX_STEP_TIME: Duration = Duration::from_millis(450);

/// Time before the deadline at which the move is completed, even if old backend servers still have
/// requests in flight. The platform answers within milliseconds, and a lost answer can be requested
/// again in the time left.
const CUTOFF_MARGIN: Duration = Duration::from_millis(1_000);

/// Schedule of one roll-out.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use swiftcart_core::Schedule;
///
/// let schedule = Schedule::new(Duration::from_secs(10));
/// assert!(!schedule.is_move_due(Duration::from_millis(4_500)));
/// assert!(schedule.is_move_due(Duration::from_millis(4_000)));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Schedule {
    moving: Duration,
}

impl Schedule {
    /// Creates the schedule of a roll-out that may take `duration`.
    #[must_use]
    pub fn new(duration: Duration) -> Self {
        Self {
            moving: duration.mul_f64(MOVING_SHARE).min(MAX_MOVING_TIME),
        }
    }

    /// Returns `true` if it is time to move the service.
    ///
    /// The trial lasts until then, because some releases fail only after they have run for a while.
    #[must_use]
    pub fn is_move_due(&self, remaining: Duration) -> bool {
        remaining <= self.moving
    }

    /// Returns `true` if it is too late to start moving the service.
    #[must_use]
    pub fn is_too_late(&self, remaining: Duration) -> bool {
        remaining <= self.moving.mul_f64(1.0 - LATEST_START_SHARE)
    }

    /// Returns the duration of one step.
    #[must_use]
    pub fn step_duration(&self) -> Duration {
        MAX_STEP_TIME.min(self.moving.mul_f64(STEP_SHARE))
    }

    /// Returns `true` if the move must be completed now, even if requests are still in flight.
    #[must_use]
    pub fn is_past_cutoff(&self, remaining: Duration) -> bool {
        remaining <= CUTOFF_MARGIN.min(self.moving / 4)
    }
}

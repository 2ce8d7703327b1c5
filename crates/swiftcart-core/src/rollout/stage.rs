//! Stages of a roll-out, and the requests that they allow to each backend server.

use serde::{Deserialize, Serialize};

use crate::Readiness;

/// Stage of a roll-out. If the stages known to two nodes differ, the later one is valid.
///
/// Both final stages come after all others. A stopped trial may still be completed: two nodes may
/// decide differently, and the platform accepts only one of the decisions.
#[derive(
    Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub enum RolloutStage {
    /// The order is known. The new release gets no requests.
    #[default]
    Ordered,
    /// A few backend servers of the new release get a small part of the requests.
    Trial,
    /// Backend servers of the new release replace old ones, one batch at a time.
    Moving(Step),
    /// All backend servers of the new release accept requests, and the old ones drain.
    Closing,
    /// The new release is bad, or was not shown to be good. It gets no requests.
    Stopped,
    /// The platform has recorded that the new release was rolled back.
    RolledBack,
    /// The platform has recorded that the new release is in use.
    Completed,
}

/// Number of the current step of a move, starting at 1.
///
/// Each odd step opens the next batch of new backend servers, and each even step closes as many old
/// ones. Each new backend server thus gets its full load while few requests are at risk.
#[derive(
    Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Step(pub u8);

impl Step {
    /// First step.
    pub const FIRST: Self = Self(1);
    /// Last step. All remaining old backend servers close after it.
    pub const LAST: Self = Self(2 * RolloutBatch::COUNT - 1);

    /// Returns the stage that follows this step.
    #[must_use]
    pub const fn next(self) -> RolloutStage {
        match self.0 < Self::LAST.0 {
            true => RolloutStage::Moving(Self(self.0 + 1)),
            false => RolloutStage::Closing,
        }
    }
}

/// Batch in which a backend server opens or closes during a move.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RolloutBatch(u8);

impl RolloutBatch {
    /// Number of batches.
    const COUNT: u8 = 4;
    /// First batch. It contains the backend servers that took part in the trial.
    pub const FIRST: Self = Self(1);

    /// Returns the batch of the backend server at `position` among `all` of its side.
    ///
    /// # Examples
    ///
    /// ```
    /// use swiftcart_core::RolloutBatch;
    ///
    /// assert_eq!(RolloutBatch::new(0, 8), RolloutBatch::FIRST);
    /// assert!(RolloutBatch::new(7, 8) > RolloutBatch::new(5, 8));
    /// ```
    #[must_use]
    pub fn new(position: usize, all: usize) -> Self {
        let index = position.min(all) * usize::from(Self::COUNT) / all.max(1);
        Self(
            u8::try_from(index)
                .unwrap_or(Self::COUNT)
                .min(Self::COUNT - 1)
                + 1,
        )
    }

    const fn opens(self, step: Step) -> bool {
        step.0 + 1 >= 2 * self.0
    }

    const fn closes(self, step: Step) -> bool {
        step.0 >= 2 * self.0
    }
}

/// Side of a backend server in a roll-out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Side {
    /// The backend server runs a release that is neither new nor barred, or does not report its
    /// release.
    Old,
    /// The backend server runs the release that the order names.
    New,
    /// The backend server runs a release that was rolled back or superseded before it was in use.
    Barred,
}

/// Requests that a backend server may get during a roll-out.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Clearance {
    /// All requests within its capacity.
    #[default]
    Open,
    /// Requests within the credit granted by the trial.
    OnCredit,
    /// No requests at the moment. The backend server may be restarted with another release at any
    /// time.
    Closed,
    /// No new requests. The backend server is about to be stopped.
    Draining,
}

impl Clearance {
    /// Returns the readiness to announce for a backend server with the `reported` readiness.
    ///
    /// # Examples
    ///
    /// ```
    /// use swiftcart_core::{Clearance, Readiness};
    ///
    /// assert_eq!(Clearance::Closed.readiness(Readiness::Ready), Readiness::Warming);
    /// assert_eq!(Clearance::Open.readiness(Readiness::Draining), Readiness::Draining);
    /// ```
    #[must_use]
    pub const fn readiness(self, reported: Readiness) -> Readiness {
        match (self, reported) {
            (Self::Closed, Readiness::Ready) => Readiness::Warming,
            (Self::OnCredit, Readiness::Ready) => Readiness::OnTrial,
            (Self::Draining, Readiness::Ready) => Readiness::Draining,
            (_, reported) => reported,
        }
    }
}

impl RolloutStage {
    /// Returns the clearance of a backend server on `side`.
    ///
    /// # Examples
    ///
    /// ```
    /// use swiftcart_core::{Clearance, RolloutBatch, RolloutStage, Side, Step};
    ///
    /// let of = |stage: RolloutStage, side| stage.clearance(side, RolloutBatch::FIRST);
    /// assert_eq!(of(RolloutStage::Trial, Side::New), Clearance::OnCredit);
    /// assert_eq!(of(RolloutStage::Moving(Step(1)), Side::New), Clearance::Open);
    /// assert_eq!(of(RolloutStage::Moving(Step(1)), Side::Old), Clearance::Open);
    /// assert_eq!(of(RolloutStage::Moving(Step(2)), Side::Old), Clearance::Draining);
    /// assert_eq!(of(RolloutStage::Stopped, Side::New), Clearance::Closed);
    /// ```
    #[must_use]
    pub const fn clearance(self, side: Side, batch: RolloutBatch) -> Clearance {
        match (self, side) {
            (_, Side::Barred) => Clearance::Closed,
            (Self::Moving(step), Side::Old) if batch.closes(step) => Clearance::Draining,
            (Self::Moving(step), Side::New) if batch.opens(step) => Clearance::Open,
            (Self::Closing | Self::Completed, Side::Old) => Clearance::Draining,
            (_, Side::Old) => Clearance::Open,
            (Self::Closing | Self::Completed, Side::New) => Clearance::Open,
            (Self::Trial, Side::New) => Clearance::OnCredit,
            (Self::Ordered | Self::Moving(_) | Self::Stopped | Self::RolledBack, Side::New) => {
                Clearance::Closed
            }
        }
    }

    /// Returns `true` if the platform has recorded the result.
    #[must_use]
    pub const fn is_over(self) -> bool {
        matches!(self, Self::RolledBack | Self::Completed)
    }

    /// Returns a number that increases with each stage.
    pub(super) const fn number(self) -> u8 {
        match self {
            Self::Ordered => 0,
            Self::Trial => 1,
            Self::Moving(step) => 1 + step.0,
            Self::Closing => u8::MAX - 3,
            Self::Stopped => u8::MAX - 2,
            Self::RolledBack => u8::MAX - 1,
            Self::Completed => u8::MAX,
        }
    }

    /// Returns the name used in logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Ordered => "ordered",
            Self::Trial => "trial",
            Self::Moving(_) => "moving",
            Self::Closing => "closing",
            Self::Stopped => "stopped",
            Self::RolledBack => "rolled-back",
            Self::Completed => "completed",
        }
    }
}

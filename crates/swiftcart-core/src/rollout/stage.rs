//! How far a roll-out is, and what that means for one backend server.

use serde::{Deserialize, Serialize};

use crate::Readiness;

/// How far a roll-out is; whoever knows a later stage is right.
///
/// Both ends come after every other stage. A trial that was stopped may still be told to be
/// completed: two nodes judged, and the platform accepted the other one's word.
#[derive(
    Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub enum RolloutStage {
    /// The order is known. The new release gets nothing.
    #[default]
    Ordered,
    /// A few backend servers of the new release get a small part of the requests.
    Trial,
    /// Backend servers of the new release take over from old ones, a part of them at a time.
    Moving(Step),
    /// All of the new release take work, and the old ones finish what they have.
    Closing,
    /// The new release is bad, or could not be shown to be good. It gets nothing.
    Stopped,
    /// The platform knows that the new release was taken back.
    RolledBack,
    /// The platform knows that the new release is in use.
    Completed,
}

/// How many of its steps a move has made.
///
/// In each odd one the next part of the new backend servers opens, in each even one as many of the
/// old ones close. So each new one gets the load of a full service while few requests are at stake.
#[derive(
    Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Step(pub u8);

impl Step {
    /// The first one.
    pub const FIRST: Self = Self(1);
    /// The last one; after it all old ones close.
    pub const LAST: Self = Self(2 * RolloutBatch::MOST - 1);

    /// Returns the stage after this step.
    #[must_use]
    pub const fn next(self) -> RolloutStage {
        match self.0 < Self::LAST.0 {
            true => RolloutStage::Moving(Self(self.0 + 1)),
            false => RolloutStage::Closing,
        }
    }
}

/// When a backend server has its turn in a move: with the first part of its side, or a later one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RolloutBatch(u8);

impl RolloutBatch {
    /// The parts in which a service moves.
    const MOST: u8 = 4;
    /// The turn of those that were tried.
    pub const FIRST: Self = Self(1);

    /// Returns the turn of the one at `place` among `all` of its side.
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
    pub fn new(place: usize, all: usize) -> Self {
        let part = place.min(all) * usize::from(Self::MOST) / all.max(1);
        Self(u8::try_from(part).unwrap_or(Self::MOST).min(Self::MOST - 1) + 1)
    }

    const fn opens(self, step: Step) -> bool {
        step.0 + 1 >= 2 * self.0
    }

    const fn closes(self, step: Step) -> bool {
        step.0 >= 2 * self.0
    }
}

/// Which side of a roll-out a backend server is on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Side {
    /// It is of the release that was in use before.
    Old,
    /// It is of the release that the order names.
    New,
    /// It is of a release that was taken back, or replaced by a later order, before it was in use.
    Barred,
}

/// What a backend server is given during a roll-out.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Clearance {
    /// As much as it takes.
    #[default]
    Open,
    /// What the trial has given it credit for.
    OnCredit,
    /// Nothing yet, or nothing any more; it may be started as another one any time.
    Closed,
    /// Nothing new; it is about to be stopped.
    Draining,
}

impl Clearance {
    /// Returns what the backend server is announced as that says `own` of itself.
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
    pub const fn readiness(self, own: Readiness) -> Readiness {
        match (self, own) {
            (Self::Closed, Readiness::Ready) => Readiness::Warming,
            (Self::OnCredit, Readiness::Ready) => Readiness::OnTrial,
            (Self::Draining, Readiness::Ready) => Readiness::Draining,
            (_, own) => own,
        }
    }
}

impl RolloutStage {
    /// Returns what a backend server on `side` is given.
    ///
    /// # Examples
    ///
    /// ```
    /// use swiftcart_core::{Clearance, RolloutStage, Side, Step, RolloutBatch};
    ///
    /// let of = |stage: RolloutStage, side| stage.clearance(side, RolloutBatch::FIRST);
    /// assert_eq!(of(RolloutStage::Trial, Side::New), Clearance::OnCredit);
    /// assert_eq!(of(RolloutStage::Moving(Step(1)), Side::New), Clearance::Open);
    /// assert_eq!(of(RolloutStage::Moving(Step(1)), Side::Old), Clearance::Open);
    /// assert_eq!(of(RolloutStage::Moving(Step(2)), Side::Old), Clearance::Draining);
    /// assert_eq!(of(RolloutStage::Stopped, Side::New), Clearance::Closed);
    /// ```
    #[must_use]
    pub const fn clearance(self, side: Side, turn: RolloutBatch) -> Clearance {
        match (self, side) {
            (_, Side::Barred) => Clearance::Closed,
            (Self::Moving(step), Side::Old) if turn.closes(step) => Clearance::Draining,
            (Self::Moving(step), Side::New) if turn.opens(step) => Clearance::Open,
            (Self::Closing | Self::Completed, Side::Old) => Clearance::Draining,
            (_, Side::Old) => Clearance::Open,
            (Self::Closing | Self::Completed, Side::New) => Clearance::Open,
            (Self::Trial, Side::New) => Clearance::OnCredit,
            (Self::Ordered | Self::Moving(_) | Self::Stopped | Self::RolledBack, Side::New) => {
                Clearance::Closed
            }
        }
    }

    /// Tells whether the platform knows the end.
    #[must_use]
    pub const fn is_over(self) -> bool {
        matches!(self, Self::RolledBack | Self::Completed)
    }

    /// Returns a number that grows with each stage.
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

//! What a round asks for, and why.

use crate::{Grant, NodeId, RolloutFinding, RolloutStage};

/// Why a roll-out goes on.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Cause {
    /// Backend servers of the new release are ready.
    Ready,
    /// Every route that matters shows that the release is as good as the old one.
    Approved,
    /// The time is over, and nothing speaks against the release.
    Passed,
    /// The step before has lasted long enough.
    NextStep,
    /// The old backend servers have finished.
    Emptied,
    /// The deadline is there; what the old ones still run is cut off.
    TimeOver,
    /// There is no backend server of another release.
    NobodyElse,
    /// The release is bad.
    Bad(RolloutFinding),
    /// The time is over, and the release could not be shown to be good.
    Unproven(Option<RolloutFinding>),
}

impl Cause {
    /// Returns the name used in logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Ready => "ready",
            Self::Approved => "approved",
            Self::Passed => "passed",
            Self::NextStep => "next-step",
            Self::Emptied => "emptied",
            Self::TimeOver => "time-over",
            Self::NobodyElse => "nobody-else",
            Self::Bad(_) => "bad",
            Self::Unproven(_) => "unproven",
        }
    }

    /// Returns what was found, where that decided.
    #[must_use]
    pub const fn finding(self) -> Option<RolloutFinding> {
        match self {
            Self::Bad(finding) => Some(finding),
            Self::Unproven(finding) => finding,
            _ => None,
        }
    }
}

/// What a round asks for.
#[derive(Debug, Clone, PartialEq)]
pub enum TrialAction {
    /// Let a backend server of the new release run some more requests.
    Grant(NodeId, Grant),
    /// Go on to another stage.
    Advance(Advance),
}

/// A step to another stage, and why.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Advance {
    /// The stage.
    pub stage: RolloutStage,
    /// Why.
    pub cause: Cause,
}

impl Advance {
    pub(super) const fn new(stage: RolloutStage, cause: Cause) -> Self {
        Self { stage, cause }
    }
}

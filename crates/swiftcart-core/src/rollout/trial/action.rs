//! Actions of a trial, and their causes.

use crate::{Grant, NodeId, RolloutFinding, RolloutStage};

/// Cause of a stage change.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Cause {
    /// Backend servers of the new release are ready.
    Ready,
    /// All separately compared routes show that the new release is as good as the old one.
    Approved,
    /// The time for the trial is over, and nothing indicates a bad release.
    Passed,
    /// The previous step has lasted long enough.
    NextStep,
    /// The old backend servers have drained.
    OldDrained,
    /// The deadline is reached. Requests in flight at old backend servers are cut off.
    DeadlineReached,
    /// The service has no backend server of another release.
    NoOldServers,
    /// The new release is bad.
    Bad(RolloutFinding),
    /// The time for the trial is over, and the new release was not shown to be good.
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
            Self::OldDrained => "emptied",
            Self::DeadlineReached => "time-over",
            Self::NoOldServers => "nobody-else",
            Self::Bad(_) => "bad",
            Self::Unproven(_) => "unproven",
        }
    }

    /// Returns the finding that caused the stage change, if any.
    #[must_use]
    pub const fn finding(self) -> Option<RolloutFinding> {
        match self {
            Self::Bad(finding) => Some(finding),
            Self::Unproven(finding) => finding,
            _ => None,
        }
    }
}

/// Action requested by an evaluation.
#[derive(Debug, Clone, PartialEq)]
pub enum TrialAction {
    /// Grants more requests to a backend server of the new release.
    Grant(NodeId, Grant),
    /// Advances the roll-out to another stage.
    Advance(Advance),
}

/// Stage change and its cause.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Advance {
    /// New stage.
    pub stage: RolloutStage,
    /// Cause of the change.
    pub cause: Cause,
}

impl Advance {
    pub(super) const fn new(stage: RolloutStage, cause: Cause) -> Self {
        Self { stage, cause }
    }
}

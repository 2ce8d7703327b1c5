//! Verdict of a completed task.

use std::ops::BitAnd;
use std::process::ExitCode;

/// Result of the checks of a completed task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Verdict {
    /// All checks passed.
    Passed,
    /// At least one check failed; the task has printed which.
    Failed,
}

impl From<bool> for Verdict {
    fn from(passed: bool) -> Self {
        if passed { Self::Passed } else { Self::Failed }
    }
}

impl From<Verdict> for ExitCode {
    fn from(verdict: Verdict) -> Self {
        match verdict {
            Verdict::Passed => Self::SUCCESS,
            Verdict::Failed => Self::FAILURE,
        }
    }
}

impl BitAnd for Verdict {
    type Output = Self;

    fn bitand(self, rhs: Self) -> Self {
        match (self, rhs) {
            (Self::Passed, Self::Passed) => Self::Passed,
            _ => Self::Failed,
        }
    }
}

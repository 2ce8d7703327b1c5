//! The end of a chore that ran.

use std::ops::BitAnd;
use std::process::ExitCode;

/// Tells whether everything that a chore looked at holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Verdict {
    /// Everything holds.
    Passed,
    /// Something does not hold; the chore has printed what.
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

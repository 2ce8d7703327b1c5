//! What a caller is told about its request.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Tells a caller what became of its request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The backend server gave a whole answer.
    Done,
    /// The request never reached a backend server.
    NotRun,
    /// The request was handed over and no whole answer came back.
    Unknown,
}

impl Outcome {
    /// Returns the name used in headers, logs and metrics.
    ///
    /// # Examples
    ///
    /// ```
    /// assert_eq!(swiftcart_core::Outcome::NotRun.as_str(), "not-run");
    /// ```
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

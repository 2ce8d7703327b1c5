//! Why a call to the platform failed, and what that means for an append.

use std::time::Duration;

use quick_error::quick_error;
use serde::{Deserialize, Serialize};

/// Tells whether a failed append may have taken effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AppendOutcome {
    /// The platform never took the record.
    NotTaken,
    /// The platform may have taken the record; only reading the stream settles it.
    Unknown,
}

quick_error! {
    /// Tells why a call to the platform failed.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum PlatformError {
        /// No connection could be made.
        Connect {
            display("the platform accepts no connection")
        }
        /// The connection ended before a whole answer came.
        Broken {
            display("the connection to the platform ended before its answer")
        }
        /// No whole answer came in time.
        Timeout {
            display("the platform did not answer in time")
        }
        /// The platform says that it has an outage (503), and the delay that it asks for.
        #[allow(missing_docs)]
        Outage { retry_after: Option<Duration> } {
            display("the platform has an outage")
        }
        /// The platform takes no more appends at this rate (429), and the delay that it asks for.
        #[allow(missing_docs)]
        Throttled { retry_after: Option<Duration> } {
            display("the platform throttles appends")
        }
        /// The platform answered with another status than the protocol's.
        #[allow(missing_docs)]
        Refused { status: u16 } {
            display("the platform answered with status {status}")
        }
        /// The answer does not follow the protocol.
        Malformed {
            display("the platform's answer is malformed")
        }
        /// The record, or the page asked for, is larger than its bound.
        ///
        /// A reader asks for fewer records; an appender cannot append this body.
        TooLarge {
            display("the record or the page is too large")
        }
        /// The stream's name has characters outside `a-z A-Z 0-9 . _ -`, or a bad length.
        BadStream {
            display("the stream's name is not 1 to 200 of: a-z A-Z 0-9 . _ -")
        }
    }
}

impl PlatformError {
    /// Tells whether the append that failed so may have taken effect.
    ///
    /// # Examples
    ///
    /// ```
    /// use swiftcart_platform::{AppendOutcome, PlatformError};
    ///
    /// assert_eq!(PlatformError::Connect.append_outcome(), AppendOutcome::NotTaken);
    /// assert_eq!(PlatformError::Timeout.append_outcome(), AppendOutcome::Unknown);
    /// ```
    #[must_use]
    pub const fn append_outcome(&self) -> AppendOutcome {
        match self {
            Self::Connect | Self::BadStream | Self::TooLarge => AppendOutcome::NotTaken,
            Self::Outage { .. } | Self::Throttled { .. } => AppendOutcome::NotTaken,
            Self::Refused { status: 400..=499 } => AppendOutcome::NotTaken,
            Self::Refused { .. } | Self::Broken | Self::Timeout | Self::Malformed => {
                AppendOutcome::Unknown
            }
        }
    }

    /// Returns the delay that the platform asks for, if it names one.
    #[must_use]
    pub const fn retry_after(&self) -> Option<Duration> {
        match self {
            Self::Outage { retry_after } | Self::Throttled { retry_after } => *retry_after,
            _ => None,
        }
    }

    /// Returns the name used in logs and metrics.
    #[must_use]
    pub const fn as_str(&self) -> &'static str {
        match self {
            Self::Connect => "connect",
            Self::Broken => "broken",
            Self::Timeout => "timeout",
            Self::Outage { .. } => "outage",
            Self::Throttled { .. } => "throttled",
            Self::Refused { .. } => "refused",
            Self::Malformed => "malformed",
            Self::TooLarge => "too-large",
            Self::BadStream => "bad-stream",
        }
    }
}

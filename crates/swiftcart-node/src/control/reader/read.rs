//! Purpose, state and result of a read of the platform.

use std::time::Duration;

use swiftcart_core::{Instant, Offset, Snapshot, Version};
use swiftcart_platform::{Page, PlatformError};
use tokio::task::JoinHandle;

/// Successful result of a read.
#[derive(Debug)]
pub(in crate::control) enum Read {
    /// Records of the log.
    Page(Page),
    /// Newest snapshot, or `None` if it is not newer than the known version.
    Newest(Option<Snapshot>),
    /// Version from another node that is confirmed to be the newest one.
    Confirmed(Version),
    /// The platform cannot tell whether a newer version exists.
    UnknownPosition,
}

impl Read {
    /// Returns the newest position that the read found, or `None` if it cannot tell.
    pub(in crate::control) fn end(&self) -> Option<Offset> {
        match self {
            Self::Page(page) => Some(page.next),
            Self::Newest(snapshot) => {
                let version = snapshot.as_ref().map_or(Version::NONE, |s| s.version);
                Some(Offset(version.0))
            }
            Self::Confirmed(version) => Some(Offset(version.0)),
            Self::UnknownPosition => None,
        }
    }
}

/// Purpose of a read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::control) enum ReadKind {
    /// A starting node reads the newest version once.
    Join,
    /// A reader waits for a newer version.
    LongPoll,
    /// The node checks for all nodes whether the version is still the newest one.
    Confirm {
        /// Time to wait for a newer version.
        wait: Duration,
    },
}

impl ReadKind {
    /// Returns the name of the kind in logs and metrics.
    pub(in crate::control) const fn as_str(self) -> &'static str {
        match self {
            Self::Join => "once",
            Self::LongPoll => "long-poll",
            Self::Confirm { .. } => "confirm",
        }
    }

    /// Returns `true` if the result is told to all nodes.
    pub(in crate::control) const fn confirms(self) -> bool {
        matches!(self, Self::Confirm { .. })
    }
}

/// Purpose and times of a read that has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::control) struct FinishedRead {
    pub(in crate::control) kind: ReadKind,
    pub(in crate::control) began: Instant,
    /// Time at which the platform had nothing newer than the result.
    pub(in crate::control) as_of: Instant,
}

/// Read that has ended, and its result.
#[derive(Debug)]
pub(in crate::control) struct ReadOutcome {
    pub(in crate::control) read: FinishedRead,
    pub(in crate::control) result: Result<Read, PlatformError>,
    /// Number of the read.
    pub(super) number: u64,
}

/// Read that is open. Dropping it aborts the read.
#[derive(Debug)]
pub(super) struct OpenRead {
    pub(super) kind: ReadKind,
    pub(super) number: u64,
    pub(super) task: JoinHandle<()>,
}

impl Drop for OpenRead {
    fn drop(&mut self) {
        self.task.abort();
    }
}

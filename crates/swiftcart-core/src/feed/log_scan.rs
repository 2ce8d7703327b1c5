//! Scan for a checkpoint in the log, for readers that are far behind.

use crate::Offset;

/// State of a reader's scan for a checkpoint.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub(super) enum LogScan {
    /// No scan is needed. The reader continues from its own position.
    #[default]
    Inactive,
    /// The reader scans the last records of the log from `at` to `end`. This saves the reads of all
    /// earlier records.
    Recent { at: Offset, end: Offset },
    /// The next record of the reader has expired. The reader scans the whole log from `at` on.
    Full { at: Offset },
    /// The last records hold no usable checkpoint. The reader continues from its own position.
    Failed,
}

impl LogScan {
    /// Returns the scan of a reader at `position` after a page was read. The page reports the
    /// oldest offset `first` and the end `next` of the log.
    pub fn with_bounds(self, position: Offset, first: Offset, next: Offset, lookback: u64) -> Self {
        let recent_start = Offset(next.0.saturating_sub(lookback));
        match self {
            _ if position >= first && position >= recent_start => Self::Inactive,
            Self::Inactive if recent_start > first => Self::Recent {
                at: recent_start,
                end: next,
            },
            Self::Recent { at, end } if at < end => Self::Recent {
                at: at.max(first),
                end,
            },
            Self::Full { at } if position < first => Self::Full { at: at.max(first) },
            _ if position < first => Self::Full { at: first },
            _ => Self::Failed,
        }
    }

    /// Returns the next offset to scan, or `None` if the reader continues from its own position.
    pub const fn scan_offset(self) -> Option<Offset> {
        match self {
            Self::Inactive | Self::Failed => None,
            Self::Recent { at, .. } | Self::Full { at } => Some(at),
        }
    }

    /// Returns the scan after a record without a usable checkpoint.
    pub const fn advanced(self) -> Self {
        match self {
            Self::Recent { at, end } => Self::Recent { at: at.next(), end },
            Self::Full { at } => Self::Full { at: at.next() },
            Self::Inactive | Self::Failed => self,
        }
    }
}

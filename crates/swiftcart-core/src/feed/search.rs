//! Where a reader that is far behind looks for a checkpoint in the log.

use crate::Offset;

/// How the reader goes on.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub(super) enum Search {
    /// It reads on from its own position.
    #[default]
    None,
    /// It looks from here up to the end that it first saw, to save reads.
    Near { at: Offset, end: Offset },
    /// Records that it needs have expired: it looks at everything that is kept.
    All { at: Offset },
    /// Nothing was found near the end: it reads on from its own position.
    Failed,
}

impl Search {
    /// Returns the search after a page told the log's bounds.
    pub fn with_bounds(self, position: Offset, first: Offset, next: Offset, lookback: u64) -> Self {
        let near = Offset(next.0.saturating_sub(lookback));
        match self {
            _ if position >= first && position >= near => Self::None,
            Self::None if near > first => Self::Near {
                at: near,
                end: next,
            },
            Self::Near { at, end } if at < end => Self::Near {
                at: at.max(first),
                end,
            },
            Self::All { at } if position < first => Self::All { at: at.max(first) },
            _ if position < first => Self::All { at: first },
            _ => Self::Failed,
        }
    }

    /// Returns the offset to look at next, or `None` when it reads on.
    pub const fn at(self) -> Option<Offset> {
        match self {
            Self::None | Self::Failed => None,
            Self::Near { at, .. } | Self::All { at } => Some(at),
        }
    }

    /// Returns the search after it looked at one record in vain.
    pub const fn stepped(self) -> Self {
        match self {
            Self::Near { at, end } => Self::Near { at: at.next(), end },
            Self::All { at } => Self::All { at: at.next() },
            Self::None | Self::Failed => self,
        }
    }
}

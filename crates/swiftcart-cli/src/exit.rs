//! Exit codes for scripts.

/// Outcome of a command as an exit code.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Exit {
    /// The command succeeded.
    #[default]
    Done,
    /// The command failed for a reason that no other code covers.
    Failed,
    /// The command line, the settings or the sheet is invalid; nothing was published.
    Usage,
    /// The publish was rejected; nothing changed.
    Rejected,
    /// The platform was unreachable; nothing was published.
    Unreachable,
    /// The publish may have been accepted; running the same command with the same id resolves this.
    Unknown,
    /// The publish was accepted, but some live nodes did not have it when the wait ended.
    Stragglers,
}

impl Exit {
    /// Returns the process's exit code.
    ///
    /// # Examples
    ///
    /// ```
    /// assert_eq!(swiftcart_cli::Exit::Rejected.code(), 3);
    /// ```
    #[must_use]
    pub const fn code(self) -> u8 {
        match self {
            Self::Done => 0,
            Self::Failed => 1,
            Self::Usage => 2,
            Self::Rejected => 3,
            Self::Unreachable => 4,
            Self::Unknown => 5,
            Self::Stragglers => 6,
        }
    }
}

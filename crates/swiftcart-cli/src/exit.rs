//! The exit codes that scripts rely on.

/// Tells a script how the command ended.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Exit {
    /// The command did what it was asked.
    #[default]
    Done,
    /// A failure that no other code names.
    Failed,
    /// The command line, the settings or the sheet is wrong; nothing was published.
    Usage,
    /// The publish was rejected; nothing changed.
    Rejected,
    /// The platform was out of reach; nothing was published.
    Unreachable,
    /// The publish may have been taken; the same command with the same id settles it.
    Unknown,
    /// The publish was accepted, but nodes still lacked it when the wait was over.
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

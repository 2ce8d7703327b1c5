//! How many records a reader asks for at once.

use crate::PlatformError;

/// Shrinks when a page was too large and grows back while pages come.
///
/// A page is bounded in bytes, not in records, so that a reader that meets long
/// records has to ask for fewer of them, or it would never get past them.
///
/// # Examples
///
/// ```
/// use swiftcart_platform::{PageLimit, PlatformError};
///
/// let mut limit = PageLimit::new(200);
/// assert!(limit.shrink(&PlatformError::TooLarge));
/// assert_eq!(limit.records(), 50);
/// limit.grow();
/// assert_eq!(limit.records(), 100);
/// assert!(!limit.shrink(&PlatformError::Timeout));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct PageLimit {
    records: u32,
    most: u32,
}

impl PageLimit {
    /// Creates the limit of a reader that asks for `most` records while they are short.
    #[must_use]
    pub const fn new(most: u32) -> Self {
        Self {
            records: most,
            most,
        }
    }

    /// Returns how many records to ask for.
    #[must_use]
    pub const fn records(&self) -> u32 {
        self.records
    }

    /// Notes a page that came.
    pub fn grow(&mut self) {
        self.records = self.records.saturating_mul(2).min(self.most);
    }

    /// Notes a read that failed; returns whether asking for fewer records at once may help.
    pub fn shrink(&mut self, error: &PlatformError) -> bool {
        let helps = matches!(error, PlatformError::TooLarge) && self.records > 1;
        if helps {
            self.records = (self.records / 4).max(1);
        }
        helps
    }
}

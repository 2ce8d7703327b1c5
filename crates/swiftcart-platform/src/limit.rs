//! Adaptive limit on the number of records in a page.

use crate::PlatformError;

/// Number of records to request in one read.
///
/// The limit shrinks when a page is too large and grows again while reads succeed. Pages are
/// bounded in bytes, not in records. A reader therefore has to request fewer records when the
/// records are long. Otherwise the reader's position would never advance.
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
    max: u32,
}

impl PageLimit {
    /// Creates a limit that starts at its maximum of `max` records.
    #[must_use]
    pub const fn new(max: u32) -> Self {
        Self { records: max, max }
    }

    /// Returns the number of records to request.
    #[must_use]
    pub const fn records(&self) -> u32 {
        self.records
    }

    /// Records a successful read and doubles the limit, up to its maximum.
    pub fn grow(&mut self) {
        self.records = self.records.saturating_mul(2).min(self.max);
    }

    /// Records a failed read and, if the page was too large, divides the limit by four.
    ///
    /// Returns `true` if the limit shrank and an immediate retry may succeed.
    pub fn shrink(&mut self, error: &PlatformError) -> bool {
        let can_shrink = matches!(error, PlatformError::TooLarge) && self.records > 1;
        if can_shrink {
            self.records = (self.records / 4).max(1);
        }
        can_shrink
    }
}

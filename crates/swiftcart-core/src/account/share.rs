//! Standing of a client account relative to its fair share of a service.

use serde::{Deserialize, Serialize};

/// Standing of a client account at a service that has less room than its callers ask for.
///
/// Among requests of one priority, those of accounts within their share precede those of accounts
/// that have used more than their share.
#[derive(
    Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum ShareStanding {
    /// The account has used no more than its share, or shares do not apply.
    #[default]
    Within,
    /// The account has used more than its share.
    Beyond,
}

impl ShareStanding {
    /// Returns the name in logs and metrics.
    ///
    /// # Examples
    ///
    /// ```
    /// assert_eq!(swiftcart_core::ShareStanding::Beyond.as_str(), "beyond");
    /// ```
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Within => "within",
            Self::Beyond => "beyond",
        }
    }
}

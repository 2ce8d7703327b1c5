//! Rate limit that a backend server states in a notice.

use std::fmt;
use std::str::FromStr;

use quick_error::quick_error;

quick_error! {
    /// Error of a text that is not a valid rate limit.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum RateError {
        /// The text is not a decimal number.
        Syntax {
            display("the rate limit must be a decimal number of requests per second, for example 49.2")
        }
        /// The number is negative or not finite.
        Range {
            display("the rate limit must be a finite number of requests per second, 0 or more")
        }
    }
}

/// Rate limit of a backend server for all callers together, in requests per second; 0 or more.
///
/// # Examples
///
/// ```
/// use swiftcart_core::ServerRate;
///
/// assert_eq!("49.2".parse(), Ok(ServerRate::new(49.2).expect("a rate")));
/// assert!("-1".parse::<ServerRate>().is_err());
/// assert!("soon".parse::<ServerRate>().is_err());
/// ```
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct ServerRate(f64);

impl ServerRate {
    /// Creates a rate limit, or returns `None` if `per_second` is negative or not finite.
    #[must_use]
    pub fn new(per_second: f64) -> Option<Self> {
        (per_second.is_finite() && per_second >= 0.0).then_some(Self(per_second))
    }

    /// Returns the lower of two rate limits.
    #[must_use]
    pub const fn lower(self, other: Self) -> Self {
        Self(self.0.min(other.0))
    }

    /// Returns the requests per second.
    #[must_use]
    pub const fn per_second(self) -> f64 {
        self.0
    }
}

impl FromStr for ServerRate {
    type Err = RateError;

    fn from_str(text: &str) -> Result<Self, RateError> {
        let number = text.trim().parse().map_err(|_| RateError::Syntax)?;
        Self::new(number).ok_or(RateError::Range)
    }
}

impl fmt::Display for ServerRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

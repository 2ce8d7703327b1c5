//! A rate as a backend server names it.

use std::fmt;
use std::str::FromStr;

use quick_error::quick_error;

quick_error! {
    /// Tells why a text names no rate.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum RateError {
        /// It is no decimal number.
        Syntax {
            display("a rate is a decimal number of requests a second, for example 49.2")
        }
        /// It is below zero or without bounds.
        Range {
            display("a rate is a number of requests a second from 0 on")
        }
    }
}

/// Requests a second that a backend server takes from all callers together, 0 or more.
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
    /// Creates a rate; `None` when `per_second` is below zero or not finite.
    #[must_use]
    pub fn new(per_second: f64) -> Option<Self> {
        (per_second.is_finite() && per_second >= 0.0).then_some(Self(per_second))
    }

    /// Returns the lower one of two rates.
    #[must_use]
    pub const fn lower(self, other: Self) -> Self {
        Self(self.0.min(other.0))
    }

    /// Returns the requests a second.
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

//! HTTP client for the platform's append-only log.
//!
//! A [`Platform`] appends records and reads pages. Each method makes exactly one call. The caller
//! decides whether and when to retry. [`PlatformError::append_outcome`] says whether a failed
//! append may have taken effect.

mod backoff;
mod client;
mod error;
mod limit;
mod transport;
mod wire;

pub use backoff::Backoff;
pub use client::*;
pub use error::*;
pub use limit::PageLimit;
pub use transport::*;

//! Talks to the platform's append-only log over HTTP.
//!
//! A [`Platform`] appends records and reads pages, once each call: whether and
//! when to try again is the caller's decision, for which [`PlatformError::append_outcome`]
//! tells whether an append may have taken effect.

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

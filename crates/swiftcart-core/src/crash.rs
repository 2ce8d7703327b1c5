//! Detection and quarantine of requests that crash the backend servers that run them.

mod detector;
mod finding;
mod fingerprint;
mod history;
mod quarantine;
mod record;

pub use detector::*;
pub use finding::*;
pub use fingerprint::*;
pub use quarantine::*;
pub use record::*;

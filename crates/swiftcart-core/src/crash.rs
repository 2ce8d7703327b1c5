//! Requests that end the backend servers that run them: which ones they are, and who knows of it.

mod fingerprint;
mod watch;

pub use fingerprint::*;
pub use watch::*;

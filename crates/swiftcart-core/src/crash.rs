//! Requests that end the backend servers that run them: which ones they are, and who knows of it.

mod ends;
mod finding;
mod fingerprint;
mod memo;
mod quarantine;
mod watch;

pub use finding::*;
pub use fingerprint::*;
pub use memo::*;
pub use quarantine::*;
pub use watch::*;

//! Requests that end the backend servers that run them: which ones they are, and who knows of it.

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

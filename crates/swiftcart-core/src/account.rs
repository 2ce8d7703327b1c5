//! Client accounts: who sends a request, and how much each of them may send over the whole mesh.
//!
//! The node that a caller reaches finds the account by the caller's API key and counts the request.
//! One node, the account's [`QuotaLedger`], adds up what all nodes have counted and tells them which
//! part of the account's requests to admit. Nobody waits for an answer of the ledger.

mod directory;
mod entry;
mod key;
mod ledger;
mod meter;
mod usage;

pub use directory::*;
pub use entry::*;
pub use key::*;
pub use ledger::*;
pub use meter::*;
pub use usage::*;

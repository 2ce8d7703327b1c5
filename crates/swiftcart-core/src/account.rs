//! Client accounts: identification by API key, and request quotas over the whole mesh.
//!
//! The ingress finds the account by the caller's API key and counts the request. One node runs the
//! account's [`QuotaLedger`]. The ledger adds up the counts of all nodes and sends the nodes the
//! ratio of the account's requests to admit. No request waits for a reply from the ledger.

mod directory;
mod entry;
mod fair_shares;
mod key;
mod ledger;
mod meter;
mod quota_request;
mod rank_counts;
mod share;
mod usage;

pub use directory::*;
pub use entry::*;
pub use fair_shares::*;
pub use key::*;
pub use ledger::*;
pub use meter::*;
pub use quota_request::*;
pub use share::*;
pub use usage::*;

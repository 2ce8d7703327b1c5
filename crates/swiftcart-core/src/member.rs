//! Membership: who takes part, who is believed alive, and how nodes agree on it.
//!
//! Inside a failure domain the nodes probe each other and may declare one dead.
//! Between failure domains they only pass news on and note what they can reach.

mod action;
mod entry;
mod limiter;
mod list;
mod membership;
mod news;
mod peers;
mod probe;
mod prober;
mod reach;
mod settings;
mod spread;
mod succession;
mod verdict;
mod view;

pub use action::*;
pub use entry::*;
pub use limiter::*;
pub use membership::*;
pub use settings::*;
pub use succession::*;

pub use list::HASH_BUCKETS;

use list::{Applied, List};
use news::NewsQueue;
use probe::{Kind, Probe, Probes, Relay};
use reach::Reach;

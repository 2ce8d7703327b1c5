//! The fault switch: cuts this node off from chosen addresses, for failure tests.
//!
//! Only builds with the feature `faults` can be cut; without it every address is
//! reachable and the switch takes no space.

use std::net::SocketAddr;

#[cfg(feature = "faults")]
use std::collections::BTreeSet;

#[cfg(feature = "faults")]
use arc_swap::ArcSwap;

/// Tells which addresses this node behaves as cut off from.
#[derive(Debug, Default)]
pub struct Faults {
    #[cfg(feature = "faults")]
    cut: ArcSwap<BTreeSet<SocketAddr>>,
}

impl Faults {
    /// Tells whether packets to and from `addr` arrive.
    #[must_use]
    pub fn reaches(&self, addr: SocketAddr) -> bool {
        #[cfg(feature = "faults")]
        return !self.cut.load().contains(&addr);
        #[cfg(not(feature = "faults"))]
        return !matches!(addr.port(), 0);
    }

    /// Replaces the addresses that this node is cut off from.
    #[cfg(feature = "faults")]
    pub fn cut(&self, addrs: impl IntoIterator<Item = SocketAddr>) {
        self.cut
            .store(std::sync::Arc::new(addrs.into_iter().collect()));
    }
}

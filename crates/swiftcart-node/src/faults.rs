//! The fault switch: cuts this node off from chosen addresses, for failure tests.
//!
//! Only builds with the feature `faults` can be cut; without it every address is
//! reachable and the switch takes no space.

use std::net::SocketAddr;

#[cfg(feature = "faults")]
use std::collections::BTreeSet;

#[cfg(feature = "faults")]
use arc_swap::ArcSwap;

/// The environment variable with the addresses to start cut off from, separated by commas.
#[cfg(feature = "faults")]
pub const CUT_FROM: &str = "SWIFTCART_CUT_FROM";

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

    /// Creates the switch as the environment variable [`CUT_FROM`] sets it, so that a
    /// process can start within a cut.
    #[cfg(feature = "faults")]
    #[must_use]
    pub fn from_env() -> Self {
        let faults = Self::default();
        let addrs = std::env::var(CUT_FROM).unwrap_or_default();
        faults.cut(addrs.split(',').filter_map(|addr| addr.parse().ok()));
        faults
    }

    /// Creates the switch of a build that cannot be cut.
    #[cfg(not(feature = "faults"))]
    #[must_use]
    pub const fn from_env() -> Self {
        Self {}
    }

    /// Replaces the addresses that this node is cut off from.
    #[cfg(feature = "faults")]
    pub fn cut(&self, addrs: impl IntoIterator<Item = SocketAddr>) {
        self.cut
            .store(std::sync::Arc::new(addrs.into_iter().collect()));
    }
}

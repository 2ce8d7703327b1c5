//! Fault injection: simulates network partitions from chosen addresses, for failure tests.
//!
//! Only builds with the feature `faults` support it. In other builds every address is reachable and
//! [`Faults`] has no size.

use std::net::SocketAddr;

#[cfg(feature = "faults")]
use std::collections::BTreeSet;

#[cfg(feature = "faults")]
use arc_swap::ArcSwap;

/// Environment variable with the initially unreachable addresses, separated by commas.
#[cfg(feature = "faults")]
pub const CUT_FROM: &str = "SWIFTCART_CUT_FROM";

/// Set of addresses that this node treats as unreachable.
#[derive(Debug, Default)]
pub struct Faults {
    #[cfg(feature = "faults")]
    cut: ArcSwap<BTreeSet<SocketAddr>>,
}

impl Faults {
    /// Returns `true` if packets to and from `addr` are delivered.
    #[must_use]
    pub fn reaches(&self, addr: SocketAddr) -> bool {
        #[cfg(feature = "faults")]
        return !self.cut.load().contains(&addr);
        #[cfg(not(feature = "faults"))]
        return !matches!(addr.port(), 0);
    }

    /// Reads the unreachable addresses from the environment variable [`CUT_FROM`].
    ///
    /// This way, a process can start during a simulated partition.
    #[cfg(feature = "faults")]
    #[must_use]
    pub fn from_env() -> Self {
        let faults = Self::default();
        let addrs = std::env::var(CUT_FROM).unwrap_or_default();
        faults.cut(addrs.split(',').filter_map(|addr| addr.parse().ok()));
        faults
    }

    /// Creates the empty set of a build without fault injection.
    #[cfg(not(feature = "faults"))]
    #[must_use]
    pub const fn from_env() -> Self {
        Self {}
    }

    /// Replaces the set of unreachable addresses.
    #[cfg(feature = "faults")]
    pub fn cut(&self, addrs: impl IntoIterator<Item = SocketAddr>) {
        self.cut
            .store(std::sync::Arc::new(addrs.into_iter().collect()));
    }
}

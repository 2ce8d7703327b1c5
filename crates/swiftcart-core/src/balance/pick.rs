//! Result of a selection.

use std::net::SocketAddr;

use crate::{NodeId, SpillCause};

/// Rule that selected a backend server, used for metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum PickRule {
    /// The node's own backend server, which had a free slot.
    Own,
    /// A backend server of the same failure domain.
    Near,
    /// A backend server of another failure domain, because the node's own domain has no candidates,
    /// only ejected or full ones, or much slower ones.
    Spill,
    /// A backend server of another region, because the node's own region has no candidates or is
    /// much slower.
    Remote,
    /// An ejected backend server, because every candidate is ejected.
    Ejected,
    /// A backend server that runs a canary release.
    Trial,
}

impl PickRule {
    /// Returns `true` if the rule selects backend servers of other failure domains only.
    ///
    /// # Examples
    ///
    /// ```
    /// use swiftcart_core::PickRule;
    ///
    /// assert!(PickRule::Spill.leaves_domain());
    /// assert!(!PickRule::Near.leaves_domain());
    /// ```
    #[must_use]
    pub const fn leaves_domain(self) -> bool {
        match self {
            Self::Spill | Self::Remote => true,
            Self::Own | Self::Near | Self::Ejected | Self::Trial => false,
        }
    }
}

/// Selected backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Pick {
    /// ID of the node beside the backend server.
    pub id: NodeId,
    /// Address at which that node accepts requests for the backend server.
    pub peer: SocketAddr,
    /// Rule that selected the backend server.
    pub rule: PickRule,
    /// Cause for which the request leaves its failure domain.
    pub cause: Option<SpillCause>,
    /// `true` if the backend server is believed to have a free slot.
    pub free: bool,
}

//! Placeholder of the routing view until the core's lands.

use swiftcart_core::Member;

/// Holds the members that serve the configuration.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct View {
    /// The members that are known.
    pub members: Vec<Member>,
}

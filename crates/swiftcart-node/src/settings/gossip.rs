//! Settings of the membership protocol.

use std::time::Duration;

use serde::Deserialize;
use swiftcart_core::Gossip as Timing;

/// Timing and sizes of the membership protocol. All nodes should use the same values.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Gossip {
    /// Interval between probes, in milliseconds; default 500.
    pub probe_ms: u32,
    /// Timeout for the acknowledgement of a probe, in milliseconds; default 200.
    pub ack_ms: u32,
    /// Number of nodes that are asked for an indirect probe; default 3.
    pub indirect: u32,
    /// Time in which a suspected node can refute the suspicion, in milliseconds; default 1500.
    pub suspicion_ms: u32,
    /// Number of nodes to which a node forwards new configuration records; default 8.
    pub fanout: u32,
    /// Number of nodes per failure domain that read the platform's log; default 1.
    pub readers: u32,
    /// Lifetime of the tombstone of a dead node, in seconds; default 86400.
    pub remember_s: u32,
}

impl Default for Gossip {
    fn default() -> Self {
        Self {
            probe_ms: 500,
            ack_ms: 200,
            indirect: 3,
            suspicion_ms: 1500,
            fanout: 8,
            readers: 1,
            remember_s: 86_400,
        }
    }
}

impl Gossip {
    /// Converts the settings to the type of the core.
    ///
    /// Values without a settings key keep their defaults.
    #[must_use]
    pub fn timing(&self) -> Timing {
        let ms = |ms: u32| Duration::from_millis(ms.into());
        Timing {
            probe_interval: ms(self.probe_ms),
            ack_timeout: ms(self.ack_ms),
            suspicion_timeout: ms(self.suspicion_ms),
            indirect: usize::try_from(self.indirect).unwrap_or(usize::MAX),
            tombstone_ttl: Duration::from_secs(self.remember_s.into()),
            ..Timing::new()
        }
    }
}

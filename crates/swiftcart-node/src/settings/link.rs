//! Settings of the egress link of the instance.

use serde::Deserialize;
use swiftcart_core::LinkRate;

/// Number of kilobits per megabit.
const KBIT_PER_MBIT: f64 = 1000.0;

/// Capacity of the egress link of the instance.
#[derive(Debug, Default, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LinkSettings {
    /// Rate of the link in megabits per second; default 0: not known. With a known rate, long
    /// responses are paced to the rate of the link, so that short responses do not wait behind
    /// them.
    pub mbit_s: f64,
}

impl LinkSettings {
    /// Returns the rate of the link, if it is known.
    #[must_use]
    pub fn rate(self) -> Option<LinkRate> {
        let kbit_s = (self.mbit_s * KBIT_PER_MBIT) as u32;
        (kbit_s > 0).then_some(LinkRate { kbit_s })
    }
}

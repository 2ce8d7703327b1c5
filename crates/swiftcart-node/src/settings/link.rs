//! The instance's link.

use serde::Deserialize;
use swiftcart_core::LinkRate;

/// Kilobits in a megabit.
const KBIT: f64 = 1000.0;

/// Tells what the instance's link carries.
#[derive(Debug, Default, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LinkSettings {
    /// Its rate in megabits a second; default 0: not known. Where it is, long answers are bound by
    /// what the link carries, so that short ones do not wait behind them.
    pub mbit_s: f64,
}

impl LinkSettings {
    /// Returns the rate, where it is known.
    #[must_use]
    pub fn rate(self) -> Option<LinkRate> {
        let kbit_s = (self.mbit_s * KBIT) as u32;
        (kbit_s > 0).then_some(LinkRate { kbit_s })
    }
}

//! How much may wait at a guard.

use std::time::Duration;

use super::{LimitSettings, QueueOrder};
use crate::LinkRate;

/// Sets how much may wait.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AdmissionSettings {
    /// Requests that wait at most.
    pub queue: u32,
    /// Requests that wait at most for each one that may run.
    pub depth: f64,
    /// The longest wait.
    pub wait: Duration,
    /// Which waiting request goes next.
    pub order: QueueOrder,
    /// How the limit follows the latency.
    pub limit: LimitSettings,
    /// The rate of the instance's link, where it is known.
    pub link: Option<LinkRate>,
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        Self {
            queue: 128,
            depth: 1.0,
            wait: Duration::from_millis(500),
            order: QueueOrder::default(),
            limit: LimitSettings::default(),
            link: None,
        }
    }
}

//! Settings of admission control.

use std::time::Duration;

use super::{LimitSettings, QueueOrder};
use crate::LinkRate;

/// Settings of admission control at a guard.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AdmissionSettings {
    /// Maximum number of queued requests.
    pub queue: u32,
    /// Maximum number of queued requests for each request that may run.
    pub depth: f64,
    /// Maximum wait in the queue.
    pub wait: Duration,
    /// Order in which queued requests are started.
    pub order: QueueOrder,
    /// Settings of the adaptive concurrency limit.
    pub limit: LimitSettings,
    /// Rate of the instance's link, if known.
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

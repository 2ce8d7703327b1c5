//! Adaptive throttling of the requests that an ingress passes to the guards of a service.

use std::time::Duration;

use crate::{Priority, RequestTiming};

/// Settings of an [`AskThrottle`](crate::AskThrottle).
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AskThrottleSettings {
    /// Number of times that guards are asked for each request that they accept.
    pub asks_per_accept: f64,
    /// Time constant of the counts of asked and accepted requests.
    pub decay_time: Duration,
}

impl Default for AskThrottleSettings {
    fn default() -> Self {
        Self {
            asks_per_accept: 2.0,
            decay_time: Duration::from_millis(500),
        }
    }
}

/// Requests of one service that guards treat alike.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AskClass {
    /// Priority among the requests of the service.
    pub priority: Priority,
    /// Prospect of an answer within the latency target.
    pub timing: RequestTiming,
}

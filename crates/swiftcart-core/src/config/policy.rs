//! What a route lets a node do with its requests, and what callers may send.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Tells how often the requests of a route may be executed.
#[derive(
    Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum RequestClass {
    /// More than once without harm.
    Idempotent,
    /// Once at most.
    #[default]
    NonIdempotent,
    /// Once at most, and with a long body.
    Upload,
    /// More than once without harm, and with a long answer.
    Download,
}

impl RequestClass {
    /// Tells whether a request may be executed more than once.
    ///
    /// # Examples
    ///
    /// ```
    /// use swiftcart_core::RequestClass;
    ///
    /// assert!(RequestClass::Idempotent.is_idempotent());
    /// assert!(RequestClass::Download.is_idempotent());
    /// assert!(!RequestClass::Upload.is_idempotent());
    /// ```
    #[must_use]
    pub const fn is_idempotent(self) -> bool {
        matches!(self, Self::Idempotent | Self::Download)
    }

    /// Returns the name used in logs and between nodes.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Idempotent => "idempotent",
            Self::NonIdempotent => "non-idempotent",
            Self::Upload => "upload",
            Self::Download => "download",
        }
    }
}

/// Orders requests under overload; the lower number goes first.
#[derive(
    Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Priority(pub u8);

/// Sets how the requests of one prefix are treated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Policy {
    /// How often a request may be executed.
    pub class: RequestClass,
    /// Backend servers that one request may be sent to, at least 1.
    pub attempts: u8,
    /// Longest time for one request, in milliseconds.
    pub timeout_ms: u32,
    /// Time within which an answer is worth most, in milliseconds.
    pub target_ms: u32,
    /// Rank among the requests of the same service.
    pub priority: Priority,
}

impl Policy {
    /// Returns the longest time for one request.
    #[must_use]
    pub const fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms as u64)
    }

    /// Returns the time within which an answer is worth most.
    #[must_use]
    pub const fn target(&self) -> Duration {
        Duration::from_millis(self.target_ms as u64)
    }
}

/// Holds the policy of each prefix that has one; the others follow the request's method.
pub type Policies = BTreeMap<String, Policy>;

/// Bounds what a caller may send and how long it may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RequestLimits {
    /// Bytes of one request head.
    pub header_bytes: u32,
    /// Bytes of one request body.
    pub body_bytes: u64,
    /// Longest time for a request head to arrive, in milliseconds.
    pub header_timeout_ms: u32,
    /// Longest time that a connection may stay unused, in milliseconds.
    pub idle_timeout_ms: u32,
}

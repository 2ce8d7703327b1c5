//! Request policies of path prefixes and limits for the requests of callers.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// The class of a request, which determines whether the request may be executed repeatedly.
#[derive(
    Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum RequestClass {
    /// Repeated execution has no additional effect.
    Idempotent,
    /// The request may be executed at most once.
    #[default]
    NonIdempotent,
    /// The request may be executed at most once and has a long body.
    Upload,
    /// Repeated execution has no additional effect, and the answer is long.
    Download,
}

impl RequestClass {
    /// Returns `true` if a request may be executed more than once.
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

    /// Returns the name used in logs and in messages between nodes.
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

/// Priority of a request under overload, where a lower number is served first.
#[derive(
    Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Priority(pub u8);

/// The policy for requests of one path prefix.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Policy {
    /// The request class.
    pub class: RequestClass,
    /// Maximum number of backend servers that one request is sent to, at least 1.
    pub attempts: u8,
    /// Request timeout, in milliseconds.
    pub timeout_ms: u32,
    /// Target latency of an answer, in milliseconds.
    pub target_ms: u32,
    /// Priority among the requests of the same service.
    pub priority: Priority,
}

impl Policy {
    /// Returns the request timeout.
    #[must_use]
    pub const fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms as u64)
    }

    /// Returns the target latency of an answer.
    #[must_use]
    pub const fn target(&self) -> Duration {
        Duration::from_millis(self.target_ms as u64)
    }
}

/// Policies by path prefix.
///
/// Requests of other prefixes are classified by their method.
pub type Policies = BTreeMap<String, Policy>;

/// Limits for the size and the arrival time of a caller's request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RequestLimits {
    /// Maximum size of a request head, in bytes.
    pub header_bytes: u32,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: u64,
    /// Maximum time until a request head is complete, in milliseconds.
    pub header_timeout_ms: u32,
    /// Maximum time that a connection may stay idle, in milliseconds.
    pub idle_timeout_ms: u32,
}

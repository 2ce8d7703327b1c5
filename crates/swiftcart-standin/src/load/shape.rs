//! Kinds of requests in the mix of a load.

use serde::{Deserialize, Serialize};

/// Kind of request in the mix of a load; the stand-ins generate and verify its bodies.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Shape {
    /// A `GET` whose response body has `bytes` bytes.
    Read {
        /// Path without a query.
        path: String,
        /// Length of the response body in bytes.
        bytes: u64,
    },
    /// A `POST` with a unique idempotency key.
    Keyed {
        /// Path.
        path: String,
        /// Length of the request body in bytes.
        bytes: u64,
    },
    /// A `POST` without an idempotency key.
    Post {
        /// Path.
        path: String,
        /// Length of the request body in bytes.
        bytes: u64,
    },
    /// A `PUT` of a large body.
    Upload {
        /// Path.
        path: String,
        /// Length of the request body in bytes.
        bytes: u64,
    },
}

impl Shape {
    /// Default length of a read's response body and of a post's request body, in bytes.
    pub const BYTES: u64 = 64;

    /// Creates a read with a small response body.
    #[must_use]
    pub fn read(path: impl Into<String>) -> Self {
        Self::Read {
            path: path.into(),
            bytes: Self::BYTES,
        }
    }

    /// Creates a small post with an idempotency key.
    #[must_use]
    pub fn keyed(path: impl Into<String>) -> Self {
        Self::Keyed {
            path: path.into(),
            bytes: Self::BYTES,
        }
    }

    /// Creates a small post without an idempotency key.
    #[must_use]
    pub fn post(path: impl Into<String>) -> Self {
        Self::Post {
            path: path.into(),
            bytes: Self::BYTES,
        }
    }

    /// Creates an upload of `bytes` bytes.
    #[must_use]
    pub fn upload(path: impl Into<String>, bytes: u64) -> Self {
        Self::Upload {
            path: path.into(),
            bytes,
        }
    }

    /// Sets the length of the response body of a read, or of the request body otherwise.
    #[must_use]
    pub fn with_bytes(mut self, len: u64) -> Self {
        match &mut self {
            Self::Read { bytes, .. }
            | Self::Keyed { bytes, .. }
            | Self::Post { bytes, .. }
            | Self::Upload { bytes, .. } => *bytes = len,
        }
        self
    }

    /// Returns `true` if a caller may retry the request after an unknown outcome.
    pub(super) const fn is_retryable(&self) -> bool {
        !matches!(self, Self::Post { .. })
    }
}

//! One kind of request in the mix.

use serde::{Deserialize, Serialize};

/// Tells how one kind of request looks; its bodies are made and checked by the stand-ins.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Shape {
    /// A `GET` whose answer has `bytes` bytes.
    Read {
        /// The path without a query.
        path: String,
        /// Length of the answer.
        bytes: u64,
    },
    /// A `POST` with an idempotency key of its own.
    Keyed {
        /// The path.
        path: String,
        /// Length of the body.
        bytes: u64,
    },
    /// A `POST` without a key.
    Post {
        /// The path.
        path: String,
        /// Length of the body.
        bytes: u64,
    },
    /// A `PUT` of a large body.
    Upload {
        /// The path.
        path: String,
        /// Length of the body.
        bytes: u64,
    },
}

impl Shape {
    /// Length of a read's answer and of a post's body unless it is set.
    pub const BYTES: u64 = 64;

    /// Creates a read of a small answer.
    #[must_use]
    pub fn read(path: impl Into<String>) -> Self {
        Self::Read {
            path: path.into(),
            bytes: Self::BYTES,
        }
    }

    /// Creates a small post with a key.
    #[must_use]
    pub fn keyed(path: impl Into<String>) -> Self {
        Self::Keyed {
            path: path.into(),
            bytes: Self::BYTES,
        }
    }

    /// Creates a small post without a key.
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

    /// Sets the length of the answer or the body.
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

    /// Returns whether a caller may send it again after an unknown outcome.
    pub(super) const fn is_repeatable(&self) -> bool {
        !matches!(self, Self::Post { .. })
    }
}

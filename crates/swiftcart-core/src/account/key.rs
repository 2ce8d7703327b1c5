//! API keys, of which nodes keep hashes only.

use std::fmt;

use serde::{Deserialize, Serialize};

/// The number of bytes that are kept of a key's hash.
const LEN: usize = 16;

/// Separates hashes of API keys from all other hashes.
const CONTEXT: &str = "swiftcart 2026 API key of a client account";

/// Stands for an API key, which cannot be found from it.
///
/// # Examples
///
/// ```
/// use swiftcart_core::KeyHash;
///
/// assert_eq!(KeyHash::of(b"3f9c"), KeyHash::of(b"3f9c"));
/// assert_ne!(KeyHash::of(b"3f9c"), KeyHash::of(b"3f9d"));
/// ```
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct KeyHash([u8; LEN]);

impl KeyHash {
    /// Returns the hash of the key with these bytes.
    #[must_use]
    pub fn of(key: &[u8]) -> Self {
        let derived = blake3::derive_key(CONTEXT, key);
        let mut short = [0; LEN];
        short.copy_from_slice(&derived[..LEN]);
        Self(short)
    }
}

impl fmt::Display for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "KeyHash({self})")
    }
}

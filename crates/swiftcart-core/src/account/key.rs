//! Hashes of API keys. Nodes do not store the keys themselves.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Length of a truncated key hash, in bytes.
const HASH_BYTES: usize = 16;

/// Key derivation context, which makes the hashes of API keys differ from all other hashes.
const DERIVATION_CONTEXT: &str = "swiftcart 2026 API key of a client account";

/// Hash of an API key, from which the key cannot be recovered.
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
pub struct KeyHash([u8; HASH_BYTES]);

impl KeyHash {
    /// Returns the hash of an API key.
    #[must_use]
    pub fn of(key: &[u8]) -> Self {
        let derived = blake3::derive_key(DERIVATION_CONTEXT, key);
        let mut truncated = [0; HASH_BYTES];
        truncated.copy_from_slice(&derived[..HASH_BYTES]);
        Self(truncated)
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

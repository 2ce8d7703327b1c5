//! Configuration versions, log offsets and digests.

use std::fmt;

use serde::{Deserialize, Deserializer, Serialize, Serializer, de};

/// Zero-based position of a record in one stream of the platform's log.
#[derive(
    Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Offset(pub u64);

impl Offset {
    /// Returns the offset that follows this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for Offset {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Number of an accepted configuration, where a greater number is newer.
///
/// [`Version::NONE`] is the empty table before any publish. A publish that is accepted from the
/// record at offset `n` has version `n + 1`.
///
/// # Examples
///
/// ```
/// use swiftcart_core::{Offset, Version};
///
/// assert!(Version::at(Offset(0)) > Version::NONE);
/// assert_eq!(Version::at(Offset(6)).to_string(), "7");
/// ```
#[derive(
    Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Version(pub u64);

impl Version {
    /// The version of the empty table before any publish.
    pub const NONE: Self = Self(0);

    /// Returns the version of a publish that is accepted from the record at `offset`.
    #[must_use]
    pub const fn at(offset: Offset) -> Self {
        Self(offset.0 + 1)
    }
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A 32-byte BLAKE3 hash of the canonical (`postcard`) encoding of a state.
///
/// Human-readable formats such as JSON contain the digest as 64 hexadecimal digits.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Digest(pub [u8; 32]);

impl Digest {
    /// Returns the hash of `bytes`.
    #[must_use]
    pub fn of(bytes: &[u8]) -> Self {
        Self(*blake3::hash(bytes).as_bytes())
    }

    /// Returns the first eight bytes as a little-endian number, for compact comparison.
    #[must_use]
    pub fn short(&self) -> u64 {
        let [a, b, c, d, e, f, g, h, ..] = self.0;
        u64::from_le_bytes([a, b, c, d, e, f, g, h])
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|b| write!(f, "{b:02x}"))
    }
}

impl Serialize for Digest {
    fn serialize<S: Serializer>(&self, ser: S) -> Result<S::Ok, S::Error> {
        if ser.is_human_readable() {
            ser.collect_str(self)
        } else {
            self.0.serialize(ser)
        }
    }
}

impl<'de> Deserialize<'de> for Digest {
    fn deserialize<D: Deserializer<'de>>(de: D) -> Result<Self, D::Error> {
        if de.is_human_readable() {
            let text = String::deserialize(de)?;
            let hash = blake3::Hash::from_hex(text).map_err(de::Error::custom)?;
            Ok(Self(*hash.as_bytes()))
        } else {
            <[u8; 32]>::deserialize(de).map(Self)
        }
    }
}

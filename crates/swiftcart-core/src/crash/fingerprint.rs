//! What makes two requests the same one, come again.

use std::fmt;

use serde::{Deserialize, Serialize};

/// The fields of a request's head that stay when its caller sends it again.
///
/// The request's id and its deadline are new each time. Who identifies itself otherwise sends
/// another request.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Hash)]
pub struct HeadFields<'a> {
    /// What the caller identifies itself with, a header a value.
    pub credentials: [&'a [u8]; 2],
    /// The method.
    pub method: &'a [u8],
    /// The host that it is for.
    pub host: &'a [u8],
    /// Path and query.
    pub target: &'a [u8],
}

/// Stands for the head of a request, whatever its body.
#[derive(
    Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct HeadHash(pub u64);

/// Stands for the body of a request; 0 for none.
#[derive(
    Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct BodyHash(pub u64);

/// Stands for a request, whichever service it comes from.
///
/// Head and body are told apart, so that a node reads a body before it sends it on only where the
/// head is one that it has to look for. An empty body costs one byte on the way to other nodes.
///
/// # Examples
///
/// ```
/// use swiftcart_core::{BodyHash, HeadFields, HeadHash, RequestDigest};
///
/// let fields = HeadFields { method: b"GET", target: b"/pump/7", ..HeadFields::default() };
/// let head = HeadHash::new(&fields);
/// let print = RequestDigest { head, body: BodyHash::new([]) };
/// assert_eq!(print.body, BodyHash::default());
/// assert_ne!(head, HeadHash::new(&HeadFields { method: b"HEAD", ..fields }));
/// ```
#[derive(
    Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct RequestDigest {
    /// The head's.
    pub head: HeadHash,
    /// The body's.
    pub body: BodyHash,
}

/// Stands for the service that a request comes from.
#[derive(
    Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct CallerHash(pub u16);

/// Stands for a request of a service: the same for every time that it is sent.
///
/// A backend server is told the service, and may treat the same request of two services otherwise.
#[derive(
    Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Fingerprint {
    /// The request.
    pub request: RequestDigest,
    /// Where it comes from.
    pub caller: CallerHash,
}

impl HeadHash {
    /// Returns what stands for `fields`.
    #[must_use]
    pub fn new(fields: &HeadFields<'_>) -> Self {
        let mut hasher = blake3::Hasher::new();
        let [first, second] = fields.credentials;
        for part in [first, second, fields.method, fields.host, fields.target] {
            // The length keeps neighbouring parts apart.
            hasher.update(&part.len().to_le_bytes());
            hasher.update(part);
        }
        Self(short(&hasher))
    }
}

impl CallerHash {
    /// Returns what stands for a service; a mesh has some dozens of them.
    #[must_use]
    pub fn new(service: &[u8]) -> Self {
        let hash = blake3::hash(service);
        let [first, second, ..] = *hash.as_bytes();
        Self(u16::from_le_bytes([first, second]))
    }
}

impl BodyHash {
    /// Returns what stands for the body that `chunks` make up, however it was cut.
    #[must_use]
    pub fn new<'a>(chunks: impl IntoIterator<Item = &'a [u8]>) -> Self {
        let mut hasher = blake3::Hasher::new();
        for chunk in chunks {
            hasher.update(chunk);
        }
        match hasher.count() {
            0 => Self::default(),
            _ => Self(short(&hasher)),
        }
    }
}

/// Returns 64 bits of the hash: among a million requests two are alike once in 37 million times,
/// and nobody finds one that is like another caller's.
fn short(hasher: &blake3::Hasher) -> u64 {
    let mut bytes = [0; 8];
    hasher.finalize_xof().fill(&mut bytes);
    u64::from_le_bytes(bytes)
}

impl fmt::Display for HeadHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl fmt::Display for RequestDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.body {
            BodyHash(0) => self.head.fmt(f),
            BodyHash(body) => write!(f, "{}-{body:016x}", self.head),
        }
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let CallerHash(caller) = self.caller;
        write!(f, "{}@{caller:04x}", self.request)
    }
}

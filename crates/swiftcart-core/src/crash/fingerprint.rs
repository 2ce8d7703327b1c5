//! Fingerprints by which repeated requests are recognised.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Fields of a request head that stay the same when the caller sends the request again.
///
/// The request id and the deadline differ each time. A request with other credentials is a
/// different request.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Hash)]
pub struct HeadFields<'a> {
    /// Credentials of the caller, one value per header.
    pub credentials: [&'a [u8]; 2],
    /// HTTP method.
    pub method: &'a [u8],
    /// Host that the request addresses.
    pub host: &'a [u8],
    /// Path and query of the request target.
    pub target: &'a [u8],
}

/// Hash of a request head, without the body.
#[derive(
    Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct HeadHash(pub u64);

/// Hash of a request body, or 0 for an empty body.
#[derive(
    Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct BodyHash(pub u64);

/// Digest of a request, independent of the calling service.
///
/// The head and the body have separate hashes, so that a node buffers a body before forwarding it
/// only if the head matches a suspect. An empty body takes one byte in a datagram.
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
    /// Hash of the head.
    pub head: HeadHash,
    /// Hash of the body.
    pub body: BodyHash,
}

/// Hash of the name of the service that sends a request.
#[derive(
    Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct CallerHash(pub u16);

/// Fingerprint of a request and its calling service, equal each time that the request is sent.
///
/// A backend server is told the calling service, and may handle the same request from two services
/// differently.
#[derive(
    Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Fingerprint {
    /// Digest of the request.
    pub request: RequestDigest,
    /// Calling service.
    pub caller: CallerHash,
}

impl HeadHash {
    /// Returns the hash of `fields`.
    #[must_use]
    pub fn new(fields: &HeadFields<'_>) -> Self {
        let mut hasher = blake3::Hasher::new();
        let [first, second] = fields.credentials;
        for part in [first, second, fields.method, fields.host, fields.target] {
            // The length prefix keeps a byte from counting to the neighbouring field.
            hasher.update(&part.len().to_le_bytes());
            hasher.update(part);
        }
        Self(truncated_hash(&hasher))
    }
}

impl CallerHash {
    /// Returns the hash of a service name. Two bytes are enough for the few dozen services of a
    /// mesh.
    #[must_use]
    pub fn new(service: &[u8]) -> Self {
        let hash = blake3::hash(service);
        let [first, second, ..] = *hash.as_bytes();
        Self(u16::from_le_bytes([first, second]))
    }
}

impl BodyHash {
    /// Returns the hash of the body that consists of `chunks`, regardless of the chunk boundaries.
    #[must_use]
    pub fn new<'a>(chunks: impl IntoIterator<Item = &'a [u8]>) -> Self {
        let mut hasher = BodyHasher::default();
        for chunk in chunks {
            hasher.update(chunk);
        }
        hasher.hash()
    }
}

/// Hasher of a request body that arrives in pieces and is not kept.
///
/// # Examples
///
/// ```
/// use swiftcart_core::{BodyHash, BodyHasher};
///
/// let mut hasher = BodyHasher::default();
/// hasher.update(b"open every ");
/// hasher.update(b"valve");
/// assert_eq!(hasher.hash(), BodyHash::new([&b"open every valve"[..]]));
/// ```
#[derive(Debug, Default, Clone)]
pub struct BodyHasher(blake3::Hasher);

impl BodyHasher {
    /// Adds the next bytes of the body.
    pub fn update(&mut self, bytes: &[u8]) {
        self.0.update(bytes);
    }

    /// Returns the hash of the bytes so far.
    #[must_use]
    pub fn hash(&self) -> BodyHash {
        match self.0.count() {
            0 => BodyHash::default(),
            _ => BodyHash(truncated_hash(&self.0)),
        }
    }
}

/// Returns the first 64 bits of the hash.
///
/// Among a million requests, the probability of a collision is one in 37 million. It is infeasible
/// to find a request that collides with the request of another caller.
fn truncated_hash(hasher: &blake3::Hasher) -> u64 {
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

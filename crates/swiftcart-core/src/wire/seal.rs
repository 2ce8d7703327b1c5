//! Authenticated encoding of a message: format number, keyed tag, body.

use std::fmt;

use quick_error::quick_error;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use super::Datagram;
use crate::NodeId;

/// Number of the message format that this release writes and reads.
pub const WIRE_FORMAT: u8 = 1;

/// Maximum length of a sealed datagram in bytes, which fits a common path MTU.
pub const MAX_DATAGRAM_LEN: usize = 1200;

/// Length of the format number and the tag in front of the body, in bytes.
pub const SEAL_LEN: usize = 1 + TAG_LEN;

const TAG_LEN: usize = 16;
const KEY_CONTEXT: &str = "swiftcart 2026 mesh datagram key";

quick_error! {
    /// Error of sealing or opening a message.
    #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
    pub enum WireError {
        /// The message ends before its body.
        Truncated(len: usize) {
            display("message truncated: {len} of at least {SEAL_LEN} bytes; check the network path")
        }
        /// The authentication tag does not match because the sender has another key or the message
        /// was changed in transit.
        Forged {
            display("authentication tag does not match; configure the same mesh key on all nodes")
        }
        /// The sender runs a newer release.
        NewerFormat(format: u8) {
            display("message format {format} is newer than format {WIRE_FORMAT}; upgrade this node")
        }
        /// The body cannot be decoded although its tag is valid, or cannot be encoded.
        Malformed {
            display("message body cannot be decoded; check the release of the sender")
        }
        /// The message exceeds the maximum length.
        Oversize(len: usize, max: usize) {
            display("message of {len} bytes exceeds the limit of {max} bytes; split the message")
        }
    }
}

impl WireError {
    /// Returns the metric label of the error.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Truncated(_) => "truncated",
            Self::Forged => "forged",
            Self::NewerFormat(_) => "newer-format",
            Self::Malformed => "malformed",
            Self::Oversize(..) => "oversize",
        }
    }
}

/// Secret key that all nodes of one mesh share.
#[derive(Clone, PartialEq, Eq)]
pub struct MeshKey([u8; 32]);

impl MeshKey {
    /// Creates a key from its bytes.
    #[must_use]
    pub const fn new(bytes: [u8; 32]) -> Self {
        Self(bytes)
    }

    /// Derives a key from the secret in the settings.
    #[must_use]
    pub fn from_secret(secret: &str) -> Self {
        Self(blake3::derive_key(KEY_CONTEXT, secret.as_bytes()))
    }

    fn tag(&self, kind: MessageKind, body: &[u8]) -> [u8; TAG_LEN] {
        let mut hasher = blake3::Hasher::new_keyed(&self.0);
        hasher.update(kind.prefix());
        hasher.update(body);
        let mut tag = [0; TAG_LEN];
        hasher.finalize_xof().fill(&mut tag);
        tag
    }
}

impl fmt::Debug for MeshKey {
    /// Writes a placeholder, so that the secret does not appear in logs.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("MeshKey(..)")
    }
}

/// Kind of a message. The tag covers the kind, so that a datagram is not accepted as a state pull
/// or the other way around.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum MessageKind {
    Datagram,
    Sync,
}

impl MessageKind {
    const fn prefix(self) -> &'static [u8] {
        match self {
            Self::Datagram => &[WIRE_FORMAT],
            Self::Sync => &[WIRE_FORMAT, b's'],
        }
    }
}

/// Encoder and decoder for messages of one kind up to a maximum length.
#[derive(Debug, Clone, Copy)]
pub(super) struct Frame {
    kind: MessageKind,
    max: usize,
}

#[derive(Serialize)]
struct BodyRef<'a, T> {
    from: NodeId,
    message: &'a T,
}

#[derive(Deserialize)]
struct Body<T> {
    from: NodeId,
    message: T,
}

impl Frame {
    pub const fn new(kind: MessageKind, max: usize) -> Self {
        Self { kind, max }
    }

    pub fn seal<T: Serialize>(
        self,
        message: &T,
        from: NodeId,
        key: &MeshKey,
    ) -> Result<Vec<u8>, WireError> {
        let body = BodyRef { from, message };
        let mut sealed =
            postcard::to_extend(&body, vec![0; SEAL_LEN]).map_err(|_| WireError::Malformed)?;
        match sealed.len() {
            len if len > self.max => Err(WireError::Oversize(len, self.max)),
            _ => {
                let (head, body) = sealed.split_at_mut(SEAL_LEN);
                head[0] = WIRE_FORMAT;
                head[1..].copy_from_slice(&key.tag(self.kind, body));
                Ok(sealed)
            }
        }
    }

    pub fn open<T: DeserializeOwned>(
        self,
        sealed: &[u8],
        key: &MeshKey,
    ) -> Result<(NodeId, T), WireError> {
        let len = sealed.len();
        match sealed {
            _ if len > self.max => Err(WireError::Oversize(len, self.max)),
            [format, ..] if *format > WIRE_FORMAT => Err(WireError::NewerFormat(*format)),
            [format, ..] if *format < WIRE_FORMAT => Err(WireError::Forged),
            [_, rest @ ..] if rest.len() >= TAG_LEN => {
                let (tag, body) = rest.split_at(TAG_LEN);
                match constant_time_eq(tag, &key.tag(self.kind, body)) {
                    true => decode(body),
                    false => Err(WireError::Forged),
                }
            }
            _ => Err(WireError::Truncated(len)),
        }
    }
}

/// Encodes and authenticates a datagram.
///
/// # Examples
///
/// ```
/// use swiftcart_core::{Datagram, MeshKey, NodeId, open, seal};
///
/// let key = MeshKey::from_secret("turf");
/// let from = NodeId("127.0.0.1:7000".parse()?);
/// let sealed = seal(&Datagram::FloorAsk, from, &key)?;
/// assert_eq!(open(&sealed, &key)?, (from, Datagram::FloorAsk));
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
///
/// # Errors
///
/// Returns [`WireError::Oversize`] when the result is longer than [`MAX_DATAGRAM_LEN`].
pub fn seal(datagram: &Datagram, from: NodeId, key: &MeshKey) -> Result<Vec<u8>, WireError> {
    Frame::new(MessageKind::Datagram, MAX_DATAGRAM_LEN).seal(datagram, from, key)
}

/// Checks and decodes a datagram and returns its sender.
///
/// The sender is the node that the body names. The tag proves only that the datagram comes from a
/// holder of the key.
///
/// # Errors
///
/// Returns a [`WireError`] for every input that [`seal`] cannot have produced with `key`.
pub fn open(sealed: &[u8], key: &MeshKey) -> Result<(NodeId, Datagram), WireError> {
    Frame::new(MessageKind::Datagram, MAX_DATAGRAM_LEN).open(sealed, key)
}

fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<(NodeId, T), WireError> {
    match postcard::take_from_bytes::<Body<T>>(body) {
        Ok((body, [])) => Ok((body.from, body.message)),
        Ok(_) | Err(_) => Err(WireError::Malformed),
    }
}

/// Compares in constant time. A comparison that stops at the first difference would leak the tag.
fn constant_time_eq(a: &[u8], b: &[u8]) -> bool {
    a.len() == b.len() && a.iter().zip(b).fold(0, |diff, (x, y)| diff | (x ^ y)) == 0
}

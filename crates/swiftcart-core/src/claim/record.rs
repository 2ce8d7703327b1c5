//! Records of a claim stream, as they stand in the platform's log.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use quick_error::quick_error;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::ServiceName;

/// The number of the claim rule that this release knows.
///
/// A reader that meets a greater number stops deciding and says so.
pub const CLAIM_RULE: u16 = 1;

/// The most bytes that one record holds; the platform refuses larger ones.
pub const RECORD_BYTES: usize = 256 * 1024;

/// Declares a 128-bit name that is written as 32 hexadecimal digits.
macro_rules! hex_name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(into = "String", try_from = "String")]
        pub struct $name(pub u128);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:032x}", self.0)
            }
        }

        impl FromStr for $name {
            type Err = ParseIntError;

            fn from_str(s: &str) -> Result<Self, Self::Err> {
                u128::from_str_radix(s, 16).map(Self)
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> Self {
                name.to_string()
            }
        }

        impl TryFrom<String> for $name {
            type Error = ParseIntError;

            fn try_from(s: String) -> Result<Self, Self::Error> {
                s.parse()
            }
        }
    };
}

hex_name! {
    /// Names one piece of work: a hash of service, caller and the caller's key.
    ///
    /// The scope follows the paper's "Key scope" (Forge ORM, *Idempotency keys*): unique
    /// within the service, and within the caller where the caller names itself, so that
    /// a leaked key is of no use to another caller.
    ClaimKey
}

hex_name! {
    /// Recognises a request: a hash of its method, target and raw body.
    ///
    /// The paper hashes a canonical JSON form, so that reordered members still match.
    /// Here the raw bytes count: bodies need not be JSON, a retry resends the bytes it
    /// has, and two parsers that disagree about duplicate members or large numbers
    /// would take different requests for the same. A spurious 422 runs nothing.
    RequestHash
}

hex_name! {
    /// Names one attempt to run a piece of work; drawn at random for each offer.
    AttemptId
}

impl ClaimKey {
    /// Returns the name of the work that `caller` calls `key` at `service`.
    ///
    /// # Examples
    ///
    /// ```
    /// use swiftcart_core::{ClaimKey, ServiceName};
    ///
    /// let booking = ServiceName::new("booking");
    /// let a = ClaimKey::new(&booking, Some("norte-club"), "7a2c");
    /// assert_ne!(a, ClaimKey::new(&booking, None, "7a2c"));
    /// ```
    #[must_use]
    pub fn new(service: &ServiceName, caller: Option<&str>, key: &str) -> Self {
        let mut parts = vec![service.as_str().as_bytes(), key.as_bytes()];
        parts.extend(caller.map(str::as_bytes));
        Self(hash(&parts))
    }
}

impl RequestHash {
    /// Returns the hash of a request.
    #[must_use]
    pub fn new(method: &str, target: &str, body: &[u8]) -> Self {
        Self(hash(&[method.as_bytes(), target.as_bytes(), body]))
    }
}

/// Asks for the right to run a piece of work; the lowest offset wins.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClaimRecord {
    /// The work.
    pub key: ClaimKey,
    /// The request that asks for it.
    pub hash: RequestHash,
    /// The attempt that asks.
    pub attempt: AttemptId,
}

/// Holds a backend server's whole answer, for replay.
#[derive(Debug, Default, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Answer {
    /// The HTTP status; a refusal by the backend server is replayed as well.
    pub status: u16,
    /// The headers worth replaying.
    pub headers: Vec<(String, String)>,
    /// The body, in base64 on the wire.
    #[serde(serialize_with = "to_base64", deserialize_with = "from_base64")]
    pub body: Vec<u8>,
}

/// What a header takes beside its text.
const HEADER_BYTES: usize = 8;

impl Answer {
    /// Returns the bytes that the answer takes, headers included.
    ///
    /// # Examples
    ///
    /// ```
    /// use swiftcart_core::Answer;
    ///
    /// let answer = Answer { status: 201, headers: vec![], body: b"ok".to_vec() };
    /// assert_eq!(answer.size(), 2);
    /// ```
    #[must_use]
    pub fn size(&self) -> usize {
        let headers = self
            .headers
            .iter()
            .map(|(k, v)| k.len() + v.len() + HEADER_BYTES);
        headers.sum::<usize>() + self.body.len()
    }
}

/// Tells how an attempt ended that was handed over.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reply {
    /// The backend server gave a whole answer.
    Whole(Answer),
    /// The whole answer was larger than what is kept.
    TooLarge,
    /// No whole answer came back; the work may have run.
    Broken,
}

/// Records the end of an attempt that was handed over.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AnswerRecord {
    /// The work.
    pub key: ClaimKey,
    /// The request that was answered.
    pub hash: RequestHash,
    /// The attempt that ran it.
    pub attempt: AttemptId,
    /// How it ended.
    pub reply: Reply,
}

/// Frees a key: the attempt was not handed over and never will be.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AbandonRecord {
    /// The work.
    pub key: ClaimKey,
    /// The attempt that is given up.
    pub attempt: AttemptId,
}

/// Holds what one node appends at once, as one record.
///
/// Readers take the abandoned attempts first, then the claims, then the answers.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClaimBatch {
    /// The rule that the record follows.
    pub rule: u16,
    /// Attempts that will never run.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub abandoned: Vec<AbandonRecord>,
    /// Attempts that ask to run.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub claims: Vec<ClaimRecord>,
    /// Attempts that ran.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub answers: Vec<AnswerRecord>,
}

quick_error! {
    /// Tells why a record of a claim stream cannot be taken.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum ClaimRecordError {
        /// The record follows a rule that this release does not know.
        NewerRule(rule: u16) {
            display("claim rule {rule} is newer than {CLAIM_RULE}; upgrade this node")
        }
        /// The record is no batch of claims; every reader skips it.
        Malformed(line: usize, column: usize) {
            display("no batch of claims at line {line}, column {column}; only nodes append to claim streams")
        }
        /// The record is larger than the platform allows; every reader skips it.
        Oversize(bytes: usize) {
            display("a record of {bytes} bytes exceeds {RECORD_BYTES}")
        }
    }
}

impl Default for ClaimBatch {
    fn default() -> Self {
        Self {
            rule: CLAIM_RULE,
            abandoned: Vec::new(),
            claims: Vec::new(),
            answers: Vec::new(),
        }
    }
}

impl ClaimBatch {
    /// Reads a record's body.
    ///
    /// # Examples
    ///
    /// ```
    /// use swiftcart_core::{ClaimBatch, ClaimRecordError};
    ///
    /// assert_eq!(ClaimBatch::parse(r#"{"rule":1}"#), Ok(ClaimBatch::default()));
    /// let newer = ClaimBatch::parse(r#"{"rule":2,"x":[]}"#);
    /// assert_eq!(newer, Err(ClaimRecordError::NewerRule(2)));
    /// ```
    ///
    /// # Errors
    ///
    /// Returns the reason when the body is too large, malformed, or of a newer rule.
    pub fn parse(body: &str) -> Result<Self, ClaimRecordError> {
        #[derive(Deserialize)]
        struct Rule {
            rule: u16,
        }
        let malformed = |e: serde_json::Error| ClaimRecordError::Malformed(e.line(), e.column());
        if body.len() > RECORD_BYTES {
            return Err(ClaimRecordError::Oversize(body.len()));
        }
        let Rule { rule } = serde_json::from_str(body).map_err(malformed)?;
        if rule > CLAIM_RULE {
            return Err(ClaimRecordError::NewerRule(rule));
        }
        serde_json::from_str(body).map_err(malformed)
    }

    /// Returns the record's body.
    ///
    /// # Errors
    ///
    /// Returns the size when the body would exceed [`RECORD_BYTES`].
    pub fn encode(&self) -> Result<String, ClaimRecordError> {
        let body = serde_json::to_string(self)
            .map_err(|e| ClaimRecordError::Malformed(e.line(), e.column()))?;
        match body.len() {
            len if len > RECORD_BYTES => Err(ClaimRecordError::Oversize(len)),
            _ => Ok(body),
        }
    }
}

/// Hashes `parts` with their lengths, so that no two splits collide.
fn hash(parts: &[&[u8]]) -> u128 {
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    let mut out = [0; 16];
    hasher.finalize_xof().fill(&mut out);
    u128::from_le_bytes(out)
}

fn to_base64<S: Serializer>(bytes: &[u8], serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_str(&STANDARD.encode(bytes))
}

fn from_base64<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<u8>, D::Error> {
    let text = String::deserialize(deserializer)?;
    STANDARD.decode(text).map_err(serde::de::Error::custom)
}

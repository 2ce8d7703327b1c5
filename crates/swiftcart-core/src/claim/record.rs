//! Records of a claim stream in the platform's log.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use quick_error::quick_error;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::ServiceName;

/// Version of the claim rule that this release implements.
///
/// A reader that finds a greater version refuses new claims with `claim-rule`.
pub const CLAIM_RULE: u16 = 1;

/// Maximum size of a record in bytes; the platform refuses larger records.
pub const MAX_CLAIM_RECORD_BYTES: usize = 256 * 1024;

/// Declares a 128-bit identifier that is written as 32 hexadecimal digits.
macro_rules! hex_id {
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
            fn from(id: $name) -> Self {
                id.to_string()
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

hex_id! {
    /// Identifier of a piece of work: a hash of the service, the caller and the caller's key.
    ///
    /// The scope follows "Key scope" in Forge ORM, *Idempotency keys*. A key is unique within the
    /// service, and also within the caller if the caller is identified, so that another caller
    /// cannot use a leaked key.
    ClaimKey
}

hex_id! {
    /// Fingerprint of a request: a hash of its method, target and raw body.
    ///
    /// Forge ORM, *Idempotency keys*, hashes a canonical JSON form, so that reordered members
    /// still match. This hash covers the raw bytes instead. Bodies need not be JSON, and a retry
    /// resends the same bytes. Two parsers that disagree about duplicate members or large numbers
    /// would also treat different requests as equal. A false mismatch is safe: the caller gets 422
    /// and nothing runs.
    RequestHash
}

hex_id! {
    /// Identifier of an attempt to run a piece of work, drawn at random for each offer.
    AttemptId
}

impl ClaimKey {
    /// Creates the identifier of the work that `caller` identifies by `key` at `service`.
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

/// Claim on a piece of work; the claim with the lowest offset wins.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClaimRecord {
    /// Identifier of the work.
    pub key: ClaimKey,
    /// Hash of the request.
    pub hash: RequestHash,
    /// Attempt that makes the claim.
    pub attempt: AttemptId,
}

/// Complete answer of a backend server, stored for replay.
#[derive(Debug, Default, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Answer {
    /// HTTP status; refusals by the backend server are replayed as well.
    pub status: u16,
    /// Headers that are replayed.
    pub headers: Vec<(String, String)>,
    /// Body, encoded as base64 on the wire.
    #[serde(serialize_with = "to_base64", deserialize_with = "from_base64")]
    pub body: Vec<u8>,
}

/// Memory overhead of a header in bytes, in addition to its name and value.
const HEADER_OVERHEAD_BYTES: usize = 8;

impl Answer {
    /// Returns the size of the answer in bytes, including its headers.
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
            .map(|(k, v)| k.len() + v.len() + HEADER_OVERHEAD_BYTES);
        headers.sum::<usize>() + self.body.len()
    }
}

/// Result of a dispatched attempt.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reply {
    /// The backend server returned a complete answer.
    Whole(Answer),
    /// The complete answer exceeded the size that is stored.
    TooLarge,
    /// No complete answer arrived; the work may have run.
    Broken,
}

/// Record of the result of a dispatched attempt.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AnswerRecord {
    /// Identifier of the work.
    pub key: ClaimKey,
    /// Hash of the answered request.
    pub hash: RequestHash,
    /// Attempt that ran the work.
    pub attempt: AttemptId,
    /// Result of the attempt.
    pub reply: Reply,
}

/// Record that frees a key, because the attempt did not run and will not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AbandonRecord {
    /// Identifier of the work.
    pub key: ClaimKey,
    /// Abandoned attempt.
    pub attempt: AttemptId,
}

/// Batch of claims, answers and abandoned attempts that a node appends as one record.
///
/// Readers apply the abandoned attempts first, then the claims, then the answers.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClaimBatch {
    /// Version of the claim rule that the record follows.
    pub rule: u16,
    /// Attempts that will not run.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub abandoned: Vec<AbandonRecord>,
    /// Claims of attempts that request to run.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub claims: Vec<ClaimRecord>,
    /// Results of attempts that ran.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub answers: Vec<AnswerRecord>,
}

quick_error! {
    /// Reason why a record of a claim stream is not accepted.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum ClaimRecordError {
        /// The record follows a newer claim rule than this release implements.
        NewerRule(rule: u16) {
            display("claim rule {rule} is newer than {CLAIM_RULE}; upgrade this node")
        }
        /// The record is not a valid batch of claims; all readers skip it.
        Malformed(line: usize, column: usize) {
            display("invalid claim batch at line {line}, column {column}; only nodes append to claim streams")
        }
        /// The record is larger than the platform allows; all readers skip it.
        Oversize(bytes: usize) {
            display("claim record of {bytes} bytes exceeds the limit of {MAX_CLAIM_RECORD_BYTES} bytes")
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
    /// Parses the body of a record.
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
    /// Returns an error if the body is too large, is malformed, or follows a newer rule.
    pub fn parse(body: &str) -> Result<Self, ClaimRecordError> {
        #[derive(Deserialize)]
        struct Rule {
            rule: u16,
        }
        let malformed = |e: serde_json::Error| ClaimRecordError::Malformed(e.line(), e.column());
        if body.len() > MAX_CLAIM_RECORD_BYTES {
            return Err(ClaimRecordError::Oversize(body.len()));
        }
        let Rule { rule } = serde_json::from_str(body).map_err(malformed)?;
        if rule > CLAIM_RULE {
            return Err(ClaimRecordError::NewerRule(rule));
        }
        serde_json::from_str(body).map_err(malformed)
    }

    /// Encodes the batch as the body of a record.
    ///
    /// # Errors
    ///
    /// Returns [`ClaimRecordError::Oversize`] if the body would exceed [`MAX_CLAIM_RECORD_BYTES`].
    pub fn encode(&self) -> Result<String, ClaimRecordError> {
        let body = serde_json::to_string(self)
            .map_err(|e| ClaimRecordError::Malformed(e.line(), e.column()))?;
        match body.len() {
            len if len > MAX_CLAIM_RECORD_BYTES => Err(ClaimRecordError::Oversize(len)),
            _ => Ok(body),
        }
    }
}

/// Hashes `parts` and their lengths, so that different splits of the same bytes do not collide.
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

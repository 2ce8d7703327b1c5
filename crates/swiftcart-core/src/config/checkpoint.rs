//! Checkpoints: copies of the complete fold state for the log and for joining nodes.

use base64::Engine;
use base64::engine::general_purpose::STANDARD_NO_PAD;
use quick_error::quick_error;
use serde::{Deserialize, Deserializer, Serialize, Serializer, de};

use super::{Digest, LATEST_RULE, Offset, Violation};

/// A copy of the state of a [`Fold`](crate::Fold) that includes all records before `position`.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Checkpoint {
    /// The offset of the next record to fold.
    pub position: Offset,
    /// The hash of `state`.
    pub digest: Digest,
    /// The canonical encoding of the state, written as base64 in JSON.
    #[serde(serialize_with = "write_bytes", deserialize_with = "read_bytes")]
    pub state: Vec<u8>,
}

impl Checkpoint {
    /// Returns the acceptance rule of the state, which is its first encoded field.
    ///
    /// Returns `None` when the state does not start with a rule number.
    #[must_use]
    pub fn rule(&self) -> Option<u16> {
        let decoded = postcard::take_from_bytes::<u16>(&self.state);
        decoded.ok().map(|(rule, _)| rule)
    }
}

quick_error! {
    /// The reason why a checkpoint cannot be adopted.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum CheckpointError {
        /// The hash of the state differs from the digest of the checkpoint.
        Damaged(position: Offset) {
            display("checkpoint at {position} does not match its digest; use another one")
        }
        /// The state is inconsistent or not in its canonical encoding.
        Malformed(position: Offset) {
            display("state of the checkpoint at {position} is not canonical; use another one")
        }
        /// The state uses an acceptance rule that is newer than this release supports.
        UnknownRule(rule: u16) {
            display("checkpoint follows rule {rule}, newer than rule {LATEST_RULE}; upgrade this program")
        }
        /// The table in the state is not valid.
        Invalid(position: Offset, violations: Vec<Violation>) {
            display("checkpoint at {position} contains an invalid table ({} violations); use another one", violations.len())
        }
    }
}

fn write_bytes<S: Serializer>(bytes: &[u8], ser: S) -> Result<S::Ok, S::Error> {
    if ser.is_human_readable() {
        ser.serialize_str(&STANDARD_NO_PAD.encode(bytes))
    } else {
        bytes.serialize(ser)
    }
}

fn read_bytes<'de, D: Deserializer<'de>>(de: D) -> Result<Vec<u8>, D::Error> {
    if de.is_human_readable() {
        let text = String::deserialize(de)?;
        STANDARD_NO_PAD.decode(text).map_err(de::Error::custom)
    } else {
        Vec::deserialize(de)
    }
}

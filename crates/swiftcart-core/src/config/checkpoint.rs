//! A copy of the fold's whole state, as it stands in the log and travels to joiners.

use base64::Engine;
use base64::engine::general_purpose::STANDARD_NO_PAD;
use quick_error::quick_error;
use serde::{Deserialize, Deserializer, Serialize, Serializer, de};

use super::{Digest, LATEST_RULE, Offset, Violation};

/// The state of a [`Fold`](crate::Fold) after all records before `position`.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Checkpoint {
    /// The offset of the next record to fold.
    pub position: Offset,
    /// The hash of `state`.
    pub digest: Digest,
    /// The canonical encoding of the state; base64 in JSON.
    #[serde(serialize_with = "write_bytes", deserialize_with = "read_bytes")]
    pub state: Vec<u8>,
}

impl Checkpoint {
    /// Returns the rule that its state follows, which is the first thing in it.
    #[must_use]
    pub fn rule(&self) -> Option<u16> {
        let found = postcard::take_from_bytes::<u16>(&self.state);
        found.ok().map(|(rule, _)| rule)
    }
}

quick_error! {
    /// Tells why a checkpoint cannot be adopted.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum CheckpointError {
        /// The hash of the state is another than the one given with it.
        Damaged(position: Offset) {
            display("checkpoint at {position} does not have its own digest; use another one")
        }
        /// The state is not a canonical encoding.
        Malformed(position: Offset) {
            display("checkpoint at {position} is not a canonical state; use another one")
        }
        /// The state depends on records of a later rule than this release knows.
        UnknownRule(rule: u16) {
            display("checkpoint follows rule {rule}, newer than rule {LATEST_RULE}; upgrade this program")
        }
        /// The state breaks a bound or a rule of the table.
        Invalid(position: Offset, violations: Vec<Violation>) {
            display("checkpoint at {position} holds an invalid table ({} faults); use another one", violations.len())
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

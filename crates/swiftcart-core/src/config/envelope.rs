//! The JSON envelope that a record's body holds.

use quick_error::quick_error;
use serde::{Deserialize, Serialize};

use super::{Checkpoint, LATEST_RULE, Publish};

/// Longest body of a record, in bytes; the platform refuses a longer one (413).
pub const MAX_RECORD_BYTES: usize = 256 * 1024;

/// What a record asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Body {
    /// A change of the table.
    Publish(Publish),
    /// A copy of the whole state, which lets older records expire.
    Checkpoint(Checkpoint),
}

/// The content of a record's body with the rule that judges it.
///
/// # Examples
///
/// ```
/// use swiftcart_core::{Body, Envelope, Publish};
///
/// let envelope = Envelope::new(Body::Publish(Publish::default()));
/// assert_eq!(Envelope::decode(&envelope.encode())?, envelope);
/// # Ok::<(), swiftcart_core::RecordError>(())
/// ```
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Envelope {
    /// The number of the acceptance rule.
    pub rule: u16,
    /// What the record asks for.
    pub body: Body,
}

quick_error! {
    /// Tells why a body is not understood.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum RecordError {
        /// The body is no envelope; every release skips it.
        Malformed(detail: String) {
            display("not an envelope: {detail}; publish with the swiftcart tool")
        }
        /// The body follows a later rule than this release knows.
        UnknownRule(rule: u16) {
            display("rule {rule} is newer than rule {LATEST_RULE}; upgrade this program")
        }
    }
}

impl Envelope {
    /// Wraps `body` under the rule that it needs.
    #[must_use]
    pub fn new(body: Body) -> Self {
        let rule = match &body {
            Body::Publish(publish) => publish.edits.iter().map(|edit| edit.key.rule()).max(),
            Body::Checkpoint(checkpoint) => checkpoint.rule(),
        };
        Self {
            rule: rule.unwrap_or(1),
            body,
        }
    }

    /// Returns the JSON text to append to the log.
    #[must_use]
    pub fn encode(&self) -> String {
        let wire = match &self.body {
            Body::Publish(publish) => WireRef {
                rule: self.rule,
                publish: Some(publish),
                checkpoint: None,
            },
            Body::Checkpoint(checkpoint) => WireRef {
                rule: self.rule,
                publish: None,
                checkpoint: Some(checkpoint),
            },
        };
        // Only maps with structured keys or failing writers make this fail; there are none.
        serde_json::to_string(&wire).unwrap_or_default()
    }

    /// Parses the body of a record.
    ///
    /// # Errors
    ///
    /// [`RecordError::UnknownRule`] for a rule that a later release brings;
    /// [`RecordError::Malformed`] for everything else that is no envelope. The two
    /// differ because a reader may skip the latter but must never skip the former.
    pub fn decode(text: &str) -> Result<Self, RecordError> {
        if text.len() > MAX_RECORD_BYTES {
            let detail = format!("{} bytes are more than {MAX_RECORD_BYTES}", text.len());
            return Err(RecordError::Malformed(detail));
        }
        match parse::<Header>(text)?.rule {
            0 => Err(RecordError::Malformed("rule 0 does not exist".into())),
            rule if rule > LATEST_RULE => Err(RecordError::UnknownRule(rule)),
            rule => parse::<Wire>(text)?.into_envelope(rule),
        }
    }
}

#[derive(Deserialize)]
struct Header {
    rule: u16,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Wire {
    #[serde(rename = "rule")]
    _rule: u16,
    publish: Option<Publish>,
    checkpoint: Option<Checkpoint>,
}

#[derive(Serialize)]
struct WireRef<'a> {
    rule: u16,
    #[serde(skip_serializing_if = "Option::is_none")]
    publish: Option<&'a Publish>,
    #[serde(skip_serializing_if = "Option::is_none")]
    checkpoint: Option<&'a Checkpoint>,
}

impl Wire {
    fn into_envelope(self, rule: u16) -> Result<Envelope, RecordError> {
        let body = match (self.publish, self.checkpoint) {
            (Some(publish), None) => Body::Publish(publish),
            (None, Some(checkpoint)) => Body::Checkpoint(checkpoint),
            _ => {
                let detail = "needs one of publish and checkpoint";
                return Err(RecordError::Malformed(detail.into()));
            }
        };
        Ok(Envelope { rule, body })
    }
}

fn parse<'a, T: Deserialize<'a>>(text: &'a str) -> Result<T, RecordError> {
    serde_json::from_str(text).map_err(|e| RecordError::Malformed(e.to_string()))
}

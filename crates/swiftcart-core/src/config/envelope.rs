//! JSON envelope of a record body.

use quick_error::quick_error;
use serde::{Deserialize, Serialize};

use super::{Checkpoint, LATEST_RULE, Publish};

/// Maximum length of a record body, in bytes. The platform rejects a longer body with status 413.
pub const MAX_RECORD_BYTES: usize = 256 * 1024;

/// The content of a record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Body {
    /// A change to the table.
    Publish(Publish),
    /// A copy of the complete state, so that older records can expire.
    Checkpoint(Checkpoint),
}

/// A record body and the acceptance rule that it requires.
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
    /// The content of the record.
    pub body: Body,
}

quick_error! {
    /// The reason why a record body cannot be decoded.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum RecordError {
        /// The body is not an envelope. Every release skips such a record.
        Malformed(detail: String) {
            display("not an envelope: {detail}; publish with the swiftcart tool")
        }
        /// The body requires a newer acceptance rule than this release supports.
        UnknownRule(rule: u16) {
            display("rule {rule} is newer than rule {LATEST_RULE}; upgrade this program")
        }
    }
}

impl Envelope {
    /// Creates an envelope for `body` with the oldest rule that supports the body.
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
            Body::Publish(publish) => WireEnvelopeRef {
                rule: self.rule,
                publish: Some(publish),
                checkpoint: None,
            },
            Body::Checkpoint(checkpoint) => WireEnvelopeRef {
                rule: self.rule,
                publish: None,
                checkpoint: Some(checkpoint),
            },
        };
        // Serialization fails only for maps with structured keys or for failing writers. This
        // value has neither.
        serde_json::to_string(&wire).unwrap_or_default()
    }

    /// Parses the body of a record.
    ///
    /// # Errors
    ///
    /// Returns [`RecordError::UnknownRule`] for a rule of a later release, and
    /// [`RecordError::Malformed`] for any other body that is not an envelope. The errors are
    /// distinct because a reader may skip a malformed record but must not skip a record with an
    /// unknown rule.
    pub fn decode(text: &str) -> Result<Self, RecordError> {
        if text.len() > MAX_RECORD_BYTES {
            let detail = format!("{} bytes are more than {MAX_RECORD_BYTES}", text.len());
            return Err(RecordError::Malformed(detail));
        }
        match parse::<RuleHeader>(text)?.rule {
            0 => Err(RecordError::Malformed("rule 0 does not exist".into())),
            rule if rule > LATEST_RULE => Err(RecordError::UnknownRule(rule)),
            rule => parse::<WireEnvelope>(text)?.into_envelope(rule),
        }
    }
}

#[derive(Deserialize)]
struct RuleHeader {
    rule: u16,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct WireEnvelope {
    #[serde(rename = "rule")]
    _rule: u16,
    publish: Option<Publish>,
    checkpoint: Option<Checkpoint>,
}

#[derive(Serialize)]
struct WireEnvelopeRef<'a> {
    rule: u16,
    #[serde(skip_serializing_if = "Option::is_none")]
    publish: Option<&'a Publish>,
    #[serde(skip_serializing_if = "Option::is_none")]
    checkpoint: Option<&'a Checkpoint>,
}

impl WireEnvelope {
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

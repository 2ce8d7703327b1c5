//! Messages with which nodes exchange crashes and completed requests.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{CrashId, Fingerprint};

/// Maximum size of the findings in one datagram, in bytes. The rest of the datagram is reserved for
/// the format number, the authentication tag and the digest.
const MAX_FINDINGS_BYTES: usize = 1000;

/// Maximum number of fingerprints in one finding. A fingerprint with a body hash takes about 20
/// bytes, so that the finding fits into one datagram.
const MAX_FINGERPRINTS: usize = 40;

/// Crash or completed request that a node has observed.
///
/// A finding carries its age, because the clocks of two processes are not comparable.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Finding {
    /// A backend server has crashed.
    Crashed {
        /// Id of the crash.
        id: CrashId,
        /// Age in milliseconds.
        age_ms: u32,
        /// Requests that were running, or a part of them.
        prints: Vec<Fingerprint>,
    },
    /// A backend server has completed a request, which shows that the request is harmless.
    Finished {
        /// Completed request.
        print: Fingerprint,
        /// Age in milliseconds.
        age_ms: u32,
    },
}

/// Message with findings and a digest of all findings of the sender.
#[derive(Debug, Default, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Findings {
    /// Digest of all findings of the sender.
    pub digest: u64,
    /// `true` if the sender requests all findings of the receiver.
    pub asks: bool,
    /// Findings in this message.
    pub list: Vec<Finding>,
}

impl Finding {
    /// Creates the findings for one crash. More than `MAX_FINGERPRINTS` requests are split into
    /// several findings.
    #[must_use]
    pub fn crashed(id: CrashId, age: Duration, prints: &[Fingerprint]) -> Vec<Self> {
        let age_ms = millis(age);
        let parts = prints.chunks(MAX_FINGERPRINTS);
        let parts = parts.map(|part| Self::Crashed {
            id,
            age_ms,
            prints: part.to_vec(),
        });
        parts.collect()
    }

    /// Creates the finding for a completed request.
    #[must_use]
    pub fn finished(print: Fingerprint, age: Duration) -> Self {
        let age_ms = millis(age);
        Self::Finished { print, age_ms }
    }

    /// Returns the finding with its age increased by `by`.
    #[must_use]
    pub fn older(mut self, by: Duration) -> Self {
        match &mut self {
            Self::Crashed { age_ms, .. } | Self::Finished { age_ms, .. } => {
                *age_ms = age_ms.saturating_add(millis(by));
            }
        }
        self
    }

    /// Returns the age.
    #[must_use]
    pub const fn age(&self) -> Duration {
        match self {
            Self::Crashed { age_ms, .. } | Self::Finished { age_ms, .. } => {
                Duration::from_millis(*age_ms as u64)
            }
        }
    }
}

impl Findings {
    /// Splits findings into messages that fit into one datagram each.
    #[must_use]
    pub fn pack(digest: u64, list: Vec<Finding>) -> Vec<Self> {
        let mut packed: Vec<Self> = Vec::new();
        let mut room = 0;
        for finding in list {
            let size = encoded_size(&finding);
            if size > room {
                packed.push(Self {
                    digest,
                    ..Self::default()
                });
                room = MAX_FINDINGS_BYTES;
            }
            room = room.saturating_sub(size);
            if let Some(last) = packed.last_mut() {
                last.list.push(finding);
            }
        }
        packed
    }
}

fn encoded_size(finding: &Finding) -> usize {
    // A finding that cannot be encoded gets its own message, so that the failure to send that
    // message affects no other finding.
    postcard::experimental::serialized_size(finding).unwrap_or(MAX_FINDINGS_BYTES)
}

fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
